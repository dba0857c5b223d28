/** @file http_test.cpp  Messages on connections: cut, split, malformed, reset; and the server's connections. */
#define BOOST_TEST_MODULE http
#include <boost/test/unit_test.hpp>

#include "gateway/endpoint_link_base.h"
#include "http/http_reader_base.h"
#include "http/http_server_base.h"

using namespace Chestnuthook;

namespace
{

/** One end that a test writes to, and the input at the other end. */
struct Connection
{
    explicit Connection(kj::AsyncIoContext &io)
        : pipe(io.provider->newTwoWayPipe())
        , input(*this->pipe.ends[1])
        , scope(io.waitScope)
    {
    }

    void send(const std::string &bytes)
    {
        this->pipe.ends[0]->write(bytes.data(), bytes.size()).wait(this->scope);
    }
    void close()
    {
        this->pipe.ends[0] = nullptr;
    }

    kj::TwoWayPipe pipe; ///< The connection.
    HttpInput input; ///< At its second end.
    kj::WaitScope &scope; ///< Of the test.
};

/** A socket whose peer has reset it: reads and writes throw at once, as the system calls do. */
class ResetStream final : public kj::AsyncIoStream
{
public:
    kj::Promise<std::size_t> tryRead(void * /*buffer*/, std::size_t /*least*/, std::size_t /*most*/) override
    {
        kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "connection reset by peer"));
    }
    kj::Promise<void> write(const void * /*buffer*/, std::size_t /*size*/) override
    {
        kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "broken pipe"));
    }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> /*pieces*/) override
    {
        return kj::READY_NOW;
    }
    kj::Promise<void> whenWriteDisconnected() override
    {
        return kj::NEVER_DONE;
    }
    void shutdownWrite() override
    {
    }
};

struct Read
{
    HttpRead outcome = HttpRead::Done; ///< Of the head, else of the body.
    ResponseHead head; ///< Where the head was whole.
    std::string body; ///< All parts that came.
};

Read readResponse(Connection &wire)
{
    Read read;
    HttpResponseReader reader(wire.input, false);
    read.outcome = reader.readHead(wire.scope, read.head);
    std::string part;
    do {
        if (read.outcome != HttpRead::Done) {
            return read;
        }
        read.outcome = reader.readPart(wire.scope, part);
        read.body += part;
    } while (!part.empty());
    return read;
}

} // namespace

BOOST_AUTO_TEST_CASE(bodies_with_length_in_chunks_and_up_to_the_end_are_read)
{
    auto io = kj::setupAsyncIo();
    Connection wire(io);
    wire.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
              "HTTP/1.1 200 OK\r\n\r\nopen");
    const Read first = readResponse(wire);
    BOOST_TEST(first.body == "hello");
    BOOST_TEST(first.head.keepAlive);
    BOOST_TEST(readResponse(wire).body == "abcde");
    wire.close();
    const Read last = readResponse(wire);
    BOOST_TEST(last.body == "open");
    BOOST_TEST((last.outcome == HttpRead::Done));
    BOOST_TEST(!last.head.keepAlive);
}

BOOST_AUTO_TEST_CASE(an_answer_that_ends_early_is_broken)
{
    for (const char *bytes : {"HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab"}) {
        auto io = kj::setupAsyncIo();
        Connection wire(io);
        wire.send(bytes);
        wire.close();
        BOOST_TEST((readResponse(wire).outcome == HttpRead::Broken), bytes);
    }
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_answer_are_malformed)
{
    auto io = kj::setupAsyncIo();
    Connection wire(io);
    wire.send("garbage garbage garbage\r\n\r\n");
    BOOST_TEST((readResponse(wire).outcome == HttpRead::Malformed));
}

BOOST_AUTO_TEST_CASE(a_closed_connection_without_a_byte_is_no_broken_answer)
{
    auto io = kj::setupAsyncIo();
    Connection wire(io);
    wire.close();
    BOOST_TEST((readResponse(wire).outcome == HttpRead::Closed));
}

BOOST_AUTO_TEST_CASE(a_socket_that_was_reset_ends_the_input_without_an_exception)
{
    auto io = kj::setupAsyncIo();
    ResetStream stream;
    HttpInput input(stream);
    BOOST_TEST(!input.more().wait(io.waitScope));
    BOOST_TEST(input.wasReset());
    input.whenClosed().wait(io.waitScope);
}

BOOST_AUTO_TEST_CASE(a_request_on_a_socket_that_was_reset_is_not_sent_and_ends_no_fiber)
{
    auto io = kj::setupAsyncIo();
    EndpointConnection connection(kj::heap<ResetStream>());
    kj::Timer &timer = io.provider->getTimer();
    BOOST_TEST(!connection.send(io.waitScope, timer, "GET / HTTP/1.1\r\n\r\n", timer.now() + 1 * kj::SECONDS));
}

BOOST_AUTO_TEST_CASE(requests_that_could_hide_another_are_refused)
{
    for (const char *bytes : {"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
             "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "POST  / HTTP/1.1\r\n\r\n"}) {
        auto io = kj::setupAsyncIo();
        Connection wire(io);
        wire.send(bytes);
        HttpRequestReader reader(wire.input, 1000, 1000);
        RequestHead head;
        BOOST_TEST((reader.readHead(wire.scope, head) == HttpRead::Malformed), bytes);
    }
}

BOOST_AUTO_TEST_CASE(bounds_of_head_and_body_hold)
{
    auto io = kj::setupAsyncIo();
    Connection wire(io);
    wire.send("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n");
    HttpRequestReader reader(wire.input, 1000, 1000);
    RequestHead head;
    BOOST_TEST((reader.readHead(wire.scope, head) == HttpRead::TooLarge));
    Connection other(io);
    other.send("POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\nx");
    HttpRequestReader second(other.input, 1000, 1000);
    const HttpRead read = second.readHead(other.scope, head);
    std::string body;
    BOOST_TEST((read == HttpRead::TooLarge || second.readBody(other.scope, body) == HttpRead::TooLarge));
}

BOOST_AUTO_TEST_CASE(bytes_of_the_next_request_wait_for_their_turn)
{
    auto io = kj::setupAsyncIo();
    Connection wire(io);
    wire.send("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET /b HTTP/1.1\r\n\r\n");
    RequestHead head;
    std::string body;
    HttpRequestReader first(wire.input, 1000, 1000);
    BOOST_TEST((first.readHead(wire.scope, head) == HttpRead::Done));
    BOOST_TEST((first.readBody(wire.scope, body) == HttpRead::Done));
    BOOST_TEST(body == "hi");
    HttpRequestReader second(wire.input, 1000, 1000);
    RequestHead next;
    BOOST_TEST((second.readHead(wire.scope, next) == HttpRead::Done));
    BOOST_TEST(next.target == "/b");
}

BOOST_AUTO_TEST_CASE(query_parameters_are_decoded)
{
    const RequestHead head{"GET", "/-/x?zone=a%20b&name=n", {}, true};
    BOOST_TEST(head.path() == "/-/x");
    BOOST_TEST(head.parameter("zone") == "a b");
    BOOST_TEST(head.parameter("none").empty());
}
