/** @file endpoint_link_base.h  Connections to endpoints: kept ones are reused, and one request is run on one at a time.
 */
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <kj/async-io.h>

#include "core/timer_base.h"
#include "gateway/call_dialect_type.h"
#include "http/http_reader_base.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

/** One connection. */
struct EndpointConnection
{
    explicit EndpointConnection(kj::Own<kj::AsyncIoStream> connected)
        : stream(kj::mv(connected))
        , input(*this->stream)
    {
    }

    /** Sends a request; that and all reads of its answer end at @p deadline. @return whether it was sent whole. */
    [[nodiscard]] bool send(kj::WaitScope &scope, kj::Timer &timer, std::string_view bytes, kj::TimePoint deadline);

    kj::Own<kj::AsyncIoStream> stream; ///< The socket.
    HttpInputStream input; ///< What comes from the endpoint.
    Instant idleSince{0}; ///< When its last answer ended.
    Duration idleLimit{0}; ///< How long it may be kept.
    kj::Maybe<kj::Promise<void>> watching; ///< While it is idle: sees the endpoint close it, or send what it mustn't.
    bool spoilt = false; ///< Closed by the endpoint, or holds bytes of no answer.
};

/** For the control thread. */
class EndpointLinks
{
public:
    EndpointLinks(ControlLoop &loop);

    /** A kept connection, or null. */
    [[nodiscard]] std::unique_ptr<EndpointConnection> takeKept(const std::string &address);
    /** A new connection; null where that fails or takes longer than @p limit. */
    [[nodiscard]] std::unique_ptr<EndpointConnection> connect(
        kj::WaitScope &scope, const std::string &address, Duration limit);
    /** Keeps a connection whose last answer is whole for @p idleLimit. */
    void keep(const std::string &address, std::unique_ptr<EndpointConnection> connection, Duration idleLimit);

    /** How long a connection may be kept after an answer with @p fields. */
    [[nodiscard]] static Duration idleLimitOf(const HttpFields &fields);

private:
    /** Kept at most this long where the endpoint names no time. */
    static constexpr Duration StandardIdleLimit = std::chrono::seconds(2);
    static constexpr std::size_t MostKept = 16; ///< For one endpoint.

    void dropSpoilt(std::vector<std::unique_ptr<EndpointConnection>> &list);

    ControlLoop &loop; ///< Outlives this.
    std::map<std::string, std::vector<std::unique_ptr<EndpointConnection>>> idle; ///< By address, latest last.
};

} // namespace Chestnuthook
