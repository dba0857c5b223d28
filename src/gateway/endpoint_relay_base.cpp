/** @file endpoint_relay_base.cpp  Copies bytes between endpoints and gateways. */
#include "gateway/endpoint_relay_base.h"

#include <array>
#include <utility>

#include <kj/debug.h>

#include "observe/log_func.h"
#include "observe/metrics_base.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::size_t CopyBytes = 16U << 10U; ///< Largest piece that is copied at once.

} // namespace

/** A connection to an endpoint; closed when the gateway that asked for it drops the sink. */
struct EndpointRelay::Connection final : public Wire::ByteSink::Server
{
    Connection(EndpointRelay &relay, std::unique_ptr<EndpointConnection> opened, Wire::ByteSink::Client toCaller)
        : relay(relay)
        , opened(std::move(opened))
        , toCaller(kj::mv(toCaller))
        , lastUse(relay.loop.timers().now())
        , copying(this->copyToCaller().exclusiveJoin(this->whenIdle()).eagerlyEvaluate([this](kj::Exception && /*e*/) {
            this->close();
        }))
    {
        ++this->relay.openConnections;
    }
    ~Connection() noexcept(false)
    {
        --this->relay.openConnections;
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    kj::Promise<void> write(WriteContext context) override
    {
        this->lastUse = this->relay.loop.timers().now();
        KJ_REQUIRE(this->opened != nullptr, "the endpoint's connection has ended");
        this->opened->isUnanswered = true;
        const auto bytes = context.getParams().getBytes();
        return this->opened->stream->write(bytes.begin(), bytes.size()).attach(std::shared_ptr(this->opened));
    }
    kj::Promise<void> end(EndContext /*context*/) override
    {
        if (this->opened != nullptr) {
            this->opened->stream->shutdownWrite();
        }
        return kj::READY_NOW;
    }

private:
    kj::Promise<void> copyToCaller()
    {
        return this->opened->stream->tryRead(this->buffer.data(), 1, this->buffer.size())
            .then([this](std::size_t count) -> kj::Promise<void> {
                this->lastUse = this->relay.loop.timers().now();
                this->opened->isUnanswered = false;
                if (count == 0) {
                    return this->toCaller.endRequest().send().ignoreResult();
                }
                auto request = this->toCaller.writeRequest();
                request.setBytes({reinterpret_cast<const kj::byte *>(this->buffer.data()), count});
                return request.send().then([this]() {
                    return this->copyToCaller();
                });
            });
    }
    /** Resolves when the connection has carried no bytes for IdleTimeout. */
    kj::Promise<void> whenIdle()
    {
        const Duration left = this->lastUse + IdleTimeout - this->relay.loop.timers().now();
        if (left <= Duration(0)) {
            return KJ_EXCEPTION(DISCONNECTED, "the relayed connection is idle");
        }
        return this->relay.loop.kjTimer().afterDelay(kjDuration(left)).then([this]() {
            return this->whenIdle();
        });
    }
    /** Closes the connection to the endpoint; the caller sees a reset. */
    void close()
    {
        this->opened = nullptr;
        this->toCaller = nullptr;
    }

    EndpointRelay &relay; ///< Must outlive this object.
    std::shared_ptr<EndpointConnection> opened; ///< Connection to the endpoint; null once it is closed.
    Wire::ByteSink::Client toCaller; ///< Receives the endpoint's bytes.
    Instant lastUse{0}; ///< When bytes were last copied.
    std::array<char, CopyBytes> buffer{}; ///< Bytes on their way to the caller.
    kj::Promise<void> copying; ///< Copies until the endpoint's connection ends. Declared last, so that it ends first.
};

class EndpointRelay::RelayServer final : public Wire::EndpointRelay::Server
{
public:
    explicit RelayServer(EndpointRelay &relay)
        : relay(relay)
    {
    }

    kj::Promise<void> connect(ConnectContext context) override
    {
        if (!this->relay.accepting || this->relay.openConnections >= MaxConnections) {
            return KJ_EXCEPTION(OVERLOADED, "this gateway relays no more connections");
        }
        const std::string address = this->relay.findAddress(textOf(context.getParams().getEndpoint()));
        if (address.empty()) {
            return KJ_EXCEPTION(FAILED, "this gateway doesn't reach the endpoint");
        }
        ControlLoop &loop = this->relay.loop;
        auto late = loop.kjTimer().afterDelay(kjDuration(ConnectTimeout)).then([]() {
            return ConnectResult{nullptr, ConnectFailure::TimedOut};
        });
        return this->relay.connections.open(address)
            .exclusiveJoin(kj::mv(late))
            .then([this, context](ConnectResult &&result) mutable {
                KJ_REQUIRE(result.connection != nullptr, "the endpoint can't be reached");
                metrics().add(MetricKind::ConnectionsRelayed);
                context.getResults().setToEndpoint(
                    kj::heap<Connection>(this->relay, std::move(result.connection), context.getParams().getToCaller()));
            });
    }

private:
    EndpointRelay &relay; ///< Must outlive this object.
};

EndpointRelay::EndpointRelay(ControlLoop &loop, ConnectionPool &connections, FindAddress findAddress)
    : loop(loop)
    , connections(connections)
    , findAddress(std::move(findAddress))
{
}

Wire::EndpointRelay::Client EndpointRelay::client()
{
    return kj::heap<RelayServer>(*this);
}

} // namespace Chestnuthook
