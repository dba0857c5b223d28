/** @file limited_socket_base.cpp  Sockets that measure what comes in. */
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

constexpr int Backlog = 512;
constexpr std::int64_t RetryAfterMs = 1000;
constexpr std::size_t DiscardChunk = 8UL * 1024;
constexpr std::size_t MaxDiscarded = 256UL * 1024;
constexpr std::string_view InterimAnswer = "HTTP/1.1 100";

Instant clockNow()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Duration>(now).count());
}

std::string rawAnswer(std::string_view statusLine, const Error &error)
{
    const std::string body = errorJson(error);
    std::string answer = "HTTP/1.1 " + std::string(statusLine) + "\r\nContent-Type: application/json\r\n";
    if (error.retryAfterMs > 0) {
        answer += "Retry-After: " + std::to_string((error.retryAfterMs + 999) / 1000) + "\r\n";
    }
    return answer + "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string answerTo(LimitVerdict verdict, const RequestLimits &limits)
{
    if (verdict == LimitVerdict::HeaderTooLarge) {
        return rawAnswer("431 Request Header Fields Too Large",
            Error{ErrorKind::BadRequest, "the header is over " + std::to_string(limits.headerBytes) + " bytes", Ran::No,
                0});
    }
    if (verdict == LimitVerdict::RequestTooLarge) {
        return rawAnswer("413 Content Too Large", Error{ErrorKind::BodyTooLarge, "", Ran::No, 0});
    }
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(limits.sendTime).count();
    return rawAnswer("408 Request Timeout",
        Error{ErrorKind::BadRequest, "it did not come whole within " + std::to_string(seconds) + " s", Ran::No, 0});
}

/** Takes in what has come: closing with unread input would reset the connection before the caller read the answer. */
void discardInput(int descriptor)
{
    std::array<char, DiscardChunk> chunk{};
    for (std::size_t left = MaxDiscarded; left >= chunk.size(); left -= chunk.size()) {
        if (::recv(descriptor, chunk.data(), chunk.size(), MSG_DONTWAIT) <= 0) {
            return;
        }
    }
}

/** A connection's place in the counts. */
class CountedConnection
{
public:
    CountedConnection(std::shared_ptr<CallerPort> port, std::string address)
        : port(std::move(port))
        , address(std::move(address))
        , within(this->port->counts.add(this->address))
    {
    }
    virtual ~CountedConnection()
    {
        this->port->counts.remove(this->address);
    }
    CountedConnection(const CountedConnection &) = delete;
    CountedConnection &operator=(const CountedConnection &) = delete;

    [[nodiscard]] bool isWithin() const
    {
        return this->within;
    }

protected:
    const std::shared_ptr<CallerPort> port; ///< Outlives the connection.

private:
    const std::string address; ///< The caller's, without port.
    const bool within; ///< Whether it was not one too many.
};

/** Measures the requests on a POCO socket; @p Base is a plain or a secure stream socket. */
template<typename Base>
class LimitedSocket final : public Base, public CountedConnection
{
public:
    template<typename... Arguments>
    LimitedSocket(std::shared_ptr<CallerPort> port, std::string address, Arguments &&...arguments)
        : Base(std::forward<Arguments>(arguments)...)
        , CountedConnection(std::move(port), std::move(address))
        , meter(this->CountedConnection::port->limits)
    {
        if constexpr (std::is_same_v<Base, Poco::Net::SecureStreamSocketImpl>) {
            this->acceptSSL(); // The handshake itself runs on the connection's own thread.
        }
    }

    using Base::receiveBytes;
    using Base::sendBytes;

    int receiveBytes(void *buffer, int length, int flags) override
    {
        if ((flags & MSG_PEEK) != 0 || !this->meter.underWay()) {
            const int received = Base::receiveBytes(buffer, length, flags);
            return (flags & MSG_PEEK) != 0 ? received : this->measured(buffer, received);
        }
        const Poco::Timespan idle = this->getReceiveTimeout();
        const Duration left = this->meter.timeLeft(clockNow());
        this->setReceiveTimeout(Poco::Timespan(std::max<Poco::Timespan::TimeDiff>(left.count(), 1)));
        try {
            const int received = Base::receiveBytes(buffer, length, flags);
            this->setReceiveTimeout(idle);
            return this->measured(buffer, received);
        } catch (const Poco::TimeoutException &) {
            this->refuse(LimitVerdict::TooSlow);
        }
        return 0;
    }

    int sendBytes(const void *buffer, int length, int flags) override
    {
        if (this->refused) {
            throw Poco::Net::ConnectionAbortedException("the request was refused");
        }
        if (!std::string_view(static_cast<const char *>(buffer), static_cast<std::size_t>(length))
                 .starts_with(InterimAnswer)) {
            this->meter.answered();
        }
        return Base::sendBytes(buffer, length, flags);
    }

private:
    int measured(const void *buffer, int received)
    {
        if (received > 0) {
            const std::string_view bytes(static_cast<const char *>(buffer), static_cast<std::size_t>(received));
            const LimitVerdict verdict = this->meter.take(bytes, clockNow());
            if (verdict != LimitVerdict::Within) {
                this->refuse(verdict);
            }
        }
        return received;
    }

    /** Answers, and ends what the request's handler may still do with the connection. */
    [[noreturn]] void refuse(LimitVerdict verdict)
    {
        if (!this->refused) {
            this->refused = true;
            logEvent(EventKind::RequestRejected, {{"error", "over a request limit"}});
            const std::string answer = answerTo(verdict, this->CountedConnection::port->limits);
            Base::sendBytes(answer.data(), static_cast<int>(answer.size()), 0);
            this->shutdownSend();
            discardInput(this->sockfd());
        }
        throw Poco::Net::ConnectionAbortedException("the request is over a limit");
    }

    RequestMeter meter; ///< Of the request under way.
    bool refused = false; ///< An answer of ours was sent; nothing follows it.
};

class CallerServerSocket final : public Poco::Net::ServerSocketImpl
{
public:
    explicit CallerServerSocket(std::shared_ptr<CallerPort> port)
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
    const std::shared_ptr<CallerPort> port; ///< Shared with the connections.
};

/** A server socket over an implementation of ours. */
class CallerSocket final : public Poco::Net::ServerSocket
{
public:
    explicit CallerSocket(const std::shared_ptr<CallerPort> &port)
        : ServerSocket(new CallerServerSocket(port), true)
    {
    }
};

class CountFilter final : public Poco::Net::TCPServerConnectionFilter
{
public:
    bool accept(const Poco::Net::StreamSocket &socket) override
    {
        const auto *counted = dynamic_cast<const CountedConnection *>(socket.impl());
        if (counted == nullptr || counted->isWithin()) {
            return true;
        }
        logEvent(EventKind::RequestRejected, {{"error", "too many connections"}});
        if (!socket.secure()) {
            const std::string answer = rawAnswer("503 Service Unavailable",
                Error{ErrorKind::Overloaded, "too many connections from this address", Ran::No, RetryAfterMs});
            ::send(socket.impl()->sockfd(), answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        }
        return false;
    }
};

} // namespace

bool ConnectionCounts::add(const std::string &address)
{
    const std::scoped_lock lock(this->mutex);
    const int own = ++this->byAddress[address];
    this->total += 1;
    return own <= this->limits.connectionsPerCaller && this->total <= this->limits.connections;
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

Poco::Net::ServerSocket listenForCallers(const std::shared_ptr<CallerPort> &port, const std::string &address)
{
    CallerSocket socket(port);
    socket.bind(Poco::Net::SocketAddress(address), true);
    socket.listen(Backlog);
    return socket;
}

Poco::Net::TCPServerConnectionFilter::Ptr connectionFilter()
{
    return new CountFilter;
}

} // namespace Chestnuthook
