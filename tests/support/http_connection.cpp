/** @file http_connection.cpp  Reads responses with a length or in chunks from a kept connection. */
#include "support/http_connection.h"

#include "support/raw_server.h"

namespace Chestnuthook::Testing
{

namespace
{

Poco::Timespan toTimespan(std::chrono::milliseconds duration)
{
    return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

} // namespace

Response parseResponse(const std::string &bytes)
{
    Response response;
    const std::size_t end = bytes.find("\r\n\r\n");
    if (!bytes.starts_with("HTTP/1.1 ") || end == std::string::npos) {
        return response;
    }
    response.status = std::stoi(bytes.substr(9, 3));
    response.head = bytes.substr(0, end + 2);
    const std::string &head = response.head;
    std::string rest = bytes.substr(end + 4);
    if (head.find("chunked") == std::string::npos) {
        const std::string length = fieldOf(head, "Content-Length");
        response.complete = !length.empty() && rest.size() == std::stoul(length);
        response.body = rest;
    } else {
        for (std::size_t at = rest.find("\r\n"); at != std::string::npos; at = rest.find("\r\n")) {
            const std::size_t size = std::stoul(rest.substr(0, at), nullptr, 16);
            if (size == 0 || rest.size() < at + 2 + size + 2) {
                response.complete = size == 0 && rest.size() == at + 4;
                break;
            }
            response.body += rest.substr(at + 2, size);
            rest.erase(0, at + 2 + size + 2);
        }
    }
    response.keepsConnection = response.complete && head.find("Connection: close") == std::string::npos;
    return response;
}

HttpConnection::HttpConnection(const std::string &address, std::chrono::milliseconds timeout)
{
    this->socket.connect(Poco::Net::SocketAddress(address), toTimespan(timeout));
    this->socket.setNoDelay(true);
}

Response HttpConnection::exchange(const std::string &request, std::chrono::milliseconds idleTimeout,
    const std::function<bool(const Response &)> &isEnough)
{
    std::string bytes;
    Response response;
    try {
        this->socket.sendBytes(request.data(), static_cast<int>(request.size()));
        char buffer[4096];
        while (this->socket.poll(toTimespan(idleTimeout), Poco::Net::Socket::SELECT_READ)) {
            const int count = this->socket.receiveBytes(buffer, sizeof buffer);
            if (count <= 0) {
                response.end = ConnectionEnd::Closed;
                break;
            }
            bytes.append(buffer, static_cast<std::size_t>(count));
            response = parseResponse(bytes);
            if (response.complete || (isEnough && isEnough(response))) {
                break;
            }
        }
    } catch (const Poco::Exception &) {
        response.end = ConnectionEnd::Reset; // What has arrived is the response.
    }
    return response;
}

} // namespace Chestnuthook::Testing
