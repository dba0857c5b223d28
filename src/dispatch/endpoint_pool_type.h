/** @file endpoint_pool_type.h  Requests, decisions and outcomes that gateways exchange with the owner of a pool of
 * endpoints. */
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** An endpoint of a pool as the endpoint list and the configuration describe it. */
struct PoolEndpoint
{
    std::string id; ///< Unique in the pool; another incarnation of an endpoint has another id.
    unsigned slots = 1; ///< Requests that it executes concurrently.
    std::uint64_t memoryTokens = 0; ///< Tokens that fit in its memory; 0 if not limited.
    std::string version; ///< Version that it runs; empty if unknown.
    bool isUsable = true; ///< False while it leaves, is evacuated or in backoff.
};

/** Load that an endpoint reports. */
struct ReportedLoad
{
    unsigned running = 0; ///< Requests being executed.
    unsigned waiting = 0; ///< Requests queued for a slot.
    unsigned slots = 0; ///< Requests that it executes concurrently; 0 if not reported.
    unsigned pacePercent = 0; ///< Time that a step takes at present in percent of the usual; 0 if not reported.
};

/** A turn that asks for an endpoint. Tickets are unique for each holder. */
struct TurnRequest
{
    std::uint64_t ticket = 0; ///< Chosen by the holder.
    std::string holder; ///< Gateway that sends the turn.
    std::uint64_t program = 0; ///< Hash of the program's id; 0 for none.
    std::uint64_t customer = 0; ///< Hash of the customer's name.
    std::uint32_t promptTokens = 0; ///< Tokens of the prompt, including those that may be cached.
    std::uint32_t outputTokens = 0; ///< Maximum tokens of the output; 0 if unknown.
    std::uint32_t expectedTokens = 0; ///< Likely tokens of the output; 0 if unknown.
    Instant deadline; ///< Of the turn; must be set.
    std::optional<Instant> programDeadline; ///< Time until which the program has its full value.
    std::optional<std::chrono::milliseconds> programTotal; ///< Time from the program's start to programDeadline.
    unsigned priority = 0; ///< Priority class; 0 is the highest.
    std::string version; ///< Required version; empty for any.
    std::vector<std::string> excluded; ///< Endpoints that must not be used.
    double customerWeight = 1; ///< Share of the customer, for example its permitted rate.
};

enum class TurnVerdict { Granted, Waiting, Refused };

/** Answer to a turn. */
struct TurnDecision
{
    std::uint64_t ticket = 0; ///< Of the request.
    std::string holder; ///< Of the request.
    TurnVerdict verdict = TurnVerdict::Refused; ///< What the holder has to do.
    std::string endpoint; ///< Granted endpoint; empty for other verdicts.
    Duration predictedWait{0}; ///< Until the grant; if refused, the time after which it may be retried.
    Duration predictedTime{0}; ///< From the grant to the end.
    std::string_view reason; ///< A constant text for logs.
};

/** How a granted turn ended. */
struct TurnOutcome
{
    std::uint64_t ticket = 0; ///< Of the request.
    std::string holder; ///< Of the request.
    std::uint32_t tokens = 0; ///< Output tokens that were delivered.
    Duration firstEvent{0}; ///< From the grant's use to the first event; 0 if there was none.
    Duration total{0}; ///< From the grant's use to the end.
    bool failed = false; ///< It ended without a complete response.
    bool notRun = false; ///< It was not executed, so it says nothing about the endpoint's speed.
    std::optional<ReportedLoad> load; ///< Load that the endpoint reported with the response.
};

/** What is predicted for a turn at one endpoint. */
struct EndpointForecast
{
    std::string endpoint; ///< Id.
    bool isAllowed = false; ///< Usable, of the required version and not excluded.
    bool isFree = false; ///< It could start the turn now.
    unsigned running = 0; ///< Granted turns.
    std::uint64_t usedTokens = 0; ///< Memory that they are expected to need.
    std::uint64_t readTokens = 0; ///< Prompt tokens still to be read.
    std::uint32_t cachedTokens = 0; ///< Tokens of the turn's prompt that the endpoint is expected to have cached.
    double speed = 1; ///< Time that work takes relative to the pool's usual; above 1 is slow.
    double pace = 1; ///< Short-lived factor on top of it.
    Duration predictedWait{0}; ///< Until it could start.
    Duration predictedTime{0}; ///< From the start to the end.
    std::string_view reason; ///< Why it would or would not be chosen; a constant text.
};

/** Parameters of a pool. The costs are priors, which outcomes correct. */
struct PoolParameters
{
    double firstEventMs = 45; ///< Time to the first event without reading.
    double readTokensPerMs = 123; ///< Prompt tokens read in a millisecond.
    double stepMs = 2.3; ///< Time of an output token without other running turns.
    double stepMsPerNeighbour = 0.09; ///< Additional time for each other running turn.
    std::uint32_t strideTokens = 1; ///< Output tokens in each event.
    std::uint32_t usualOutputTokens = 70; ///< Expected output where a request gives no hint and no maximum.
};

} // namespace Chestnuthook
