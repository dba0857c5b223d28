/** @file call_stream_base.h  The text and result of a running call, for any number of readers. The call runs on a
 * worker thread, so that a reader that disconnects doesn't end it for the others. */
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <string_view>

#include "core/error_type.h"
#include "endpoint/attempt_type.h"
#include "program/program_type.h"

namespace Chestnuthook
{

/** Shared by the worker that writes it and its readers. Thread-safe. */
class CallStream
{
public:
    explicit CallStream(bool cancellable)
        : cancellable(cancellable)
    {
    }

    /** Text that a reader has not received yet. */
    struct Chunk
    {
        std::string text; ///< Text after the requested offset.
        bool done = false; ///< The call has ended; `result` is valid.
    };

    /** Appends text; for the worker. */
    void append(std::string_view text);

    /** Ends the call; for the worker, once. */
    void finish(Result<CallRecord> outcome);

    /** Waits for text after @p offset bytes or the end of the call, at most for @p timeout. */
    Chunk read(std::size_t offset, std::chrono::milliseconds timeout);

    /** Result of the call. Valid once a chunk was `done`. */
    [[nodiscard]] const Result<CallRecord> &result() const
    {
        return this->outcome;
    }

    void addReader();

    /** When the last reader leaves, cancels the attempt in progress if the call is cancellable. */
    void removeReader();

    CancelToken cancel; ///< Cancels the attempt in progress.
    const bool cancellable; ///< Idempotent. Others run to the end, as only their result shows whether they ran.

private:
    std::mutex mutex; ///< Guards the members below.
    std::condition_variable changed; ///< Notified when text is appended or the call ends.
    std::string text; ///< Text received so far.
    bool done = false; ///< The call has ended; never reset.
    int readers = 0; ///< Number of readers.
    Result<CallRecord> outcome; ///< Set once, before `done`.
};

} // namespace Chestnuthook
