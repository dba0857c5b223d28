/** @file program_type.h  Records of agent programs: budgets, calls and history. */
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

/** Resources that a program may use, or has used. */
struct Budget
{
    std::uint64_t calls = 0; ///< Number of calls.
    std::uint64_t tokens = 0; ///< Prompt and completion tokens.
    std::uint64_t milliseconds = 0; ///< Milliseconds of wall time since creation.
    std::uint32_t depth = 0; ///< Levels of sub-agents below the program.
    bool operator==(const Budget &) const = default;
};

/** Progress of a call. */
enum class CallState : std::uint8_t {
    Intent, ///< A non-idempotent call, journaled before its first byte was sent. It may have run.
    Ended, ///< The call has its final result.
};

/** One call of a program. */
struct CallRecord
{
    CallNumber number; ///< Position in the program, from 1.
    std::string digest; ///< SHA-256 of the request's content; distinguishes a resent call from a conflicting one.
    AttemptId attempt; ///< The attempt that produced the result, or will produce it.
    CallState state = CallState::Intent; ///< Progress; Ended is final.
    std::string request; ///< Body of the request.
    std::string answer; ///< Body of the answer.
    std::uint16_t status = 0; ///< HTTP status of the answer.
    std::optional<Error> failure; ///< Set if the call ended without an answer.
    std::uint64_t tokens = 0; ///< Tokens charged to the budget.
    std::uint64_t promptTokens = 0; ///< Prompt tokens; included in `tokens`.
    std::string finishReason; ///< Finish reason of an engine's answer.
    std::string contentType; ///< Content type of a service's answer.
    EndpointId endpoint; ///< Endpoint that ran the call.
    std::int64_t deadlineMs = 0; ///< Wall time in ms; an intent without a result ends as unknown after it.
};

/** One program. Invariant: calls are numbered 1..n without gaps, and only the last may be an intent. */
struct ProgramRecord
{
    ProgramId id; ///< Decides the slot: slotOf(id).
    CustomerId customer; ///< Only keys of this customer give access to the program.
    ProgramId parent; ///< Parent of a sub-agent; empty for a root program.
    std::vector<ProgramId> children; ///< Sub-agents; they are ended together with the program.
    Budget budget; ///< Granted budget. Invariant: spent <= budget in every field.
    Budget spent; ///< Used budget, including reserved blocks that were not returned.
    std::int64_t createdMs = 0; ///< Wall time of creation in ms.
    std::int64_t endedMs = 0; ///< Wall time of the end in ms; 0 while the program is open.
    std::vector<CallRecord> calls; ///< Calls by number.
    std::vector<EndpointId> releases; ///< Endpoints that may still hold cache of the program and have to release it.
    std::string requestId; ///< Id of the request that created the program.
    std::string lastReserve; ///< Id of the last block reserved or returned, so that a resent command has no effect.

    [[nodiscard]] bool ended() const
    {
        return this->endedMs != 0;
    }
    /** Returns the call with @p number, or null. */
    [[nodiscard]] const CallRecord *find(CallNumber number) const;
};

void writeBudget(Wire::Budget::Builder builder, const Budget &budget);
[[nodiscard]] Budget readBudget(Wire::Budget::Reader reader);
void writeCall(Wire::Call::Builder builder, const CallRecord &call);
[[nodiscard]] CallRecord readCall(Wire::Call::Reader reader);
void writeProgram(Wire::Program::Builder builder, const ProgramRecord &program);
[[nodiscard]] ProgramRecord readProgram(Wire::Program::Reader reader);

} // namespace Chestnuthook
