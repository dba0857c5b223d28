/** @file attempt_type.h  One attempt of a call at one endpoint, and how it ended. */
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

/** A header of a request or an answer. */
struct HttpHeader
{
    std::string name; ///< As sent.
    std::string value; ///< As sent.
};

/** What is sent to an endpoint. It never holds the caller's key. */
struct AttemptRequest
{
    AttemptId attempt; ///< Sent as X-Attempt-Id; the answer must carry it back where the endpoint echoes it.
    ProgramId program; ///< Sent as X-Program-Id.
    std::string address; ///< ip:port of the endpoint.
    std::string method; ///< HTTP method.
    std::string path; ///< With the query.
    std::string contentType; ///< Of the body; empty for none.
    std::string body; ///< As sent.
    std::int64_t timeoutMs = 0; ///< Longest pause between two bytes; the whole attempt ends by AttemptDeadlines.
    std::vector<HttpHeader> headers; ///< More headers.
};

/** How an attempt ended. */
struct AttemptOutcome
{
    bool sent = false; ///< At least one byte may have reached the endpoint; never falsely false.
    bool complete = false; ///< The whole answer was read.
    std::uint16_t status = 0; ///< HTTP status; 0 where none came.
    std::string contentType; ///< Of the answer.
    std::string body; ///< A service's answer; an engine's text so far.
    std::string finishReason; ///< Of an engine's answer.
    std::uint64_t promptTokens = 0; ///< As the engine counted.
    std::uint64_t completionTokens = 0; ///< As the engine counted.
    std::uint64_t cachedTokens = 0; ///< Prompt tokens that the engine had cached.
    std::string what; ///< Why it is not complete; for people.
    bool broken = false; ///< The connection ended or failed before the answer was whole.
};

/** Ends an attempt from another thread. */
class CancelToken
{
public:
    /** Ends the attempt now or as soon as it starts. Thread-safe. */
    void cancel()
    {
        const std::lock_guard lock(this->mutex);
        this->cancelled = true;
        if (this->abort) {
            this->abort(); // Only shuts a socket down; under the lock, so that the attempt can't end meanwhile.
        }
    }

    /** Ends the attempt because its time has run out; nothing more may start under this token. Thread-safe. */
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

    /** Sets what cancel does; empty after the attempt. */
    void onCancel(std::function<void()> action)
    {
        const std::lock_guard lock(this->mutex);
        this->abort = std::move(action);
    }

private:
    std::mutex mutex; ///< Guards `abort`.
    std::function<void()> abort; ///< Breaks the attempt's connection.
    std::atomic<bool> cancelled = false; ///< Never falls.
    std::atomic<bool> expired = false; ///< Cancelled by a deadline. Never falls.
};

/** Takes an engine's text as it comes. @return false to end the attempt. */
using TextSink = std::function<bool(std::string_view)>;

} // namespace Chestnuthook
