/** @file credit_batch_type.h  Credit requests of several gateways that are sent to the leader as one. No I/O, no clock.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "deployment/credit_pool_base.h"

namespace Chestnuthook
{

/** Requests by the name of the limit, and what was granted of them. */
using CreditRequests = std::map<std::string, CreditRequest>;
using CreditGrants = std::map<std::string, std::uint32_t>;
/** Grants as the result of a promise: GCC warns about maps there. */
using BoxedGrants = std::unique_ptr<CreditGrants>;

class CreditBatch
{
public:
    /** Adds the requests of one call. */
    void add(const CreditRequests &requests);
    [[nodiscard]] bool isEmpty() const
    {
        return this->calls.empty();
    }
    /** Sum of all calls, to be requested from the leader. */
    [[nodiscard]] const CreditRequests &sum() const
    {
        return this->total;
    }
    /** Divides what the leader has granted of `sum`: by the classes of `CreditPool::grant` first, then by the order in
     * which the calls were added. @return the grants of each call, in that order; they add up to @p granted. */
    [[nodiscard]] std::vector<CreditGrants> divide(const CreditGrants &granted) const;

private:
    std::vector<CreditRequests> calls; ///< In the order in which they were added.
    CreditRequests total; ///< Sum of `calls`.
};

} // namespace Chestnuthook
