/** @file relayed_stream_base.h  The gateway's end of a connection to an endpoint that another gateway relays. */
#pragma once

#include <cstddef>
#include <string>

#include <kj/async-io.h>

#include "rpc/relay.capnp.h"

namespace Chestnuthook
{

/** Bytes that arrive from a peer through RPC calls and wait to be read. Used on the control thread only. */
class RelayBuffer : public kj::Refcounted
{
public:
    /** The sender is held back while more bytes wait. */
    static constexpr std::size_t MaxWaitingBytes = 64U << 10U;

    /** Adds @p bytes. The promise resolves when more may be added. */
    [[nodiscard]] kj::Promise<void> add(std::string_view bytes);
    /** No more bytes will come; @p isReset if the connection didn't end in order. Later calls change nothing. */
    void close(bool isReset);
    /** Reads 1 to @p maxBytes bytes; 0 at an orderly end. The promise fails if the connection was reset. */
    [[nodiscard]] kj::Promise<std::size_t> read(void *buffer, std::size_t maxBytes);

private:
    void wake();

    std::string waiting; ///< Bytes that were not read yet.
    bool closed = false; ///< See `close`.
    bool reset = false; ///< See `close`.
    kj::Own<kj::PromiseFulfiller<void>> reader; ///< Waits for bytes or the end; null if nothing waits.
    kj::Own<kj::PromiseFulfiller<void>> writer; ///< Waits for room; null if nothing waits.
};

/** Makes a sink whose bytes go to @p buffer. If it is dropped before its end, the connection was reset. */
[[nodiscard]] Wire::ByteSink::Client makeSink(kj::Own<RelayBuffer> buffer);

/** Reads from a buffer and writes to a sink of the relaying gateway. Dropping it closes the connection there. */
class RelayedStream final : public kj::AsyncIoStream
{
public:
    RelayedStream(kj::Own<RelayBuffer> received, Wire::ByteSink::Client toEndpoint);

    kj::Promise<std::size_t> tryRead(void *buffer, std::size_t minBytes, std::size_t maxBytes) override;
    kj::Promise<void> write(const void *buffer, std::size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;

private:
    kj::Own<RelayBuffer> received; ///< Filled by the sink that the relaying gateway holds.
    Wire::ByteSink::Client toEndpoint; ///< Offered by the relaying gateway.
    kj::Promise<void> ending = kj::READY_NOW; ///< Call that ends this direction.
};

} // namespace Chestnuthook
