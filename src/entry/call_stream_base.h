/** @file call_stream_base.h  The text of a running call and its end, for any number of readers. The call itself runs on
 * a worker thread, so that a reader that goes away doesn't end it for the others. */
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

/** Thread-safe; shared by one worker and the readers. */
class CallStream
{
public:
    explicit CallStream(bool cancellable)
        : cancellable(cancellable)
    {
    }

    /** What a reader has not seen yet. */
    struct Chunk
    {
        std::string text; ///< What follows the offset that was asked for.
        bool done = false; ///< The call has ended; `result` is set.
    };

    /** Adds text; for the worker. */
    void append(std::string_view text);

    /** Ends the call; for the worker, once. */
    void finish(Result<CallRecord> outcome);

    /** Waits until there is more than @p offset bytes, or the end, or @p patience is over. */
    Chunk read(std::size_t offset, std::chrono::milliseconds timeout);

    /** The end of the call. Valid once a part was `done`. */
    [[nodiscard]] const Result<CallRecord> &result() const
    {
        return this->outcome;
    }

    void addReader();

    /** The last reader to leave cancels the engine's work where the call may run again. */
    void removeReader();

    CancelToken cancel; ///< Ends the attempt under way.
    const bool cancellable; ///< Idempotent. Others run on, as only their result tells whether they ran.

private:
    std::mutex mutex; ///< Guards all below.
    std::condition_variable changed; ///< Text or the end came.
    std::string text; ///< So far.
    bool done = false; ///< Never falls.
    int readers = 0; ///< Who wait for it.
    Result<CallRecord> outcome; ///< Written once, before `done`.
};

} // namespace Chestnuthook
