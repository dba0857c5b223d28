/** @file http_server_base.cpp  Connections of callers. */
#include "http/http_server_base.h"

#include <utility>

namespace Chestnuthook
{

namespace
{

} // namespace

void HttpExchange::write(kj::WaitScope &scope, std::string_view bytes)
{
    this->stream.write(bytes.data(), bytes.size()).wait(scope);
}

void HttpExchange::respond(kj::WaitScope &scope, ResponseHead response, std::string_view content)
{
    constexpr unsigned NoContent = 204;
    response.fields.remove("Content-Length");
    if (response.status != NoContent) {
        response.fields.add("Content-Length", std::to_string(content.size()));
    }
    if (this->closeAfter) {
        response.fields.add("Connection", "close");
    }
    std::string bytes = formatHead(response);
    if (this->head.method != "HEAD") {
        bytes += content;
    }
    this->begun = true;
    this->write(scope, bytes);
    this->whole = true;
}

void HttpExchange::respond(kj::WaitScope &scope, unsigned status, HttpFields fields, std::string_view content)
{
    ResponseHead response;
    response.status = status;
    response.fields = std::move(fields);
    this->respond(scope, std::move(response), content);
}

void HttpExchange::beginStream(kj::WaitScope &scope, ResponseHead response)
{
    response.fields.remove("Content-Length");
    response.fields.add("Transfer-Encoding", "chunked");
    if (this->closeAfter) {
        response.fields.add("Connection", "close");
    }
    this->begun = true;
    this->write(scope, formatHead(response));
}

void HttpExchange::writePart(kj::WaitScope &scope, std::string_view part)
{
    if (!part.empty()) {
        this->write(scope, formatChunk(part));
    }
}

void HttpExchange::endStream(kj::WaitScope &scope)
{
    this->write(scope, LastChunk);
    this->whole = true;
}

HttpServer::HttpServer(ControlLoop &loop, std::function<HttpLimits()> limits, Handler handler)
    : loop(loop)
    , limits(std::move(limits))
    , handler(std::move(handler))
    , fibers(StackBytes)
    , tasks(*this)
{
}

HttpServer::HttpServer(ControlLoop &loop, Handler handler)
    : HttpServer(
        loop,
        []() {
            return HttpLimits();
        },
        std::move(handler))
{
}

kj::Promise<void> HttpServer::listen(const std::string &address)
{
    return this->loop.rpc().network.parseAddress(address).then([this](kj::Own<kj::NetworkAddress> &&parsed) {
        auto receiver = parsed->listen();
        auto accepting = this->acceptLoop(*receiver);
        return accepting.attach(kj::mv(receiver), kj::mv(parsed));
    });
}

kj::Promise<void> HttpServer::acceptLoop(kj::ConnectionReceiver &receiver)
{
    return receiver.accept().then([this, &receiver](kj::Own<kj::AsyncIoStream> &&stream) {
        kj::AsyncIoStream &connection = *stream;
        this->tasks.add(this->fibers
                            .startFiber([this, &connection](kj::WaitScope &scope) {
                                this->serve(scope, connection);
                            })
                            .attach(kj::mv(stream)));
        return this->acceptLoop(receiver);
    });
}

void HttpServer::serve(kj::WaitScope &scope, kj::AsyncIoStream &stream)
{
    HttpInput input(stream);
    kj::Timer &timer = this->loop.kjTimer();
    while (true) {
        if (input.bytes().empty()) {
            input.setDeadline(timer, timer.now() + kjDuration(this->limits().idleTimeout));
            if (!input.more().wait(scope)) {
                return;
            }
        }
        if (!this->serveOne(scope, stream, input)) {
            return;
        }
    }
}

bool HttpServer::serveOne(kj::WaitScope &scope, kj::AsyncIoStream &stream, HttpInput &input)
{
    const HttpLimits limit = this->limits();
    kj::Timer &timer = this->loop.kjTimer();
    HttpRequestReader reader(input, limit.maxHeaderBytes, limit.maxBodyBytes);
    RequestHead head;
    input.setDeadline(timer, timer.now() + kjDuration(limit.headerTimeout));
    HttpRead read = reader.readHead(scope, head);
    HttpExchange exchange(stream, std::move(head), this->loop.timers().now());
    if (read == HttpRead::Done) {
        input.setDeadline(timer, timer.now() + kjDuration(limit.bodyTimeout));
        read = reader.readBody(scope, exchange.body);
        if (read == HttpRead::TooLarge) {
            exchange.closeAfter = true;
            exchange.respond(scope, HttpStatus::BodyTooLarge);
            return false;
        }
    }
    if (read != HttpRead::Done) {
        exchange.closeAfter = true;
        if (input.hasTimedOut()) {
            exchange.respond(scope, HttpStatus::RequestTimeout);
        } else if (read == HttpRead::TooLarge) {
            exchange.respond(scope, HttpStatus::HeaderTooLarge);
        } else if (read == HttpRead::Malformed) {
            exchange.respond(scope, HttpStatus::BadRequest);
        }
        return false;
    }
    input.clearDeadline();
    exchange.closeAfter = this->draining || !exchange.head.keepAlive;
    ++this->busy;
    KJ_DEFER(--this->busy);
    auto gone = input.whenClosed().then([]() {
        return false;
    });
    // Nothing may throw between the start of this fiber and its end: one that unwinds can't cancel another.
    auto answered = this->fibers.startFiber([this, &exchange](kj::WaitScope &inner) {
        this->handler(inner, exchange);
        return true;
    });
    const bool stays = answered.exclusiveJoin(kj::mv(gone)).wait(scope);
    return stays && exchange.isWhole() && !exchange.closeAfter;
}

void HttpServer::taskFailed(kj::Exception && /*exception*/)
{
    // The connection has broken; what that meant for a request was logged by its handler.
}

} // namespace Chestnuthook
