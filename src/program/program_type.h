/** @file program_type.h  Records of programs: budgets, calls and history. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "core/id_type.h"
#include "rpc/program.capnp.h"

namespace Chestnuthook
{

/** What a program may use, or has used. */
struct Budget
{
    std::uint64_t calls = 0; ///< Number of calls.
    std::uint64_t tokens = 0; ///< Prompt and completion tokens.
    std::uint64_t milliseconds = 0; ///< Wall time from creation.
    std::uint32_t depth = 0; ///< Levels of sub-agents below.
    bool operator==(const Budget &) const = default;
};

enum class CallState : std::uint8_t {
    Intent, ///< Non-idempotent; journaled before its first byte left. It may have run.
    Ended, ///< Has its final result.
};

/** One call of a program. */
struct CallRecord
{
    CallNumber number; ///< Position in the program, from 1.
    std::string digest; ///< SHA-256 of the request's content; tells a resend from a conflict.
    AttemptId attempt; ///< The attempt that made, or is to make, the result.
    CallState state = CallState::Intent; ///< Ended is final.
    std::string request; ///< Body of the request.
    std::string answer; ///< Body of the answer.
    std::uint16_t status = 0; ///< HTTP status of the answer.
    std::optional<Error> failure; ///< Set where the call ended without an answer.
    std::uint64_t tokens = 0; ///< Charged to the budget.
    std::uint64_t promptTokens = 0; ///< Part of `tokens`.
    std::string finishReason; ///< Of an engine's answer.
    std::string contentType; ///< Of a service's answer.
    EndpointId endpoint; ///< Where it ran.
    std::int64_t deadlineMs = 0; ///< Wall time after which an intent without a result ends as unknown.
};

/** One program. Invariant: calls are numbered 1..n without gaps, and only the last may be an intent. */
struct ProgramRecord
{
    ProgramId id; ///< Its slot is slotOf(id).
    CustomerId customer; ///< Only this customer's keys reach it.
    ProgramId parent; ///< Empty at a root.
    std::vector<ProgramId> children; ///< Sub-agents; ended with it.
    Budget budget; ///< As granted. Invariant: spent <= budget in every part.
    Budget spent; ///< Used, with blocks that were never returned.
    std::int64_t createdMs = 0; ///< Wall time.
    std::int64_t endedMs = 0; ///< Wall time; 0 while open.
    std::vector<CallRecord> calls; ///< In order.
    std::vector<EndpointId> releases; ///< Endpoints that may still hold its cache.
    std::string requestId; ///< Of its creation.
    std::string lastReserve; ///< Id of the last block taken or returned; it is not done twice.

    [[nodiscard]] bool ended() const
    {
        return this->endedMs != 0;
    }
    /** The call of @p number, or null. */
    [[nodiscard]] const CallRecord *find(CallNumber number) const;
};

void writeBudget(Wire::Budget::Builder builder, const Budget &budget);
[[nodiscard]] Budget readBudget(Wire::Budget::Reader reader);
void writeCall(Wire::Call::Builder builder, const CallRecord &call);
[[nodiscard]] CallRecord readCall(Wire::Call::Reader reader);
void writeProgram(Wire::Program::Builder builder, const ProgramRecord &program);
[[nodiscard]] ProgramRecord readProgram(Wire::Program::Reader reader);

} // namespace Chestnuthook
