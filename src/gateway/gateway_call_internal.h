/** @file gateway_call_internal.h  State of a client request while a gateway handles it. */
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway_base.h"
#include "history/stream_recorder_base.h"

namespace Chestnuthook
{

/** Retry-After of a request that another instance, or this one, can serve soon. */
inline constexpr double ShortRetryAfterSeconds = 0.2;

/** How long a stream of @p route may be resumed after it has begun. */
[[nodiscard]] inline Duration resumptionTtl(const RouteConfig &route)
{
    constexpr Duration ResumptionPeriod = std::chrono::seconds(30);
    return route.timeout + ResumptionPeriod;
}

struct Gateway::Call
{
    Call(HttpExchange &exchange, ResponseMemory &memory)
        : exchange(exchange)
        , held(memory, [this]() {
            this->content = std::string();
            this->output = std::string();
        })
    {
    }

    /** Records how much memory the response takes, of which @p otherBytes are held elsewhere. Strings grow to up to
     * twice their size, and a response is copied once when it is sent. @return false if it has been given up. */
    [[nodiscard]] bool updateHeldBytes(std::size_t otherBytes = 0)
    {
        return this->held.resize(
            2 * (this->content.size() + this->beginning.size() + this->output.size() + otherBytes));
    }

    /** Key of the stream of this call's customer whose first event @p request received. */
    [[nodiscard]] StreamKey streamKey(const std::string &request) const
    {
        return {request, this->customer == nullptr ? std::string() : this->customer->name};
    }

    /** Whether the turn is stored and its stream may be resumed, so that one response may lack its beginning. */
    [[nodiscard]] bool keepsResumableTurn() const
    {
        return this->route->retainsTurns && this->route->resumable;
    }
    /** Id of the event after which the next attempt goes on; empty to start at the beginning of the stream. */
    [[nodiscard]] const std::string &resumedAfter() const
    {
        return this->lastEventId.empty() ? this->metadata.lastEventId : this->lastEventId;
    }
    /** Forgets what is recorded of the attempt before. */
    void beginAttempt()
    {
        this->framing = BodyFraming::Length;
        this->unfinishedBytes = 0;
        this->failureReason = {};
        this->reportedLoad.reset();
        this->firstEventAt.reset();
        this->eventsBefore = this->deliveredEvents;
    }
    /** Whether the client has received as many tokens as the turn may have. */
    [[nodiscard]] bool hasAllTokens() const
    {
        const std::uint64_t events = std::uint64_t{this->resumedEvents} + this->deliveredEvents;
        const std::uint64_t tokens = events * this->tokensPerEvent;
        return this->metadata.outputTokens != 0 && tokens >= this->metadata.outputTokens;
    }
    /** Frees `content` at the end of an attempt. */
    void releaseContent()
    {
        this->content = std::string();
        if (!this->exchange.hasStarted()) {
            this->held.restart();
        }
    }
    /** Records why the response could not be read. */
    void noteFailure(HttpReadResult read)
    {
        const bool isTooLarge = read == HttpReadResult::HeadTooLarge || read == HttpReadResult::BodyTooLarge;
        this->failureReason = isTooLarge ? "too large" : "";
    }

    HttpExchange &exchange; ///< The HTTP request and response.
    ConfigurationPtr configuration; ///< Configuration in force when the request arrived; used until the end.
    RequestMetadata metadata; ///< Decoded header fields of the request.
    const RouteConfig *route = nullptr; ///< Points into `configuration`.
    const CustomerConfig *customer = nullptr; ///< Points into `configuration`; null on open routes without a key.
    Instant deadline{0}; ///< When the response is due.
    std::string service; ///< Service that runs the request.
    std::optional<std::string> version; ///< Software version at which the stream began; empty before it has begun.
    RequestFingerprints fingerprints; ///< By what the request is recognised when it comes again.
    WaitTimes waits{}; ///< What the request has waited for.
    bool isAdmittedIsolated = false; ///< Admitted without credit of the leader.
    bool isNewProgram = false; ///< This is the first turn of its program.
    std::string historyPrefix; ///< Inputs and outputs of the turns that the request continues.
    std::vector<std::shared_ptr<const KeptTurn>> chain; ///< Turns that the request continues.
    std::uint64_t retentionMs = 0; ///< How long the turn is stored.
    std::unique_ptr<TokenSettlement> settlement; ///< Settles the turn's token claim; null if there is none.

    std::unique_ptr<StreamRecorder> recorder; ///< Tells history members the events; null if nobody will need them.
    std::string beginning; ///< Data of the events before this request, if it resumes a stream whose turn is stored.
    unsigned resumedEvents = 0; ///< Number of these events.
    std::vector<StreamShare> resumedShares; ///< The requests that brought them.

    std::string content; ///< Body of a response that is not a stream, as far as it was received.
    std::string output; ///< Data of the events of this request so far, if the turn is stored.
    std::string lastEventId; ///< Id of the last event sent to the client.
    unsigned deliveredEvents = 0; ///< Number of events sent to the client.
    unsigned eventsBefore = 0; ///< Value of `deliveredEvents` when the last attempt began.
    Instant attemptedAt{0}; ///< When the last attempt began.
    std::optional<Instant> firstEventAt; ///< When its first event arrived.
    std::optional<EndpointLoad> reportedLoad; ///< Load that its endpoint reported.
    unsigned tokensPerEvent = 1; ///< Tokens in each event of the selected service.
    /** Attempts that may have been executed by an endpoint, without those at endpoints that were cut off meanwhile. */
    unsigned executedAttempts = 0;
    bool mayHaveRun = false; ///< An endpoint may have executed the request.
    bool isLinkLost = false; ///< The last attempt was given up because the link to its endpoint hangs.
    std::string abortReason = "the connection ended"; ///< Why there is no complete response, for the log.
    BodyFraming framing = BodyFraming::Length; ///< Of the last response, for the log.
    std::size_t unfinishedBytes = 0; ///< Bytes of the last stream after its last whole event, for the log.
    std::string_view failureReason; ///< Why the last attempt failed, for the log; empty if the connection broke.
    ResponseMemory::Share held; ///< Memory of `content`, `output` and `beginning`, which isn't freed if it is given up.
};

} // namespace Chestnuthook
