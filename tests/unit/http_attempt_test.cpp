/** @file http_attempt_test.cpp  Attempts at endpoints that send bytes without end. */
#define BOOST_TEST_MODULE http_attempt
#include <boost/test/unit_test.hpp>

#include <thread>

#include "endpoint/attempt_deadline_base.h"
#include "endpoint/endpoint_list_base.h"
#include "endpoint/http_attempt_func.h"
#include "support/connection_server.h"

using namespace Chestnuthook;
using namespace Chestnuthook::Testing;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t MaxAnswerBytes = 5U << 20U; ///< A little more than the limit of an answer.

/** Endpoint that sends `first` once and then `rest` without end, after a pause each time. */
class EndlessEndpoint
{
public:
    EndlessEndpoint(std::string first, std::string rest, std::chrono::milliseconds pause = 0ms)
        : server("127.0.0.1",
            [first = std::move(first), rest = std::move(rest), pause](
                Poco::Net::StreamSocket &connection, const std::atomic<bool> &stopping) {
                connection.setSendTimeout(Poco::Timespan(2, 0));
                connection.sendBytes(first.data(), static_cast<int>(first.size()));
                while (!stopping) {
                    connection.sendBytes(rest.data(), static_cast<int>(rest.size()));
                    std::this_thread::sleep_for(pause);
                }
            })
    {
    }

    [[nodiscard]] AttemptRequest request() const
    {
        AttemptRequest request;
        request.address = this->server.address;
        request.method = "GET";
        request.path = "/";
        request.timeoutMs = 2000;
        return request;
    }

    ConnectionServer server;
};

const std::string Head = "HTTP/1.1 200 OK\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_CASE(body_without_end_is_given_up)
{
    const EndlessEndpoint endpoint(Head, std::string(16384, 'a'));
    CancelToken cancel;
    const AttemptOutcome outcome = runServiceAttempt(endpoint.request(), cancel);
    BOOST_TEST(!outcome.complete);
    BOOST_TEST(outcome.body.size() < MaxAnswerBytes);
}

BOOST_AUTO_TEST_CASE(head_without_end_is_given_up)
{
    for (const std::string &first : {std::string("HTTP/1.1 200 "), std::string("HTTP/1.1 200 OK\r\nX-A: ")}) {
        const EndlessEndpoint endpoint(first, std::string(16384, 'a'));
        CancelToken cancel;
        BOOST_TEST(!runServiceAttempt(endpoint.request(), cancel).complete);
    }
    std::string fields;
    for (int i = 0; i < 1000; ++i) {
        fields += "X-A: b\r\n";
    }
    const EndlessEndpoint endpoint("HTTP/1.1 200 OK\r\n", fields);
    CancelToken cancel;
    BOOST_TEST(!runServiceAttempt(endpoint.request(), cancel).complete);
}

BOOST_AUTO_TEST_CASE(text_of_an_engine_without_end_is_given_up)
{
    const std::string text(8192, 'a');
    const EndlessEndpoint endpoint(Head, R"(data: {"choices":[{"delta":{"content":")" + text + "\"}}]}\n\n");
    CancelToken cancel;
    std::size_t received = 0;
    const AttemptOutcome outcome = runEngineAttempt(
        endpoint.request(),
        [&received](std::string_view piece) {
            received += piece.size();
            return received < 2 * MaxAnswerBytes;
        },
        cancel);
    BOOST_TEST(!outcome.complete);
    BOOST_TEST(received > MaxAnswerBytes / 2, outcome.what);
    BOOST_TEST(received < MaxAnswerBytes);
}

BOOST_AUTO_TEST_CASE(deeply_nested_event_is_malformed)
{
    const EndlessEndpoint endpoint(Head + "data: " + std::string(250000, '[') + "\n\n", ": a\n\n");
    CancelToken cancel;
    const auto sink = [](std::string_view /*piece*/) {
        return true;
    };
    BOOST_TEST(!runEngineAttempt(endpoint.request(), sink, cancel).complete);
}

BOOST_AUTO_TEST_CASE(chunked_body_is_read_to_its_last_chunk)
{
    const std::string response =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2;a=b\r\nle\r\n0\r\nX-A: b\r\n\r\n";
    for (std::size_t cut = 0; cut < response.size(); cut += 3) { // The response comes in two parts.
        const ConnectionServer server(
            "127.0.0.1", [&](Poco::Net::StreamSocket &connection, const std::atomic<bool> & /*stopping*/) {
                connection.sendBytes(response.data(), static_cast<int>(cut));
                std::this_thread::sleep_for(5ms);
                connection.sendBytes(response.data() + cut, static_cast<int>(response.size() - cut));
                std::this_thread::sleep_for(50ms); // Closing with unread bytes would reset the connection.
            });
        AttemptRequest request;
        request.address = server.address;
        request.method = "GET";
        request.path = "/";
        request.timeoutMs = 2000;
        CancelToken cancel;
        const AttemptOutcome outcome = runServiceAttempt(request, cancel);
        BOOST_TEST(outcome.complete, outcome.what);
        BOOST_TEST(outcome.body == "whole");
    }
}

BOOST_AUTO_TEST_CASE(body_that_breaks_off_is_incomplete_however_it_is_framed)
{
    for (const std::string &response : {std::string("Transfer-Encoding: chunked\r\n\r\n3\r\nwho"),
             std::string("Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n"),
             std::string("Content-Length: 5\r\n\r\nwho")}) {
        const ConnectionServer server(
            "127.0.0.1", [&response](Poco::Net::StreamSocket &connection, const std::atomic<bool> & /*stopping*/) {
                const std::string bytes = "HTTP/1.1 200 OK\r\n" + response;
                connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
                connection.shutdownSend();
                std::this_thread::sleep_for(50ms); // Closing with unread bytes would reset the connection.
            });
        AttemptRequest request;
        request.address = server.address;
        request.method = "GET";
        request.path = "/";
        request.timeoutMs = 2000;
        CancelToken cancel;
        BOOST_TEST(!runServiceAttempt(request, cancel).complete, response);
    }
}

BOOST_AUTO_TEST_CASE(endpoint_list_that_trickles_without_end_meets_the_deadline)
{
    const EndlessEndpoint endpoint(Head, "a", 20ms);
    AttemptDeadlines deadlines;
    const auto cancel = deadlines.makeToken(Instant(1));
    std::jthread clock([&deadlines]() {
        std::this_thread::sleep_for(200ms);
        deadlines.expire(Instant(2));
    });
    BOOST_TEST(!fetchEndpointList(endpoint.server.address, *cancel).has_value());
    BOOST_TEST(cancel->isExpired());
}
