/** @file credit_pool_base.h  The rate of each customer over the whole deployment, handed out in small grants. Pure. */
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/timer_type.h"
#include "deployment/configuration_type.h"

namespace Chestnuthook
{

/** What a gateway asks for one customer. */
struct CreditRequest
{
    std::uint32_t requests = 0; ///< Of programs under way, and single requests.
    std::uint32_t ahead = 0; ///< Of new programs, and ahead of need.
    std::uint32_t late = 0; ///< Of new programs that can hardly end in time any more.
    [[nodiscard]] std::uint32_t sum() const
    {
        return this->requests + this->ahead + this->late;
    }
};

/** At the leader. What was granted is spent soon or lost, so that grants in the hands of gateways stay few. */
class CreditPool
{
public:
    /** Part of the rate that the leader hands out, while @p silent of @p gateways can't be heard: these may go on with
     * their own share, so it is left to them. */
    void setGateways(std::size_t gateways, std::size_t silent);

    /** @return how many of the requests that @p wish names may be admitted, those of programs under way first. A new
     * program takes many requests after its first, so that none begins while less than ReservePart of the burst is left
     * for those under way, and one that can hardly end in time only where others don't need the credit. */
    std::uint32_t take(Instant now, const CustomerConfig &customer, const CreditRequest &wish);

    static constexpr double ReservePart = 0.4; ///< Of the burst; what is left when new programs are refused.
    static constexpr double LateReservePart = 0.9; ///< Of the burst; what is left when late new ones are refused.

private:
    struct Bucket
    {
        double tokens = 0; ///< At most the burst.
        Instant filled{0}; ///< When `tokens` was worked out.
    };

    double heardShare = 1; ///< 0 to 1.
    std::map<std::string, Bucket> buckets; ///< By customer.
};

} // namespace Chestnuthook
