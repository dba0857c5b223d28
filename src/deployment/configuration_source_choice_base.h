/** @file configuration_source_choice_base.h  Which control member a daemon asks for a configuration, and when. Members
 * may be down, lag behind, or be reached over a connection that has fallen silent, so one that doesn't answer soon only
 * delays the search by SilenceLimit. No I/O, no clock. */
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/timer_type.h"

namespace Chestnuthook
{

class ConfigurationSourceChoice
{
public:
    /** A member that hasn't answered for this long counts as silent: the next one is asked beside it. */
    static constexpr Duration SilenceLimit = std::chrono::milliseconds(250);
    /** Pause after a member that doesn't have the version yet, or can't be reached. */
    static constexpr Duration RetryDelay = std::chrono::milliseconds(30);
    /** Pause after a configuration that can't be used: the next member most likely sends the same. */
    static constexpr Duration UnusableDelay = std::chrono::milliseconds(500);
    /** A member that was silent or failed is asked after the others for this long, unless it answers. */
    static constexpr Duration AvoidTime = std::chrono::seconds(10);

    /** Starts a search, which goes through all members in their order of preference again and again. */
    void beginSearch();
    /** The member of @p sources, which are in the order of preference, to ask at @p now. It counts as asked until one
     * of the functions below is called for it. Empty if none should be asked before nextAskAt(). */
    [[nodiscard]] std::optional<std::string> choose(Instant now, const std::vector<std::string> &sources);
    /** When to choose again at the latest, if nothing is recorded before. */
    [[nodiscard]] Instant nextAskAt() const
    {
        return this->mayAskAt;
    }

    /** How often each member was asked in this search, for a log line: `10.1.0.4:7780 2, 10.2.0.9:7780 1`. */
    [[nodiscard]] std::string describeAsks() const;

    /** The member has answered, whether it has the version or not. */
    void recordAnswer(Instant now, const std::string &address);
    /** The member can't be reached, or didn't answer in time. */
    void recordFailure(Instant now, const std::string &address);
    /** The member has sent something that can't be used. */
    void recordUnusable(Instant now, const std::string &address);

private:
    struct Member
    {
        bool isAsked = false; ///< A call is under way.
        Instant askedAt{0}; ///< When it was last asked.
        Instant avoidUntil{0}; ///< Until when others are asked before it.
        unsigned asks = 0; ///< How often it was asked in this search.
    };

    /** Records the end of a call, after which others may be asked at @p next. */
    Member &endCall(const std::string &address, Instant next);

    std::map<std::string, Member> members; ///< All that were ever asked; a few, also while members are replaced.
    std::string latest; ///< The member that was asked last. The next one waits for its answer or for SilenceLimit.
    Instant mayAskAt{0}; ///< Nobody is asked before.
};

} // namespace Chestnuthook
