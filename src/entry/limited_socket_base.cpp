/** @file limited_socket_base.cpp  Client sockets that enforce the request limits. */
#include "entry/limited_socket_base.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include <sys/socket.h>

#include <Poco/Net/NetException.h>
#include <Poco/Net/SecureStreamSocketImpl.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/StreamSocketImpl.h>

#include "entry/http_reply_func.h"
#include "observe/log_func.h"
#include "observe/metrics_base.h"

namespace Chestnuthook
{

namespace
{

constexpr int ListenBacklog = 512;
constexpr std::int64_t OverloadedRetryAfterMs = 1000;
constexpr std::size_t DiscardChunkBytes = 8UL * 1024;
constexpr std::size_t MaxDiscardedBytes = 256UL * 1024;
constexpr std::string_view InterimResponsePrefix = "HTTP/1.1 100";

Instant steadyNow()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Duration>(now).count());
}

std::string rawResponse(std::string_view statusLine, const Error &error)
{
    const std::string body = errorJson(error);
    std::string response = "HTTP/1.1 " + std::string(statusLine) + "\r\nContent-Type: application/json\r\n";
    if (error.retryAfterMs > 0) {
        response += "Retry-After: " + std::to_string((error.retryAfterMs + 999) / 1000) + "\r\n";
    }
    return response + "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string limitResponse(LimitVerdict verdict, const RequestLimits &limits)
{
    if (verdict == LimitVerdict::HeaderTooLarge) {
        return rawResponse("431 Request Header Fields Too Large",
            Error{ErrorKind::BadRequest,
                "the header is larger than " + std::to_string(limits.maxHeaderBytes) + " bytes", Ran::No, 0});
    }
    if (verdict == LimitVerdict::RequestTooLarge) {
        return rawResponse("413 Content Too Large", Error{ErrorKind::BodyTooLarge, "", Ran::No, 0});
    }
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(limits.sendTimeout).count();
    return rawResponse("408 Request Timeout",
        Error{ErrorKind::BadRequest, "the request was not received completely within " + std::to_string(seconds) + " s",
            Ran::No, 0});
}

/** Reads and discards pending input. Closing a socket with unread input resets the connection, and the client might
 * never see the response. */
void discardInput(int descriptor)
{
    std::array<char, DiscardChunkBytes> chunk{};
    for (std::size_t remaining = MaxDiscardedBytes; remaining >= chunk.size(); remaining -= chunk.size()) {
        if (::recv(descriptor, chunk.data(), chunk.size(), MSG_DONTWAIT) <= 0) {
            return;
        }
    }
}

/** Counts a connection for as long as it is open. */
class CountedConnection
{
public:
    CountedConnection(std::shared_ptr<ClientPort> port, std::string address)
        : port(std::move(port))
        , address(std::move(address))
        , withinLimits(this->port->counts.add(this->address))
    {
    }
    virtual ~CountedConnection()
    {
        this->port->counts.remove(this->address);
    }
    CountedConnection(const CountedConnection &) = delete;
    CountedConnection &operator=(const CountedConnection &) = delete;

    [[nodiscard]] bool isWithinLimits() const
    {
        return this->withinLimits;
    }

protected:
    const std::shared_ptr<ClientPort> port; ///< Shared by all connections of the port.

private:
    const std::string address; ///< IP address of the client, without the port.
    const bool withinLimits; ///< Whether no connection limit was exceeded when it was opened.
};

/** A POCO socket that measures the requests it receives; @p Base is a plain or a TLS stream socket. */
template<typename Base>
class LimitedSocket final : public Base, public CountedConnection
{
public:
    template<typename... Arguments>
    LimitedSocket(std::shared_ptr<ClientPort> port, std::string address, Arguments &&...arguments)
        : Base(std::forward<Arguments>(arguments)...)
        , CountedConnection(std::move(port), std::move(address))
        , meter(this->CountedConnection::port->limits)
    {
        if constexpr (std::is_same_v<Base, Poco::Net::SecureStreamSocketImpl>) {
            this->acceptSSL(); // Only sets up TLS: the handshake runs later, on the thread of the connection.
        }
    }

    using Base::receiveBytes;
    using Base::sendBytes;

    int receiveBytes(void *buffer, int length, int flags) override
    {
        if ((flags & MSG_PEEK) != 0 || !this->meter.isInProgress()) {
            const int received = Base::receiveBytes(buffer, length, flags);
            return (flags & MSG_PEEK) != 0 ? received : this->measure(buffer, received);
        }
        const Poco::Timespan idle = this->getReceiveTimeout();
        const Duration remaining = this->meter.remainingTime(steadyNow());
        this->setReceiveTimeout(Poco::Timespan(std::max<Poco::Timespan::TimeDiff>(remaining.count(), 1)));
        try {
            const int received = Base::receiveBytes(buffer, length, flags);
            this->setReceiveTimeout(idle);
            return this->measure(buffer, received);
        } catch (const Poco::TimeoutException &) {
            this->reject(LimitVerdict::TooSlow);
        }
        return 0;
    }

    int sendBytes(const void *buffer, int length, int flags) override
    {
        if (this->rejected) {
            throw Poco::Net::ConnectionAbortedException("the request was refused");
        }
        if (!std::string_view(static_cast<const char *>(buffer), static_cast<std::size_t>(length))
                 .starts_with(InterimResponsePrefix)) {
            this->meter.onResponse();
        }
        return Base::sendBytes(buffer, length, flags);
    }

private:
    int measure(const void *buffer, int received)
    {
        if (received > 0) {
            const std::string_view bytes(static_cast<const char *>(buffer), static_cast<std::size_t>(received));
            const LimitVerdict verdict = this->meter.consume(bytes, steadyNow());
            if (verdict != LimitVerdict::WithinLimits) {
                this->reject(verdict);
            }
        }
        return received;
    }

    /** Sends an error response and makes all further use of the connection fail. */
    [[noreturn]] void reject(LimitVerdict verdict)
    {
        if (!this->rejected) {
            this->rejected = true;
            logEvent(EventKind::RequestRejected, {{"error", "over a request limit"}});
            const std::string response = limitResponse(verdict, this->CountedConnection::port->limits);
            Base::sendBytes(response.data(), static_cast<int>(response.size()), 0);
            this->shutdownSend();
            discardInput(this->sockfd());
        }
        throw Poco::Net::ConnectionAbortedException("the request is over a limit");
    }

    RequestMeter meter; ///< Measures the current request.
    bool rejected = false; ///< The error response was sent; nothing may be sent after it.
};

class LimitedServerSocketImpl final : public Poco::Net::ServerSocketImpl
{
public:
    explicit LimitedServerSocketImpl(std::shared_ptr<ClientPort> port)
        : port(std::move(port))
    {
    }

    Poco::Net::SocketImpl *acceptConnection(Poco::Net::SocketAddress &client) override
    {
        sockaddr_storage storage{};
        socklen_t length = sizeof storage;
        const int accepted = ::accept4(this->sockfd(), reinterpret_cast<sockaddr *>(&storage), &length, SOCK_CLOEXEC);
        if (accepted < 0) {
            throw Poco::Net::NetException("accept failed");
        }
        client = Poco::Net::SocketAddress(reinterpret_cast<sockaddr *>(&storage), length);
        const std::string address = client.host().toString();
        if (this->port->certificate == nullptr) {
            return new LimitedSocket<Poco::Net::StreamSocketImpl>(this->port, address, accepted);
        }
        Poco::AutoPtr<Poco::Net::StreamSocketImpl> plain(new Poco::Net::StreamSocketImpl(accepted));
        return new LimitedSocket<Poco::Net::SecureStreamSocketImpl>(
            this->port, address, plain.get(), this->port->certificate->current());
    }

private:
    const std::shared_ptr<ClientPort> port; ///< Shared by all connections of the port.
};

/** A server socket that accepts connections with request limits. */
class LimitedServerSocket final : public Poco::Net::ServerSocket
{
public:
    explicit LimitedServerSocket(const std::shared_ptr<ClientPort> &port)
        : ServerSocket(new LimitedServerSocketImpl(port), true)
    {
    }
};

class ConnectionCountFilter final : public Poco::Net::TCPServerConnectionFilter
{
public:
    bool accept(const Poco::Net::StreamSocket &socket) override
    {
        const auto *counted = dynamic_cast<const CountedConnection *>(socket.impl());
        if (counted == nullptr || counted->isWithinLimits()) {
            return true;
        }
        logEvent(EventKind::RequestRejected, {{"error", "too many connections"}});
        if (!socket.secure()) {
            const std::string response = rawResponse("503 Service Unavailable",
                Error{
                    ErrorKind::Overloaded, "too many connections from this address", Ran::No, OverloadedRetryAfterMs});
            ::send(socket.impl()->sockfd(), response.data(), response.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        }
        return false;
    }
};

} // namespace

bool ConnectionCounts::add(const std::string &address)
{
    const std::scoped_lock lock(this->mutex);
    const int fromAddress = ++this->byAddress[address];
    this->total += 1;
    return fromAddress <= this->limits.maxConnectionsPerAddress && this->total <= this->limits.maxConnections;
}

void ConnectionCounts::remove(const std::string &address)
{
    const std::scoped_lock lock(this->mutex);
    this->total -= 1;
    const auto found = this->byAddress.find(address);
    if (--found->second == 0) {
        this->byAddress.erase(found);
    }
}

Poco::Net::ServerSocket listenForClients(const std::shared_ptr<ClientPort> &port, const std::string &address)
{
    LimitedServerSocket socket(port);
    socket.bind(Poco::Net::SocketAddress(address), true);
    socket.listen(ListenBacklog);
    return socket;
}

Poco::Net::TCPServerConnectionFilter::Ptr makeConnectionFilter()
{
    return new ConnectionCountFilter;
}

} // namespace Chestnuthook
