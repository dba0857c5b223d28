/** @file configuration_freshness_base.h  For how long a gateway has served by a configuration that is no longer the
 * newest one. It learns of versions from the leader of the control members, and may get them much later. No I/O, no
 * clock. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "core/timer_type.h"

namespace Chestnuthook
{

class ConfigurationFreshness
{
public:
    /** The leader has said in the answer to a call made at @p askedAt that @p newest is the newest version. */
    void recordNewest(Instant askedAt, std::uint64_t newest);
    /** Requests are handled by @p version from now on. */
    void recordInForce(std::uint64_t version);
    /** A gateway that has heard from no leader for this long serves on: all control members may be down, and nobody
     * else has the newer version. */
    static constexpr Duration ContactMemory = std::chrono::seconds(5);

    /** Longest time for which a version newer than the one in force may have been acknowledged at @p now; 0 if none is
     * known, or no leader was heard from within ContactMemory. */
    [[nodiscard]] Duration outdatedFor(Instant now) const;

private:
    static constexpr std::size_t MaxVersions = 256; ///< Beyond that the time is overestimated.

    /** When a version was the newest one: the earliest and the latest call whose answer said so. */
    struct Period
    {
        Instant first; ///< Its acknowledgement came after the latest call that named an older version.
        Instant last; ///< Newer versions were acknowledged after that.
    };
    /** By version: the newest one known up to the version in force, and all known after that. */
    std::map<std::uint64_t, Period> periods;
    std::uint64_t inForce = 0; ///< Version in force; 0 for none.
    Instant lastAsked{0}; ///< Time of the latest call that a leader has answered.
};

} // namespace Chestnuthook
