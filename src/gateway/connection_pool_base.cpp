/** @file connection_pool_base.cpp  Opens, reuses and expires connections to endpoints. */
#include "gateway/connection_pool_base.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>

namespace Chestnuthook
{

namespace
{

/** Creates a TCP socket of @p family that sends without delay, bound to @p localAddress if that isn't empty. @return
 * null if that fails. @throws Poco::Exception if the address can't be parsed. */
kj::AutoCloseFd openSocket(int family, const std::string &localAddress)
{
    kj::AutoCloseFd socket(::socket(family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (socket == nullptr) {
        return socket;
    }
    const int enabled = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    if (!localAddress.empty()) {
        const Poco::Net::SocketAddress local(localAddress, 0);
        ::setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled, sizeof enabled);
        if (::bind(socket, local.addr(), local.length()) != 0) {
            return nullptr;
        }
    }
    return socket;
}

} // namespace

EndpointConnection::~EndpointConnection()
{
    if (!this->isUnanswered) {
        return;
    }
    KJ_IF_MAYBE (descriptor, this->stream->getFd()) {
        const linger reset{1, 0};
        ::setsockopt(*descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
}

bool EndpointConnection::send(kj::WaitScope &scope, kj::Timer &timer, std::string_view bytes, kj::TimePoint deadline)
{
    this->isUnanswered = true;
    this->input.setDeadline(timer, deadline);
    // write() throws synchronously on a socket that was reset; evalNow() turns that into a rejected promise.
    auto written = kj::evalNow([&]() {
        return this->stream->write(bytes.data(), bytes.size());
    });
    auto outcome = written.then(
        []() {
            return true;
        },
        [](kj::Exception && /*exception*/) {
            return false;
        });
    auto late = timer.atTime(deadline).then([]() {
        return false;
    });
    return outcome.exclusiveJoin(kj::mv(late)).wait(scope);
}

ConnectionPool::ConnectionPool(ControlLoop &loop, std::string localAddress)
    : loop(loop)
    , localAddress(std::move(localAddress))
{
}

void ConnectionPool::removeUnusable(std::vector<std::unique_ptr<EndpointConnection>> &list)
{
    const Instant now = this->loop.timers().now();
    std::erase_if(list, [now](const auto &connection) {
        return connection->unusable || now - connection->idleSince > connection->idleTimeout;
    });
}

void ConnectionPool::removeUnusable(const std::string &address)
{
    const auto list = this->idle.find(address);
    if (list == this->idle.end()) {
        return;
    }
    this->removeUnusable(list->second);
    if (list->second.empty()) {
        this->idle.erase(list);
    }
}

std::unique_ptr<EndpointConnection> ConnectionPool::takeIdle(const std::string &address)
{
    const auto list = this->idle.find(address);
    if (list == this->idle.end()) {
        return nullptr;
    }
    this->removeUnusable(list->second);
    if (list->second.empty()) {
        return nullptr;
    }
    auto connection = std::move(list->second.back());
    list->second.pop_back();
    connection->closeWatch = nullptr;
    connection->idleTimeout = Duration(0); // Set again by the next response.
    return connection;
}

kj::Promise<ConnectResult> ConnectionPool::open(const std::string &address)
{
    std::optional<Poco::Net::SocketAddress> target;
    kj::AutoCloseFd socket;
    try {
        target.emplace(address);
        socket = openSocket(target->af(), this->localAddress);
    } catch (const Poco::Exception &) {
        return ConnectResult{nullptr, ConnectFailure::NoSocket};
    }
    if (socket == nullptr) {
        return ConnectResult{nullptr, ConnectFailure::NoSocket};
    }
    // An address at which nothing listens may make the call itself fail; evalNow() turns that into a rejected promise.
    auto connecting = kj::evalNow([&]() {
        return this->loop.sockets().wrapConnectingSocketFd(kj::mv(socket), target->addr(), target->length());
    });
    return connecting.then(
        [](kj::Own<kj::AsyncIoStream> &&stream) {
            return ConnectResult{std::make_unique<EndpointConnection>(kj::mv(stream)), ConnectFailure::None};
        },
        [](kj::Exception && /*exception*/) {
            return ConnectResult{nullptr, ConnectFailure::Refused};
        });
}

ConnectResult ConnectionPool::connect(kj::WaitScope &scope, const std::string &address, Duration timeout)
{
    auto late = this->loop.kjTimer().afterDelay(kjDuration(std::max(timeout, Duration(0)))).then([]() {
        return ConnectResult{nullptr, ConnectFailure::TimedOut};
    });
    return this->open(address).exclusiveJoin(kj::mv(late)).wait(scope);
}

void ConnectionPool::addIdle(
    const std::string &address, std::unique_ptr<EndpointConnection> connection, Duration idleTimeout)
{
    auto &list = this->idle[address];
    this->removeUnusable(list);
    const bool isClean = connection->input.unreadBytes().empty() && !connection->hasResponseWithoutId;
    if (!isClean || list.size() >= MaxIdleConnections) {
        return;
    }
    connection->isUnanswered = false;
    connection->idleSince = this->loop.timers().now();
    connection->idleTimeout = idleTimeout;
    connection->input.clearDeadline();
    EndpointConnection &pooled = *connection;
    // Data that arrives while no request is in flight belongs to no response.
    pooled.closeWatch = pooled.input.readMore()
                            .then([this, &pooled, address](bool /*open*/) {
                                pooled.unusable = true;
                                this->loop.detach(kj::evalLater([this, address]() {
                                    this->removeUnusable(address);
                                }));
                            })
                            .eagerlyEvaluate(nullptr);
    list.push_back(std::move(connection));
}

void ConnectionPool::closeIdle(const std::string &address)
{
    this->idle.erase(address);
}

void ConnectionPool::closeIdleIf(const std::function<bool(const EndpointConnection &)> &isStale)
{
    for (auto &[address, list] : this->idle) {
        std::erase_if(list, [&isStale](const auto &connection) {
            return isStale(*connection);
        });
    }
    std::erase_if(this->idle, [](const auto &entry) {
        return entry.second.empty();
    });
}

Duration ConnectionPool::idleTimeoutFrom(const HttpFields &fields)
{
    constexpr std::string_view Parameter = "timeout=";
    const std::string *field = fields.find("Keep-Alive");
    const std::size_t at = field == nullptr ? std::string::npos : field->find(Parameter);
    if (at == std::string::npos) {
        return DefaultIdleTimeout;
    }
    const std::size_t from = at + Parameter.size();
    unsigned seconds = 0;
    if (!Poco::NumberParser::tryParseUnsigned(field->substr(from, field->find(',', from) - from), seconds)) {
        return DefaultIdleTimeout;
    }
    return Duration(std::chrono::seconds(seconds)) * 3 / 4;
}

} // namespace Chestnuthook
