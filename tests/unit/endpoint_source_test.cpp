/** @file endpoint_source_test.cpp  Reads of the platform's endpoint list when the platform sends bytes without end. */
#define BOOST_TEST_MODULE endpoint_source
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <thread>

#include <malloc.h>

#include "platform_endpoint_source_base.h"
#include "support/raw_server.h"

using namespace Chestnuthook;
using Testing::RawServer;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t MaxGrowthBytes = 64U << 20U; ///< A quarter of the memory of a control member.
constexpr auto MaxTime = 10s; ///< The limit of a read is 8 s.
constexpr std::size_t MaxSentBytes = 1U << 30U; ///< After that many bytes the server gives up.

/** What is sent once, and then again and again. */
struct Endless
{
    std::string name; ///< For messages.
    std::string start; ///< Sent once.
    std::string repeated; ///< Sent without end.
};

std::ostream &operator<<(std::ostream &stream, const Endless &endless)
{
    return stream << endless.name;
}

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";
const std::vector<Endless> Kinds = {
    {"noise", "", "xxxxxxxxxxxxxxxx"},
    {"status line", "HTTP/1.1 200 ", "OK"},
    {"field", Ok + "X-Long: ", "xxxxxxxxxxxxxxxx"},
    {"fields", Ok, "X-Field: value\r\n"},
    {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"huge length", Ok + "Content-Length: 99999999999\r\n\r\n{\"instances\":[", "{},"},
    {"body until the end", Ok + "Connection: close\r\n\r\n{\"instances\":[", "{},"},
    {"entry", Chunked + "fffffff\r\n{\"instances\":[\"", "xxxxxxxxxxxxxxxx"},
    {"nested entry", Chunked + "fffffff\r\n{\"instances\":", "[[[[[[[[[[[[[[[["},
    {"chunks", Chunked, "1\r\n[\r\n"},
    {"chunk extension", Chunked + "1;x=", "xxxxxxxxxxxxxxxx"},
    {"trailers", Chunked + "0\r\n", "X-Field: value\r\n"},
};

std::size_t heapBytesInUse()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace

BOOST_DATA_TEST_CASE(list_without_end_is_given_up, boost::unit_test::data::make(Kinds), endless)
{
    std::atomic<bool> isEnding = false;
    RawServer platform("127.0.0.1",
        [&](Poco::Net::StreamSocket &connection, const std::string & /*head*/, const std::string & /*body*/) {
            std::string part;
            while (part.size() < (64U << 10U)) {
                part += endless.repeated;
            }
            try {
                connection.sendBytes(endless.start.data(), static_cast<int>(endless.start.size()));
                for (std::size_t sent = 0; sent < MaxSentBytes && !isEnding; sent += part.size()) {
                    connection.sendBytes(part.data(), static_cast<int>(part.size()));
                }
            } catch (const Poco::Exception &) {
                // The reader has closed the connection.
            }
            return false;
        });
    ControlLoop loop("secret", "test");
    Platform::PlatformEndpointSource source(loop, platform.address);
    const std::size_t before = heapBytesInUse();
    std::atomic<std::size_t> peak = before;
    std::jthread sampler([&peak](const std::stop_token &stopping) {
        while (!stopping.stop_requested()) {
            peak = std::max(peak.load(), heapBytesInUse());
            std::this_thread::sleep_for(5ms);
        }
    });
    const auto start = std::chrono::steady_clock::now();
    const EndpointListResult list = loop.wait(source.read());
    BOOST_TEST(!list->has_value());
    BOOST_TEST((std::chrono::steady_clock::now() - start < MaxTime));
    isEnding = true;
    sampler.request_stop();
    sampler.join();
    BOOST_TEST(peak - before < MaxGrowthBytes);
}
