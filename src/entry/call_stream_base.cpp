/** @file call_stream_base.cpp  Passes the text of a call to its readers. */
#include "entry/call_stream_base.h"

#include <utility>

namespace Chestnuthook
{

void CallStream::append(std::string_view more)
{
    {
        const std::lock_guard lock(this->mutex);
        this->text += more;
    }
    this->changed.notify_all();
}

void CallStream::finish(Result<CallRecord> result)
{
    {
        const std::lock_guard lock(this->mutex);
        this->outcome = std::move(result);
        this->done = true;
    }
    this->changed.notify_all();
}

CallStream::Chunk CallStream::read(std::size_t offset, std::chrono::milliseconds timeout)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, timeout, [&]() {
        return this->done || this->text.size() > offset;
    });
    return Chunk{this->text.substr(std::min(offset, this->text.size())), this->done};
}

void CallStream::addReader()
{
    const std::lock_guard lock(this->mutex);
    ++this->readers;
}

void CallStream::removeReader()
{
    bool cancelAttempt = false;
    {
        const std::lock_guard lock(this->mutex);
        cancelAttempt = --this->readers == 0 && !this->done;
    }
    if (cancelAttempt && this->cancellable) {
        this->cancel.cancel();
    }
}

} // namespace Chestnuthook
