/** @file leader_load_base.h  Counts what a leader does for other daemons and how long they wait for it, for the log. No
 * I/O, no clock. */
#pragma once

#include <cstdint>
#include <vector>

#include "core/timer_type.h"
#include "observe/log_func.h"

namespace Chestnuthook
{

class LeaderLoad
{
public:
    /** Counts an answered watch that held the lists named. */
    void recordWatch(bool hasInstances, bool hasEndpoints);
    /** Counts an answered credit call, which waited for the lease of the leader for @p waited. */
    void recordCredit(Duration waited);
    /** Counts a renewal of the leader's lease, which took @p duration. */
    void recordRenewal(Duration duration);
    /** Counts a compressed configuration that was sent. */
    void recordConfiguration()
    {
        ++this->configurations;
    }
    /** Records that the event loop ran a timer late by @p delay. */
    void recordDelay(Duration delay);

    [[nodiscard]] bool isIdle() const
    {
        return this->watches + this->credits == 0;
    }
    /** The counts since the last call as fields of a log line, times in milliseconds; @p cpuTime is the processor time
     * that this process has used so far. */
    [[nodiscard]] std::vector<Field> takeFields(Duration cpuTime);

private:
    std::uint64_t watches = 0; ///< Answered calls of `watch`.
    std::uint64_t instanceLists = 0; ///< Those with the list of instances.
    std::uint64_t endpointLists = 0; ///< Those with the list of endpoints.
    std::uint64_t configurations = 0; ///< Configurations sent.
    std::uint64_t credits = 0; ///< Answered calls of `credit`.
    Duration creditWait{0}; ///< Sum of their waits for the lease.
    Duration longestCreditWait{0}; ///< Longest of these.
    std::uint64_t renewals = 0; ///< Renewals of the lease.
    Duration longestRenewal{0}; ///< Longest of these.
    Duration longestDelay{0}; ///< Longest delay of the event loop.
    Duration cpuTimeBefore{0}; ///< Value of `cpuTime` at the last call of `takeFields`.
};

} // namespace Chestnuthook
