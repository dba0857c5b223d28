/** @file turn_urgency_func.h  Order among waiting turns: which programs can still end in time, and how little time they
 * have to spare. */
#pragma once

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>

#include "core/timer_type.h"
#include "dispatch/endpoint_pool_type.h"
#include "dispatch/program_table_base.h"

namespace Chestnuthook
{

/** Time that a program, or a turn without one, has left and needs. */
struct TurnTarget
{
    double leftMs = 0; ///< Time until the target; negative if it has passed.
    double workMs = 0; ///< Time that the remaining work takes on idle endpoints of usual speed, with its pauses.
    double totalMs = 0; ///< Time from the start to the target.
    bool isFirst = false; ///< First turn of a program.

    [[nodiscard]] double spareMs() const
    {
        return this->leftMs - this->workMs;
    }
};

/** Aim of users for the time of a program relative to that on idle endpoints; used to derive the work that is left. */
constexpr double TargetStretch = 1.3;
/** Time that a turn without a program deadline may take beyond TargetStretch times its own time. */
constexpr double TurnSpareMs = 250;
/** Part of a program's total time within which its first turn is sent. */
constexpr double FirstTurnPart = 0.05;

/** Time left and needed for @p request.
 *
 * @param arrived  when it was submitted.
 * @param turnMs  time that it takes on an idle endpoint of usual speed.
 * @param record  what is known of its program; may be null. */
inline TurnTarget turnTarget(
    Instant now, Instant arrived, const TurnRequest &request, double turnMs, const ProgramRecord *record)
{
    const auto ms = [](Duration duration) {
        return static_cast<double>(duration.count()) / 1e3;
    };
    TurnTarget target;
    target.workMs = turnMs;
    if (!request.programDeadline) {
        target.totalMs = turnMs * TargetStretch + TurnSpareMs;
        target.leftMs = target.totalMs - ms(now - arrived);
        return target;
    }
    target.leftMs = ms(*request.programDeadline - now);
    target.totalMs = std::max(target.leftMs, turnMs);
    if (request.programTotal && request.programTotal->count() > 0) {
        target.totalMs = static_cast<double>(request.programTotal->count());
        const double elapsed = target.totalMs - ms(*request.programDeadline - arrived);
        // Without a record, for example at a new owner, the program is assumed to be on schedule.
        const double progress = record != nullptr ? record->progressMs : std::max(0.0, elapsed) / TargetStretch;
        target.workMs = std::max(turnMs, target.totalMs / TargetStretch - progress);
        target.isFirst = (record == nullptr || record->turns == 0) && elapsed <= target.totalMs * FirstTurnPart;
    }
    return target;
}

/** Whether the programs's value is still to be had; lower is served first. */
enum class UrgencyClass : std::uint8_t { InTime, Late, VeryLate };

/** A program that is twice as late as its target is worth next to nothing.
 * @param bestSpeed  speed factor of the fastest endpoints, on which a program that is behind can catch up. */
inline UrgencyClass urgencyClass(const TurnTarget &target, double bestSpeed)
{
    if (target.leftMs >= target.workMs * std::min(1.0, bestSpeed)) {
        return UrgencyClass::InTime;
    }
    return target.leftMs - target.workMs > -target.totalMs ? UrgencyClass::Late : UrgencyClass::VeryLate;
}

/** Position of a waiting turn; the lowest is served first. */
struct UrgencyKey
{
    unsigned priority = 0; ///< Priority class of the request.
    UrgencyClass urgency = UrgencyClass::InTime; ///< Whether the program can still end in time.
    int customerLevel = 0; ///< CustomerShares::level().
    double spare = 0; ///< Time to spare relative to the work left; for late ones how late they are.

    friend std::partial_ordering operator<=>(const UrgencyKey &, const UrgencyKey &) = default;
};

inline UrgencyKey urgencyKey(const TurnRequest &request, const TurnTarget &target, double bestSpeed, int customerLevel)
{
    const UrgencyClass urgency = urgencyClass(target, bestSpeed);
    const double relative = target.spareMs() / std::max(target.workMs, 1.0);
    return {request.priority, urgency, customerLevel, urgency == UrgencyClass::InTime ? relative : -relative};
}

} // namespace Chestnuthook
