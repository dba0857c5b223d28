/** @file call_stream_base.cpp  Passing a call's text to its readers. */
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

CallStream::Part CallStream::read(std::size_t offset, std::chrono::milliseconds patience)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, patience, [&]() {
        return this->done || this->text.size() > offset;
    });
    return Part{this->text.substr(std::min(offset, this->text.size())), this->done};
}

void CallStream::join()
{
    const std::lock_guard lock(this->mutex);
    ++this->readers;
}

void CallStream::leave()
{
    bool last = false;
    {
        const std::lock_guard lock(this->mutex);
        last = --this->readers == 0 && !this->done;
    }
    if (last && this->cancellable) {
        this->cancel.cancel();
    }
}

} // namespace Chestnuthook
