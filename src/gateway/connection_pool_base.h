/** @file connection_pool_base.h  Pool of HTTP/1.1 connections to endpoints. A connection carries one request at a time.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <kj/async-io.h>

#include "core/name_table_type.h"
#include "core/timer_base.h"
#include "gateway/header_codec_type.h"
#include "http/http_reader_base.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

/** Connection to an endpoint. */
struct EndpointConnection
{
    explicit EndpointConnection(kj::Own<kj::AsyncIoStream> connected)
        : stream(kj::mv(connected))
        , input(*this->stream)
    {
    }

    /** Resets the connection if a request on it is unanswered, so that bytes which a partition holds up are dropped and
     * the request that was given up doesn't run later. */
    ~EndpointConnection();
    EndpointConnection(const EndpointConnection &) = delete;
    EndpointConnection &operator=(const EndpointConnection &) = delete;

    /** Sends a request. @p deadline applies to the write and to all reads of the response. @return whether the complete
     * request was sent. */
    [[nodiscard]] bool send(kj::WaitScope &scope, kj::Timer &timer, std::string_view bytes, kj::TimePoint deadline);

    kj::Own<kj::AsyncIoStream> stream;
    HttpInputStream input; ///< Reads from `stream`.
    Instant idleSince{0}; ///< When the connection was last returned to the pool.
    Duration idleTimeout{0}; ///< How long it may stay in the pool; 0 if it must not be reused.
    kj::Maybe<kj::Promise<void>> closeWatch; ///< While idle, detects that the endpoint closes it or sends data.
    std::string relay; ///< Name of the gateway that relays it; empty for a direct connection.
    std::shared_ptr<void> relayUse; ///< Counts the connection at that gateway while it exists.
    bool hasResponseWithoutId = false; ///< A response that names no request was received; it must not be reused.
    bool isUnanswered = false; ///< Bytes were sent, and none received since.
    bool isInterrupted = false; ///< Its request was given up because the link to the endpoint hangs.
    bool unusable = false; ///< The endpoint closed it, or sent data that belongs to no request.
};

/** Why a connection could not be opened. */
enum class ConnectFailure : std::uint8_t {
    None, ///< It was opened.
    TimedOut, ///< Nothing answered.
    Refused, ///< The address answered that nothing listens there.
    NoSocket, ///< This process has no descriptor left, or the address is invalid.
};

template<>
struct NameTable<ConnectFailure>
{
    static constexpr auto Rows =
        std::to_array<NameRow<ConnectFailure>>({{ConnectFailure::None, "none"}, {ConnectFailure::TimedOut, "time-out"},
            {ConnectFailure::Refused, "refused"}, {ConnectFailure::NoSocket, "no socket"}});
};
static_assert(isNameTableWhole(ConnectFailure::NoSocket));

/** Result of opening a connection. */
struct ConnectResult
{
    std::unique_ptr<EndpointConnection> connection; ///< Null if it failed.
    ConnectFailure failure = ConnectFailure::None; ///< Why it failed.
};

/** Must be used on the control thread only. */
class ConnectionPool
{
public:
    /** Connections leave from @p localAddress, an IP address; empty to let the system choose. */
    explicit ConnectionPool(ControlLoop &loop, std::string localAddress = {});

    /** Takes an idle connection to @p address out of the pool. @return null if there is none. */
    [[nodiscard]] std::unique_ptr<EndpointConnection> takeIdle(const std::string &address);
    /** Opens a new connection. The promise doesn't fail; it has no time limit but that of the system. */
    [[nodiscard]] kj::Promise<ConnectResult> open(const std::string &address);
    /** Opens a new connection within @p timeout. */
    [[nodiscard]] ConnectResult connect(kj::WaitScope &scope, const std::string &address, Duration timeout);
    /** Returns a connection to the pool for at most @p idleTimeout. Its last response must have been read completely.
     */
    void addIdle(const std::string &address, std::unique_ptr<EndpointConnection> connection, Duration idleTimeout);

    /** Closes the idle connections to @p address. */
    void closeIdle(const std::string &address);
    /** Closes the idle connections for which @p isStale returns true. */
    void closeIdleIf(const std::function<bool(const EndpointConnection &)> &isStale);

    /** How long a connection may stay idle after a response with @p fields. */
    [[nodiscard]] static Duration idleTimeoutFrom(const HttpFields &fields);

private:
    /** Used if the endpoint sends no Keep-Alive timeout. */
    static constexpr Duration DefaultIdleTimeout = std::chrono::seconds(2);
    static constexpr std::size_t MaxIdleConnections = 16; ///< Per endpoint.

    void removeUnusable(std::vector<std::unique_ptr<EndpointConnection>> &list);
    /** Closes the unusable connections to @p address. */
    void removeUnusable(const std::string &address);

    ControlLoop &loop; ///< Must outlive this object.
    std::string localAddress; ///< See the constructor.
    std::map<std::string, std::vector<std::unique_ptr<EndpointConnection>>> idle; ///< By address, latest last.
};

} // namespace Chestnuthook
