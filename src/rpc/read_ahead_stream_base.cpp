/** @file read_ahead_stream_base.cpp  Read buffer of a stream of RPC messages. */
#include "rpc/read_ahead_stream_base.h"

#include <algorithm>
#include <cstring>

namespace Chestnuthook
{

ReadAheadStream::ReadAheadStream(kj::Own<kj::AsyncIoStream> stream)
    : stream(kj::mv(stream))
{
}

kj::Promise<std::size_t> ReadAheadStream::tryRead(void *buffer, std::size_t minBytes, std::size_t maxBytes)
{
    const std::size_t ready = std::min(maxBytes, this->aheadEnd - this->aheadBegin);
    std::memcpy(buffer, this->ahead.data() + this->aheadBegin, ready);
    this->aheadBegin += ready;
    if (ready >= minBytes) {
        return ready;
    }
    char *rest = static_cast<char *>(buffer) + ready;
    if (maxBytes - ready >= this->ahead.size()) { // Reading ahead would only add a copy.
        return this->stream->tryRead(rest, minBytes - ready, maxBytes - ready).then([ready](std::size_t count) {
            return ready + count;
        });
    }
    this->aheadBegin = 0;
    this->aheadEnd = 0;
    return this->stream->tryRead(this->ahead.data(), minBytes - ready, this->ahead.size())
        .then([this, rest, ready, maxBytes](std::size_t count) {
            const std::size_t taken = std::min(count, maxBytes - ready);
            std::memcpy(rest, this->ahead.data(), taken);
            this->aheadBegin = taken;
            this->aheadEnd = count;
            return ready + taken;
        });
}

kj::Promise<void> ReadAheadStream::write(const void *buffer, std::size_t size)
{
    return this->stream->write(buffer, size);
}

kj::Promise<void> ReadAheadStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    return this->stream->write(pieces);
}

kj::Promise<void> ReadAheadStream::whenWriteDisconnected()
{
    return this->stream->whenWriteDisconnected();
}

void ReadAheadStream::shutdownWrite()
{
    this->stream->shutdownWrite();
}

void ReadAheadStream::abortRead()
{
    this->stream->abortRead();
}

void ReadAheadStream::getsockopt(int level, int option, void *value, kj::uint *length)
{
    this->stream->getsockopt(level, option, value, length);
}

void ReadAheadStream::setsockopt(int level, int option, const void *value, kj::uint length)
{
    this->stream->setsockopt(level, option, value, length);
}

kj::Maybe<int> ReadAheadStream::getFd() const
{
    return this->stream->getFd();
}

} // namespace Chestnuthook
