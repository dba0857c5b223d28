/** @file attempt_type.h  A single attempt to run a call at an endpoint, its outcome, and its cancellation. */
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/error_type.h"
#include "core/id_type.h"

namespace Chestnuthook
{

/** Header field of a request or response. */
struct HttpHeader
{
    std::string name;
    std::string value;
};

/** Request to an endpoint. It never contains the client's key. */
struct AttemptRequest
{
    AttemptId attempt; ///< Sent as X-Attempt-Id. A response that echoes another id is rejected.
    ProgramId program; ///< Sent as X-Program-Id.
    std::string address; ///< ip:port of the endpoint.
    std::string method; ///< HTTP method.
    std::string path; ///< Path and query.
    std::string contentType; ///< Content type of the body; empty to send none.
    std::string body;
    std::int64_t timeoutMs = 0; ///< Maximum time between two bytes. AttemptDeadlines limits the attempt as a whole.
    std::vector<HttpHeader> headers; ///< Additional header fields.
};

/** Outcome of an attempt. */
struct AttemptOutcome
{
    bool sent = false; ///< Part of the request may have reached the endpoint. If false, certainly nothing did.
    bool complete = false; ///< The complete response was received.
    std::uint16_t status = 0; ///< HTTP status; 0 if no response was received.
    std::string contentType; ///< Content type of the response.
    std::string body; ///< Response body of a service, or the text received from an engine so far.
    std::string finishReason; ///< Finish reason reported by the engine.
    std::uint64_t promptTokens = 0; ///< Prompt tokens reported by the engine.
    std::uint64_t completionTokens = 0; ///< Generated tokens reported by the engine.
    std::uint64_t cachedTokens = 0; ///< Prompt tokens that were in the engine's cache.
    std::string what; ///< Human-readable reason why the response is not complete.
    bool broken = false; ///< The connection ended or failed before the response was complete.
};

/** Cancels an attempt from another thread. */
class CancelToken
{
public:
    /** Aborts the running attempt, or the next one as soon as it starts. Thread-safe. */
    void cancel()
    {
        const std::lock_guard lock(this->mutex);
        this->cancelled = true;
        if (this->abort) {
            this->abort(); // Only shuts down a socket. The lock keeps the attempt from ending at the same time.
        }
    }

    /** Cancels the attempt because its deadline has passed. No other attempt may start with this token. Thread-safe. */
    void expire()
    {
        this->expired = true;
        this->cancel();
    }

    [[nodiscard]] bool isExpired() const
    {
        return this->expired;
    }
    [[nodiscard]] bool isCancelled() const
    {
        return this->cancelled;
    }

    /** Sets the action with which `cancel` aborts the running attempt; empty while none is running. */
    void onCancel(std::function<void()> action)
    {
        const std::lock_guard lock(this->mutex);
        this->abort = std::move(action);
    }

private:
    std::mutex mutex; ///< Guards `abort`.
    std::function<void()> abort; ///< Closes the connection of the running attempt.
    std::atomic<bool> cancelled = false; ///< Never reset.
    std::atomic<bool> expired = false; ///< Cancelled by a deadline. Never reset.
};

/** Receives the text of an engine as it is generated. @return false to abort the attempt. */
using TextSink = std::function<bool(std::string_view)>;

} // namespace Chestnuthook
