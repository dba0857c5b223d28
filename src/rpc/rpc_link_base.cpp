/** @file rpc_link_base.cpp  Connects, authenticates and accepts RPC connections. */
#include "rpc/rpc_link_base.h"

#include <utility>

#include "rpc/connection_acceptor_base.h"
#include "rpc/read_ahead_stream_base.h"

namespace Chestnuthook
{

namespace
{

/** Limit for the TCP handshake alone, which the kernel of the other instance answers. A SYN that was lost, for example
 * because that instance was still starting, is retransmitted only after 1 s; a new socket is faster. */
constexpr auto TcpConnectTimeout = 150 * kj::MILLISECONDS;
constexpr auto TlsHandshakeTimeout = 3 * kj::SECONDS;

/** Limit of one message from another process, which is authenticated but may be faulty. */
constexpr std::uint64_t MaxMessageWords = 64ULL * 1024 * 1024 / 8;

capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = MaxMessageWords;
    return options;
}

/** One accepted connection; destroyed when the other end disconnects. */
struct AcceptedConnection
{
    AcceptedConnection(
        std::shared_ptr<kj::TlsContext> tls, kj::Own<kj::AsyncIoStream> accepted, capnp::Capability::Client bootstrap)
        : tls(std::move(tls))
        , stream(kj::heap<ReadAheadStream>(kj::mv(accepted)))
        , network(*this->stream, capnp::rpc::twoparty::Side::SERVER, readerOptions())
        , system(capnp::makeRpcServer(this->network, kj::mv(bootstrap)))
    {
    }

    std::shared_ptr<kj::TlsContext> tls; ///< TLS context of the stream; null if it is not encrypted.
    kj::Own<kj::AsyncIoStream> stream; ///< The connected stream.
    capnp::TwoPartyVatNetwork network; ///< Frames messages on the stream.
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system; ///< Serves the bootstrap capability.
};

/** One port and the tasks of its connections. */
class RpcPort final : private kj::TaskSet::ErrorHandler
{
public:
    RpcPort(RpcContext &context, kj::Own<kj::ConnectionReceiver> receiver, Wire::Gate::Client gate)
        : context(context)
        , gate(kj::mv(gate))
        , tasks(*this)
        , acceptor(context.timer, kj::mv(receiver), [this](kj::Own<kj::AsyncIoStream> stream) {
            this->tasks.add(kj::evalNow([&]() {
                return this->serve(kj::mv(stream));
            }));
        })
    {
    }

    kj::Promise<void> run()
    {
        return this->acceptor.run();
    }

private:
    /** Serves one connection until it ends, or until its TLS handshake times out. */
    kj::Promise<void> serve(kj::Own<kj::AsyncIoStream> stream)
    {
        auto tls = this->context.security.tls();
        if (tls == nullptr) {
            return this->serveStream(nullptr, kj::mv(stream));
        }
        auto handshake = this->context.timer.timeoutAfter(TlsHandshakeTimeout, tls->wrapServer(kj::mv(stream)));
        return handshake.then([this, tls](kj::Own<kj::AsyncIoStream> &&encrypted) {
            return this->serveStream(tls, kj::mv(encrypted));
        });
    }

    kj::Promise<void> serveStream(std::shared_ptr<kj::TlsContext> tls, kj::Own<kj::AsyncIoStream> stream)
    {
        auto connection = kj::heap<AcceptedConnection>(std::move(tls), kj::mv(stream), this->gate);
        auto ended = connection->network.onDisconnect();
        return ended.attach(kj::mv(connection));
    }

    void taskFailed(kj::Exception && /*exception*/) override
    {
        // A failed connection needs no other handling than a closed one.
    }

    RpcContext &context; ///< Outlives the port.
    Wire::Gate::Client gate; ///< Bootstrap capability of each connection.
    kj::TaskSet tasks; ///< One task per connection.
    ConnectionAcceptor acceptor; ///< Accepts the connections.
};

} // namespace

struct RpcLink::Connection
{
    Connection(std::shared_ptr<kj::TlsContext> tls, kj::Own<kj::AsyncIoStream> connected)
        : tls(std::move(tls))
        , stream(kj::heap<ReadAheadStream>(kj::mv(connected)))
        , network(*this->stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions())
        , system(capnp::makeRpcClient(this->network))
    {
    }

    Wire::Gate::Client gate()
    {
        capnp::MallocMessageBuilder message;
        auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
        vat.setSide(capnp::rpc::twoparty::Side::SERVER);
        return this->system.bootstrap(vat).castAs<Wire::Gate>();
    }

    std::shared_ptr<kj::TlsContext> tls; ///< TLS context of the stream; null if it is not encrypted.
    kj::Own<kj::AsyncIoStream> stream; ///< The connected stream.
    capnp::TwoPartyVatNetwork network; ///< Frames messages on the stream.
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system; ///< Runs the calls.
    OfferedServices offered; ///< Set once both sides are authenticated.
};

RpcLink::RpcLink(RpcContext &context, std::string address, kj::Duration connectTimeout)
    : context(context)
    , address(std::move(address))
    , connectTimeout(connectTimeout)
{
}

kj::Promise<RpcLink::SecuredStream> RpcLink::startTls(kj::Own<kj::AsyncIoStream> stream)
{
    auto tls = this->context.security.tls();
    if (tls == nullptr) {
        return SecuredStream{nullptr, kj::mv(stream)};
    }
    return tls->wrapClient(kj::mv(stream), FleetSecurity::FleetServerName).then([tls](auto &&encrypted) {
        return SecuredStream{tls, kj::mv(encrypted)};
    });
}

kj::Promise<kj::Own<kj::AsyncIoStream>> RpcLink::connectTcp(kj::NetworkAddress &target)
{
    return this->context.timer.timeoutAfter(TcpConnectTimeout, target.connect())
        .catch_([this, &target](kj::Exception &&exception) -> kj::Promise<kj::Own<kj::AsyncIoStream>> {
            if (exception.getType() == kj::Exception::Type::OVERLOADED) { // How kj reports a timeout.
                return this->connectTcp(target);
            }
            return kj::mv(exception);
        });
}

kj::Promise<RpcLink::ConnectionPtr> RpcLink::connect()
{
    return this->context.network.parseAddress(this->address)
        .then([this](kj::Own<kj::NetworkAddress> &&parsed) {
            auto connected = this->connectTcp(*parsed);
            return connected.attach(kj::mv(parsed));
        })
        .then([this](kj::Own<kj::AsyncIoStream> &&stream) {
            return this->startTls(kj::mv(stream));
        })
        .then([this](SecuredStream &&secured) {
            auto made = std::make_shared<Connection>(std::move(secured.tls), kj::mv(secured.stream));
            auto proved = authenticateToPeer(made->gate(), this->context.security.secrets(), this->context.localName);
            return proved
                .then([made](capnp::Response<Wire::Prover::ProveResults> &&response) {
                    auto offered = response.getServices();
                    made->offered = OfferedServices{offered.getControl(), offered.getPeer(), offered.getDeployment()};
                    return made;
                })
                .attach(ConnectionPtr(made));
        });
}

kj::Promise<RpcLink::ConnectionPtr> RpcLink::connection()
{
    if (this->current != nullptr) {
        return this->current;
    }
    if (this->connecting == nullptr || this->attemptFailed) { // Its failure may have had no waiters.
        ++this->attempt;
        this->attemptFailed = false;
        this->connecting =
            this->context.timer.timeoutAfter(this->connectTimeout, this->connect())
                .then(
                    [this, number = this->attempt](ConnectionPtr &&made) -> kj::Promise<ConnectionPtr> {
                        if (number == this->attempt) {
                            this->current = made;
                        }
                        return kj::mv(made);
                    },
                    [this, number = this->attempt](kj::Exception &&exception) -> kj::Promise<ConnectionPtr> {
                        this->attemptFailed = this->attemptFailed || number == this->attempt;
                        return kj::mv(exception);
                    })
                .fork();
    }
    kj::Promise<ConnectionPtr> branch = nullptr;
    KJ_IF_MAYBE (fork, this->connecting) {
        branch = fork->addBranch();
    }
    return branch.then(
        [this, number = this->attempt](ConnectionPtr &&made) -> kj::Promise<ConnectionPtr> {
            if (number == this->attempt) {
                this->connecting = nullptr;
            }
            return kj::mv(made);
        },
        [this, number = this->attempt](kj::Exception &&exception) -> kj::Promise<ConnectionPtr> {
            if (number == this->attempt) {
                this->connecting = nullptr;
            }
            return kj::mv(exception);
        });
}

OfferedServices RpcLink::servicesOf(const ConnectionPtr &connection)
{
    return OfferedServices(connection->offered);
}

void RpcLink::drop(const ConnectionPtr &used)
{
    if (this->current == used) {
        this->reset();
    }
}

kj::Promise<OfferedServices> RpcLink::services()
{
    return this->connection().then([](ConnectionPtr &&connection) {
        return servicesOf(connection);
    });
}

void RpcLink::reset()
{
    ++this->attempt; // An attempt in progress may have other waiters; its connection isn't for this link any more.
    this->connecting = nullptr;
    this->current = nullptr;
}

kj::Promise<void> serveRpc(RpcContext &context, const std::string &address, OfferedServices services)
{
    return context.network.parseAddress(address).then([&context, services = kj::mv(services)](auto &&parsed) mutable {
        auto port =
            kj::heap<RpcPort>(context, parsed->listen(), makeAuthenticationGate(context.security, kj::mv(services)));
        auto loop = port->run();
        return loop.attach(kj::mv(port));
    });
}

} // namespace Chestnuthook
