/** @file pool_message_func.h  Converts between the requests, decisions and outcomes of pools and their messages. Times
 * in messages are relative to the instant that the functions get. */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "dispatch/endpoint_pool_type.h"
#include "rpc/dispatch.capnp.h"

namespace Chestnuthook
{

/** Answer of the owner of a pool. */
struct PoolAnswer
{
    std::optional<TurnVerdict> verdict; ///< Empty if the owner holds no such ticket.
    std::string endpoint; ///< Granted endpoint; empty for other verdicts.
    Duration predictedWait{0}; ///< Until the grant; if refused, the time after which it may be retried.
    Duration predictedTime{0}; ///< From the grant to the end.
    std::string reason; ///< For the log.
};

[[nodiscard]] PoolAnswer answerOf(const TurnDecision &decision);

void writeTurn(Wire::PoolTurn::Builder builder, Instant now, const TurnRequest &request);
[[nodiscard]] TurnRequest readTurn(Wire::PoolTurn::Reader reader, Instant now, const std::string &holder);

void writeAnswer(Wire::PoolDecision::Builder builder, const PoolAnswer &answer);
[[nodiscard]] PoolAnswer readAnswer(Wire::PoolDecision::Reader reader);

void writeOutcome(Wire::PoolOutcome::Builder builder, const TurnOutcome &outcome);
[[nodiscard]] TurnOutcome readOutcome(Wire::PoolOutcome::Reader reader, const std::string &holder);

void writeForecast(Wire::PoolForecast::Builder builder, const EndpointForecast &forecast);

} // namespace Chestnuthook
