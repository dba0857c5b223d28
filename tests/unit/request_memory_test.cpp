/** @file request_memory_test.cpp  Which requests and connections are evicted when a process's memory for them is used
 * up. */
#define BOOST_TEST_MODULE request_memory
#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

#include "http/request_memory_base.h"

using namespace Chestnuthook;
using namespace std::chrono_literals;

namespace
{

using Room = RequestMemory::Room;

constexpr std::size_t MemoryLimitBytes = 88U << 20U;
constexpr std::size_t MaxBodyBytes = 4U << 20U;
constexpr std::size_t LargeClaim = 2 * MaxBodyBytes; ///< Of a body of the largest size.
constexpr std::size_t SmallClaim = 26000; ///< Of a body of 13 KB.

/** Connections of a process with the limits of a small gateway. */
struct Fixture
{
    RequestMemory::Share &connect()
    {
        this->shares.push_back(std::make_unique<RequestMemory::Share>(this->memory, this->now, [this]() {
            ++this->evictions;
        }));
        return *this->shares.back();
    }

    RequestMemory::Share &request(std::size_t bytes, Room expected = Room::Granted)
    {
        RequestMemory::Share &share = this->connect();
        share.beginRequest(this->now);
        BOOST_TEST((share.claim(this->now, bytes) == expected));
        return share;
    }

    Instant now{1000000};
    RequestMemory memory{MemoryLimitBytes, 3000};
    unsigned evictions = 0; ///< Number of calls of the shares' functions.
    std::vector<std::unique_ptr<RequestMemory::Share>> shares; ///< Destroyed first.
};

} // namespace

// Fails if requests hold memory without limit: 60 bodies of 4 MB that stop just short of their end.
BOOST_FIXTURE_TEST_CASE(stalled_large_bodies_make_room_for_one_another, Fixture)
{
    unsigned granted = 0;
    std::vector<RequestMemory::Share *> waiting;
    for (unsigned i = 0; i < 60; ++i) {
        RequestMemory::Share &share = this->connect();
        share.beginRequest(this->now);
        if (share.claim(this->now, LargeClaim) == Room::Granted) {
            ++granted;
        } else {
            waiting.push_back(&share);
        }
        BOOST_TEST(this->memory.claimedBytes() <= this->memory.maxClaimedBytes());
    }
    BOOST_TEST(granted == 2U);
    BOOST_TEST(this->evictions == 0U);
    for (RequestMemory::Share *share : waiting) {
        this->now = this->now + 150ms;
        share->recordProgress(this->now, 0);
        granted += share->claim(this->now, LargeClaim) == Room::Granted ? 1 : 0;
        BOOST_TEST(this->memory.claimedBytes() <= this->memory.maxClaimedBytes());
    }
    BOOST_TEST(granted > 30U);
    BOOST_TEST(this->evictions == granted - 2);
}

// Fails if a body that arrives at a usual rate is given up for one that waits.
BOOST_FIXTURE_TEST_CASE(large_body_that_makes_progress_is_not_evicted_for_another_large_one, Fixture)
{
    RequestMemory::Share &first = this->request(LargeClaim);
    RequestMemory::Share &second = this->request(LargeClaim);
    RequestMemory::Share &third = this->request(LargeClaim, Room::Wait);
    for (unsigned i = 1; i <= 20; ++i) {
        this->now = this->now + 100ms;
        first.recordProgress(this->now, i * 100000UL); // 1 MB/s.
        second.recordProgress(this->now, i * 1000UL); // 10 KB/s.
        (void)third.claim(this->now, LargeClaim);
    }
    BOOST_TEST(!first.isEvicted());
    BOOST_TEST(second.isEvicted());
    BOOST_TEST((third.claim(this->now, LargeClaim) == Room::Granted));
}

// Fails if requests that may have run are given up.
BOOST_FIXTURE_TEST_CASE(request_that_is_handled_is_never_evicted, Fixture)
{
    RequestMemory::Share &first = this->request(LargeClaim);
    RequestMemory::Share &second = this->request(LargeClaim);
    first.beginHandling();
    second.beginHandling();
    RequestMemory::Share &third = this->request(LargeClaim, Room::Wait);
    this->now = this->now + 10s;
    BOOST_TEST((third.claim(this->now, LargeClaim) == Room::Wait));
    this->memory.closeConnections(this->now, 10);
    BOOST_TEST(!first.isEvicted());
    first.endRequest(this->now);
    BOOST_TEST((third.claim(this->now, LargeClaim) == Room::Granted));
}

// Fails if ordinary clients pay for large requests.
BOOST_FIXTURE_TEST_CASE(small_requests_take_the_memory_of_large_incomplete_ones, Fixture)
{
    RequestMemory::Share &large = this->request(LargeClaim);
    unsigned granted = 0;
    while (this->memory.connectionCount() < this->memory.maxConnectionCount() - 1 && !large.isEvicted()) {
        this->request(RequestMemory::MinLargeBytes);
        ++granted;
    }
    BOOST_TEST(large.isEvicted());
    BOOST_TEST(this->evictions == 1U);
    BOOST_TEST(granted > 50U);
}

// Fails if a flood of small requests that never end refuses new ones.
BOOST_FIXTURE_TEST_CASE(small_requests_without_progress_make_room_for_new_ones, Fixture)
{
    for (unsigned i = 0; i < 3000; ++i) {
        this->now = this->now + 5ms;
        this->request(SmallClaim);
        BOOST_TEST(this->memory.claimedBytes() <= this->memory.maxClaimedBytes());
        BOOST_TEST(this->memory.connectionCount() <= this->memory.maxConnectionCount());
    }
}

// Fails if handled requests alone may exceed the memory.
BOOST_FIXTURE_TEST_CASE(small_request_is_refused_while_requests_that_are_handled_take_all_memory, Fixture)
{
    unsigned granted = 0;
    for (unsigned i = 0; i < 600; ++i) {
        RequestMemory::Share &share = this->connect();
        share.beginRequest(this->now);
        if (share.claim(this->now, 130000) == Room::Granted) {
            share.beginHandling();
            ++granted;
        }
        BOOST_TEST(this->memory.claimedBytes() <= this->memory.maxClaimedBytes());
    }
    BOOST_TEST(granted > 100U);
    BOOST_TEST(granted < 600U);
}

// Fails if a configuration of 16 MB can't be put at a member with little memory.
BOOST_FIXTURE_TEST_CASE(single_large_request_is_granted_whatever_its_size, Fixture)
{
    this->request(SmallClaim);
    RequestMemory::Share &large = this->request(40U << 20U);
    BOOST_TEST((large.claim(this->now, 50U << 20U) == Room::Granted));
    this->request(LargeClaim, Room::Wait);
}

// Fails if a client that has been served is closed for one that only connects.
BOOST_FIXTURE_TEST_CASE(connections_without_a_complete_request_are_closed_first, Fixture)
{
    RequestMemory::Share &served = this->request(SmallClaim);
    served.beginHandling();
    served.endRequest(this->now);
    for (unsigned i = 0; i < 5000; ++i) {
        this->now = this->now + 1ms;
        this->connect();
        BOOST_TEST(this->memory.connectionCount() <= this->memory.maxConnectionCount());
    }
    BOOST_TEST(!served.isEvicted());
    BOOST_TEST(!this->shares.back()->isEvicted());
}

// Fails if a flood of connections keeps others from being accepted.
BOOST_FIXTURE_TEST_CASE(new_connection_takes_the_place_of_the_oldest_without_a_request, Fixture)
{
    while (this->memory.connectionCount() < this->memory.maxConnectionCount()) {
        this->connect();
        this->now = this->now + 10us;
    }
    BOOST_TEST(!this->connect().isEvicted());
    BOOST_TEST(this->evictions == 1U);
    BOOST_TEST(this->shares.front()->isEvicted());
}

// Fails if connections with a request that may have run are closed for new ones.
BOOST_FIXTURE_TEST_CASE(new_connection_is_refused_while_requests_of_all_others_are_handled, Fixture)
{
    while (this->memory.connectionCount() < this->memory.maxConnectionCount()) {
        this->request(2000).beginHandling();
    }
    BOOST_TEST(this->connect().isEvicted());
    BOOST_TEST(this->evictions == 0U);
}

// Fails if more connections are accepted than the process has descriptors.
BOOST_AUTO_TEST_CASE(connection_limit_follows_from_memory_and_descriptors)
{
    const RequestMemory small(88U << 20U, 3000);
    const RequestMemory large(260U << 20U, 3000);
    const RequestMemory few(260U << 20U, 300);
    BOOST_TEST(small.maxConnectionCount() > 400U);
    BOOST_TEST(small.maxConnectionCount() * RequestMemory::ConnectionBytes <= small.maxClaimedBytes());
    BOOST_TEST(large.maxConnectionCount() > small.maxConnectionCount());
    BOOST_TEST(few.maxConnectionCount() == 200U);
}
