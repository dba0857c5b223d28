/** @file relayed_stream_base.cpp  Converts between byte streams and RPC calls. */
#include "gateway/relayed_stream_base.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include <kj/debug.h>

namespace Chestnuthook
{

namespace
{

class SinkServer final : public Wire::ByteSink::Server
{
public:
    explicit SinkServer(kj::Own<RelayBuffer> buffer)
        : buffer(kj::mv(buffer))
    {
    }
    ~SinkServer() noexcept(false)
    {
        this->buffer->close(true);
    }
    SinkServer(const SinkServer &) = delete;
    SinkServer &operator=(const SinkServer &) = delete;

    kj::Promise<void> write(WriteContext context) override
    {
        const auto bytes = context.getParams().getBytes();
        return this->buffer->add({reinterpret_cast<const char *>(bytes.begin()), bytes.size()});
    }
    kj::Promise<void> end(EndContext /*context*/) override
    {
        this->buffer->close(false);
        return kj::READY_NOW;
    }

private:
    kj::Own<RelayBuffer> buffer; ///< Shared with the reader.
};

} // namespace

void RelayBuffer::wake()
{
    if (this->reader.get() != nullptr) {
        std::exchange(this->reader, nullptr)->fulfill();
    }
}

kj::Promise<void> RelayBuffer::add(std::string_view bytes)
{
    if (this->closed) {
        return kj::READY_NOW;
    }
    this->waiting += bytes;
    this->wake();
    if (this->waiting.size() <= MaxWaitingBytes) {
        return kj::READY_NOW;
    }
    auto room = kj::newPromiseAndFulfiller<void>();
    this->writer = kj::mv(room.fulfiller);
    return kj::mv(room.promise);
}

void RelayBuffer::close(bool isReset)
{
    if (!this->closed) {
        this->closed = true;
        this->reset = isReset;
        this->wake();
    }
}

kj::Promise<std::size_t> RelayBuffer::read(void *buffer, std::size_t maxBytes)
{
    if (!this->waiting.empty()) {
        const std::size_t count = std::min(maxBytes, this->waiting.size());
        std::memcpy(buffer, this->waiting.data(), count);
        this->waiting.erase(0, count);
        if (this->writer.get() != nullptr && this->waiting.size() <= MaxWaitingBytes) {
            std::exchange(this->writer, nullptr)->fulfill();
        }
        return count;
    }
    if (this->closed) {
        if (this->reset) {
            return KJ_EXCEPTION(DISCONNECTED, "the relayed connection was reset");
        }
        return std::size_t{0};
    }
    auto filled = kj::newPromiseAndFulfiller<void>();
    this->reader = kj::mv(filled.fulfiller);
    return filled.promise.then([this, buffer, maxBytes]() {
        return this->read(buffer, maxBytes);
    });
}

Wire::ByteSink::Client makeSink(kj::Own<RelayBuffer> buffer)
{
    return kj::heap<SinkServer>(kj::mv(buffer));
}

RelayedStream::RelayedStream(kj::Own<RelayBuffer> received, Wire::ByteSink::Client toEndpoint)
    : received(kj::mv(received))
    , toEndpoint(kj::mv(toEndpoint))
{
}

kj::Promise<std::size_t> RelayedStream::tryRead(void *buffer, std::size_t /*minBytes*/, std::size_t maxBytes)
{
    return this->received->read(buffer, maxBytes).attach(kj::addRef(*this->received));
}

kj::Promise<void> RelayedStream::write(const void *buffer, std::size_t size)
{
    auto request = this->toEndpoint.writeRequest();
    request.setBytes({static_cast<const kj::byte *>(buffer), size});
    return request.send();
}

kj::Promise<void> RelayedStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    kj::Promise<void> written = kj::READY_NOW;
    for (const auto &piece : pieces) {
        written = written.then([this, piece]() {
            return this->write(piece.begin(), piece.size());
        });
    }
    return written;
}

kj::Promise<void> RelayedStream::whenWriteDisconnected()
{
    return kj::NEVER_DONE;
}

void RelayedStream::shutdownWrite()
{
    this->ending = this->toEndpoint.endRequest().send().ignoreResult().eagerlyEvaluate([](kj::Exception && /*gone*/) {
        // The connection is closed already.
    });
}

} // namespace Chestnuthook
