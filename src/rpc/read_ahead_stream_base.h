/** @file read_ahead_stream_base.h  A stream that reads several small RPC messages with one system call. */
#pragma once

#include <array>
#include <cstddef>

#include <kj/async-io.h>

namespace Chestnuthook
{

/** Passes everything but reads on to the underlying stream. */
class ReadAheadStream final : public kj::AsyncIoStream
{
public:
    explicit ReadAheadStream(kj::Own<kj::AsyncIoStream> stream);

    kj::Promise<std::size_t> tryRead(void *buffer, std::size_t minBytes, std::size_t maxBytes) override;
    kj::Promise<void> write(const void *buffer, std::size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;
    void getsockopt(int level, int option, void *value, kj::uint *length) override;
    void setsockopt(int level, int option, const void *value, kj::uint length) override;
    kj::Maybe<int> getFd() const override;

private:
    static constexpr std::size_t ReadAheadBytes = 4096;

    kj::Own<kj::AsyncIoStream> stream; ///< The underlying stream.
    std::array<char, ReadAheadBytes> ahead{}; ///< Bytes that were read, but not yet asked for.
    std::size_t aheadBegin = 0; ///< Position of the first of them.
    std::size_t aheadEnd = 0; ///< Position after the last of them.
};

} // namespace Chestnuthook
