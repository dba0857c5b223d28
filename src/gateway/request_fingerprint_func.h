/** @file request_fingerprint_func.h  By what a request is recognised when it comes again, at any gateway. */
#pragma once

#include <cstdint>
#include <string_view>

#include "core/hash_func.h"

namespace Chestnuthook
{

/** A request that crashes endpoints comes again with the same customer, target and body, and may have other ids. But a
 * turn that continues another one is run together with that: two turns with the same short input are different to the
 * endpoint. So a turn is recognised by either. */
struct RequestFingerprints
{
    std::uint64_t content = 0; ///< Of customer, method, target and body.
    std::uint64_t turn = 0; ///< Of `content` and the turn that is continued; equal to `content` if there is none.
};

[[nodiscard]] inline RequestFingerprints requestFingerprints(std::string_view customer, std::string_view method,
    std::string_view target, std::string_view body, std::string_view previousTurn)
{
    const std::uint64_t content = hash64(body, hash64(target, hash64(method, hash64(customer))));
    return {content, previousTurn.empty() ? content : hash64(previousTurn, content)};
}

} // namespace Chestnuthook
