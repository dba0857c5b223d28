/** @file endpoint_relay_test.cpp  Relayed connections: bytes both ways, their ends, limits. */
#define BOOST_TEST_MODULE endpoint_relay
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "gateway/endpoint_relay_base.h"
#include "gateway/relayed_stream_base.h"
#include "support/connection_server.h"
#include "support/process_fleet.h"

using namespace Chestnuthook;
using namespace Chestnuthook::Testing;
using namespace std::chrono_literals;

namespace
{

const std::string EndpointId = "e1";
constexpr auto WaitStep = 10 * kj::MILLISECONDS;
constexpr int MaxWaitSteps = 1000;

/** A relay, and a client that asks it for connections to the endpoint of the test. */
struct Fixture
{
    explicit Fixture(ConnectionServer::Serve serve)
        : endpoint("127.0.0.1", std::move(serve))
    {
        OfferedServices services;
        services.peer = this->relay.client();
        const std::string address = reserveAddress("127.0.0.1");
        this->loop.detach(serveRpc(this->loop.rpc(), address, kj::mv(services)));
        this->link.emplace(this->loop.rpc(), address);
    }

    /** @throws kj::Exception if the relay refuses. */
    kj::Own<kj::AsyncIoStream> open(const std::string &id = EndpointId)
    {
        auto received = kj::refcounted<RelayBuffer>();
        auto sink = makeSink(kj::addRef(*received));
        return this->loop.wait(this->link->services().then(
            [&id, sink = kj::mv(sink), received = kj::mv(received)](OfferedServices &&services) mutable {
                auto request = services.peer.castAs<Wire::EndpointRelay>().connectRequest();
                request.setEndpoint(id.c_str());
                request.setToCaller(kj::mv(sink));
                return request.send().then(
                    [received = kj::mv(received)](auto &&response) mutable -> kj::Own<kj::AsyncIoStream> {
                        return kj::heap<RelayedStream>(kj::mv(received), response.getToEndpoint());
                    });
            }));
    }

    /** Reads at most @p bytes bytes, less only at the end. @throws kj::Exception if the connection was reset. */
    std::string read(kj::AsyncIoStream &stream, std::size_t bytes)
    {
        std::string text;
        std::vector<char> buffer(16384);
        while (text.size() < bytes) {
            const std::size_t count =
                this->loop.wait(stream.tryRead(buffer.data(), 1, std::min(buffer.size(), bytes - text.size())));
            if (count == 0) {
                break;
            }
            text.append(buffer.data(), count);
        }
        return text;
    }

    void write(kj::AsyncIoStream &stream, const std::string &text)
    {
        this->loop.wait(stream.write(text.data(), text.size()));
    }

    /** Runs the event loop until @p condition holds. @return whether it does in time. */
    template<typename Condition>
    bool runUntil(const Condition &condition)
    {
        bool isFulfilled = condition();
        for (int i = 0; i < MaxWaitSteps && !isFulfilled; ++i) {
            this->loop.wait(this->loop.kjTimer().afterDelay(WaitStep));
            isFulfilled = condition();
        }
        return isFulfilled;
    }

    ConnectionServer endpoint; ///< Endpoint of the test.
    ControlLoop loop{"secret", "test"}; ///< Runs both ends of the relay.
    ConnectionPool pool{loop}; ///< Opens the relay's connections.
    EndpointRelay relay{loop, pool, [this](const std::string &id) {
                            return id == EndpointId ? this->endpoint.address : std::string();
                        }};
    std::optional<RpcLink> link; ///< Connection to the relay.
};

void echo(Poco::Net::StreamSocket &connection, const std::atomic<bool> &stopping)
{
    std::vector<char> buffer(16384);
    while (!stopping) {
        if (connection.poll(Poco::Timespan(0, 20000), Poco::Net::Socket::SELECT_READ)) {
            const int count = connection.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (count <= 0) {
                return;
            }
            connection.sendBytes(buffer.data(), count);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(bytes_are_forwarded_both_ways)
{
    Fixture fixture(&echo);
    auto stream = fixture.open();
    std::string text;
    for (int i = 0; i < 50000; ++i) {
        text += std::to_string(i);
    }
    for (std::size_t at = 0; at < text.size(); at += 20000) {
        const std::string part = text.substr(at, 20000);
        fixture.write(*stream, part);
        BOOST_TEST(fixture.read(*stream, part.size()) == part);
    }
}

BOOST_AUTO_TEST_CASE(orderly_end_is_told_from_a_reset)
{
    for (const bool isReset : {false, true}) {
        Fixture fixture([isReset](Poco::Net::StreamSocket &connection, const std::atomic<bool> & /*stopping*/) {
            connection.sendBytes("half", 4);
            std::this_thread::sleep_for(50ms); // The reset must not overtake what was sent.
            connection.setLinger(isReset, 0);
        });
        auto stream = fixture.open();
        BOOST_TEST(fixture.read(*stream, 4) == "half");
        if (isReset) {
            BOOST_CHECK_THROW(fixture.read(*stream, 1), kj::Exception);
        } else {
            BOOST_TEST(fixture.read(*stream, 1).empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(end_of_the_relay_is_a_reset)
{
    Fixture fixture(&echo);
    auto stream = fixture.open();
    fixture.link->reset();
    BOOST_CHECK_THROW(fixture.read(*stream, 1), kj::Exception);
}

BOOST_AUTO_TEST_CASE(dropped_connection_ends_at_the_endpoint)
{
    std::atomic<bool> isEnded = false;
    Fixture fixture([&isEnded](Poco::Net::StreamSocket &connection, const std::atomic<bool> & /*stopping*/) {
        char byte = 0;
        isEnded = connection.receiveBytes(&byte, 1) == 0;
    });
    auto stream = fixture.open();
    BOOST_TEST(fixture.relay.connectionCount() == 1U);
    stream = nullptr;
    BOOST_TEST(fixture.runUntil([&isEnded]() {
        return isEnded.load();
    }));
    BOOST_TEST(fixture.relay.connectionCount() == 0U);
}

BOOST_AUTO_TEST_CASE(sender_waits_while_nothing_is_read)
{
    constexpr std::size_t MaxOnTheWay = 16UL << 20U; // Mostly in the sockets of the loopback connections.
    std::atomic<std::size_t> sent = 0;
    Fixture fixture([&sent](Poco::Net::StreamSocket &connection, const std::atomic<bool> &stopping) {
        const std::string text(1024, 'a');
        while (!stopping) {
            if (connection.poll(Poco::Timespan(0, 20000), Poco::Net::Socket::SELECT_WRITE)) {
                sent += static_cast<std::size_t>(connection.sendBytes(text.data(), static_cast<int>(text.size())));
            }
        }
    });
    auto stream = fixture.open();
    BOOST_TEST(fixture.read(*stream, 10).size() == 10U);
    std::size_t before = 0;
    BOOST_TEST(fixture.runUntil([&]() {
        fixture.loop.wait(fixture.loop.kjTimer().afterDelay(200 * kj::MILLISECONDS));
        return std::exchange(before, sent.load()) == before;
    }));
    BOOST_TEST(sent < MaxOnTheWay);
    BOOST_TEST(fixture.read(*stream, 2 * MaxOnTheWay).size() == 2 * MaxOnTheWay); // It goes on afterwards.
}

BOOST_AUTO_TEST_CASE(unknown_endpoint_and_connections_over_the_limit_are_refused)
{
    Fixture fixture(&echo);
    BOOST_CHECK_THROW(fixture.open("e2"), kj::Exception);
    std::vector<kj::Own<kj::AsyncIoStream>> streams;
    BOOST_TEST(fixture.runUntil([&]() {
        try {
            streams.push_back(fixture.open());
        } catch (const kj::Exception &) {
            return false; // The endpoint accepts no connection at the moment.
        }
        return streams.size() == EndpointRelay::MaxConnections;
    }));
    BOOST_CHECK_THROW(fixture.open(), kj::Exception);
    streams.pop_back();
    BOOST_TEST(fixture.runUntil([&fixture]() {
        return fixture.relay.connectionCount() < EndpointRelay::MaxConnections;
    }));
    BOOST_CHECK_NO_THROW(fixture.open());
    fixture.relay.stopAccepting();
    BOOST_CHECK_THROW(fixture.open(), kj::Exception);
    fixture.write(*streams.front(), "on");
    BOOST_TEST(fixture.read(*streams.front(), 2) == "on");
}
