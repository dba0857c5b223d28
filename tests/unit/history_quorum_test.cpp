/** @file history_quorum_test.cpp  A history client and members in threads of this process, with slow storage and
 * connections that fall silent. */
#define BOOST_TEST_MODULE history_quorum
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <future>
#include <memory>
#include <thread>
#include <utility>

#include <Poco/Net/ServerSocket.h>

#include "observe/log_func.h"
#include "support/faulty_link.h"
#include "support/history_member_thread.h"
#include "support/process_fleet.h"

using namespace Chestnuthook;
using Testing::FaultyLink;
using Testing::HistoryMemberThread;
using Testing::HistoryTestClient;
using Testing::LinkFault;
using Testing::testTurn;
using Testing::waitUntil;
using namespace std::chrono_literals;

namespace
{

constexpr auto Patience = 8s; ///< Much longer than two syncs.

/** Three members and a client whose connections to them go through proxies. */
class Group
{
public:
    Group()
    {
        HistoryView view{1, {}, {}};
        for (int i = 0; i < 3; ++i) {
            this->members.push_back(std::make_unique<HistoryMemberThread>("member-" + std::to_string(i)));
            this->members.back()->start();
            this->links.push_back(std::make_unique<FaultyLink>(this->members.back()->address));
            HistoryMember info = this->members.back()->info;
            info.address = this->links.back()->address;
            view.current.push_back(info);
        }
        this->client = std::make_unique<HistoryTestClient>(view);
        BOOST_REQUIRE(this->write("first", 5s)); // All connections exist after it.
    }

    [[nodiscard]] bool write(const std::string &id, Duration patience) const
    {
        return this->client->write(testTurn(id), patience);
    }

    void setSyncTime(std::chrono::milliseconds time)
    {
        for (const auto &member : this->members) {
            member->files.syncTime = time;
        }
    }

    std::vector<std::unique_ptr<HistoryMemberThread>> members; ///< The members.
    std::vector<std::unique_ptr<FaultyLink>> links; ///< Proxies to the members.
    std::unique_ptr<HistoryTestClient> client; ///< The client under test.
};

} // namespace

BOOST_AUTO_TEST_CASE(write_is_acknowledged_although_each_sync_takes_longer_than_a_call_timeout)
{
    Group group;
    for (const auto time : {600ms, 900ms, 1200ms}) {
        group.setSyncTime(time);
        const auto start = std::chrono::steady_clock::now();
        BOOST_TEST(group.write("slow-" + std::to_string(time.count()), Patience), "sync of " << time.count() << " ms");
        BOOST_TEST_MESSAGE("sync of " << time.count() << " ms: acknowledged after "
                                      << (std::chrono::steady_clock::now() - start) / 1ms << " ms");
    }
}

BOOST_AUTO_TEST_CASE(acknowledgements_of_different_tries_count_together)
{
    Group group;
    group.links[2]->setFault(LinkFault::Reset);
    group.members[1]->files.syncTime = 800ms;
    group.links[0]->setFault(LinkFault::Reset); // Member 0 is reached only after member 1 has answered.
    auto written = std::async(std::launch::async, [&group]() {
        std::this_thread::sleep_for(2500ms); // Longer than two syncs; the first write may still be in one.
        group.links[1]->setFault(LinkFault::Reset);
        group.links[0]->setFault(LinkFault::None);
    });
    BOOST_TEST(group.write("apart", 6s));
    written.get();
}

BOOST_AUTO_TEST_CASE(slow_call_does_not_fail_other_calls_on_its_connection)
{
    Group group;
    group.setSyncTime(700ms);
    const auto results = group.client->runFiber([&group](kj::WaitScope &scope) {
        kj::Vector<kj::Promise<bool>> writes;
        for (int i = 0; i < 8; ++i) { // A new one begins while earlier ones are late.
            writes.add(kj::startFiber(HistoryTestClient::StackBytes, [&group, i](kj::WaitScope &inner) {
                return group.client->client
                    .write(inner, {testTurn("many-" + std::to_string(i))}, {}, group.client->now() + 4s)
                    .has_value();
            }));
            group.client->loop.kjTimer().afterDelay(130 * kj::MILLISECONDS).wait(scope);
        }
        const auto done = kj::joinPromises(writes.releaseAsArray()).wait(scope);
        return std::count(done.begin(), done.end(), true);
    });
    BOOST_TEST(results == 8);
}

BOOST_AUTO_TEST_CASE(silent_connection_is_replaced)
{
    Group group;
    for (const auto &link : group.links) {
        link->silenceConnections();
    }
    const auto start = std::chrono::steady_clock::now();
    BOOST_TEST(group.write("silent", 3s));
    BOOST_TEST_MESSAGE("acknowledged after " << (std::chrono::steady_clock::now() - start) / 1ms << " ms");
}

BOOST_AUTO_TEST_CASE(member_that_lacks_a_turn_gets_the_chain_of_the_next_one)
{
    Group group;
    const auto read = group.client->runFiber([&group](kj::WaitScope &scope) {
        const auto until = [&group]() {
            return group.client->now() + 3s;
        };
        const KeptTurn second = testTurn("second", "first");
        const KeptTurn third = testTurn("third", "second");
        group.links[2]->setFault(LinkFault::Reset);
        BOOST_REQUIRE(group.client->client.write(scope, {second}, {}, until()));
        const auto chain = group.client->client.begin(scope, TurnStart{{}, 0, "second", "glue"}, until());
        BOOST_REQUIRE(chain);
        group.links[2]->setFault(LinkFault::None);
        group.links[1]->setFault(LinkFault::Reset);
        BOOST_REQUIRE(group.client->client.write(scope, {third}, chain->chain, until()));
        group.links[0]->setFault(LinkFault::Reset);
        const auto begun = group.client->client.begin(scope, TurnStart{{}, 0, "third", "glue"}, until());
        return begun ? begun->chain.size() : 0;
    });
    BOOST_TEST(read == 3U);
}

BOOST_AUTO_TEST_CASE(member_answers_reads_while_its_storage_syncs)
{
    Group group;
    group.setSyncTime(2000ms);
    const auto read = group.client->runFiber([&group](kj::WaitScope &scope) {
        group.client->client.writeInBackground({testTurn("pending")});
        group.client->loop.kjTimer().afterDelay(50 * kj::MILLISECONDS).wait(scope);
        const auto begun =
            group.client->client.begin(scope, TurnStart{{}, 0, "first", "glue"}, group.client->now() + 500ms);
        return begun.has_value() && begun->chain.size() == 1;
    });
    BOOST_TEST(read);
}

BOOST_AUTO_TEST_CASE(step_of_the_members_wall_clocks_expires_no_turn)
{
    Group group;
    for (const auto &member : group.members) {
        member->stop();
        member->clockOffsetMs = 3600 * 1000;
        member->start();
        member->clockOffsetMs = 7200 * 1000;
    }
    BOOST_TEST(group.write("later", Patience));
    KeptTurn shortLived = testTurn("short-lived"); // Its end shows that the members have deleted expired records.
    shortLived.expiresMs -= std::exchange(shortLived.keepMs, 1);
    BOOST_TEST(group.client->write(shortLived, Patience));
    BOOST_TEST(waitUntil([&group]() {
        return !group.client->isKept("short-lived", 3s);
    }));
    BOOST_TEST(group.client->isKept("first", 3s));
    BOOST_TEST(group.client->isKept("later", 3s));
}

BOOST_AUTO_TEST_CASE(notice_of_a_view_is_kept_without_the_segments_before_it)
{
    HistoryMemberThread member("member");
    member.segmentBytes = 1; // Each sync closes a segment.
    member.viewTtlMs = 1;
    member.start();
    HistoryTestClient client(HistoryView{7, {member.info}, {}});
    for (int i = 0; i < 10; ++i) {
        KeptTurn turn = testTurn("turn-" + std::to_string(i));
        turn.keepMs = 1;
        BOOST_REQUIRE(client.write(turn, Patience));
    }
    const auto hasFirstSegment = [&member]() {
        return member.files.exists(std::string(HistoryMemberThread::Folder) + "/history-1");
    };
    BOOST_TEST(hasFirstSegment());
    BOOST_TEST(waitUntil([&hasFirstSegment]() {
        return !hasFirstSegment();
    }));
    member.stop();
    member.start();
    member.call([](HistoryMemberDaemon &daemon) {
        BOOST_TEST(daemon.table.highestSeenView() == 7U);
    });
}

BOOST_AUTO_TEST_CASE(chain_read_from_silent_members_ends_in_time)
{
    constexpr auto TimeLeft = 100ms;
    constexpr auto MaxLateness = 500ms;
    std::vector<Poco::Net::ServerSocket> ports; // Connections to them are never accepted.
    HistoryView view{1, {}, {}};
    for (auto *members : {&view.current, &view.next}) {
        for (int i = 0; i < 3; ++i) {
            ports.emplace_back(Poco::Net::SocketAddress("127.0.0.1:0"));
            const std::string name = "member-" + std::to_string(ports.size());
            members->push_back({name, name, ports.back().address().toString()});
        }
    }
    HistoryTestClient client(view);
    const Instant start = client.now();
    BOOST_TEST(!client.isKept("any", TimeLeft));
    const Duration late = client.now() - start - TimeLeft;
    BOOST_TEST(late < Duration(MaxLateness), "late by " << late / 1ms << " ms");
}

BOOST_AUTO_TEST_CASE(tokens_of_a_turn_that_ends_while_no_member_answers_are_handed_back)
{
    Group group;
    const auto start = [](const std::string &id) {
        TurnStart turn;
        turn.claim.program = "glue/p";
        turn.claim.claim = TokenClaim{id, 60, false};
        turn.claim.keepMs = 60000;
        turn.claim.expiresMs = static_cast<std::uint64_t>(wallMsNow()) + turn.claim.keepMs;
        turn.budget = 100;
        turn.customer = "glue";
        return turn;
    };
    const bool isServed = group.client->runFiber([&](kj::WaitScope &scope) {
        HistoryClient &client = group.client->client;
        BOOST_REQUIRE(client.begin(scope, start("first"), group.client->now() + 2s));
        for (const auto &link : group.links) {
            link->setFault(LinkFault::Reset);
        }
        group.client->loop.kjTimer().afterDelay(200 * kj::MILLISECONDS).wait(scope);
        ProgramClaim settled = start("first").claim;
        settled.claim = TokenClaim{"first", 0, true};
        client.writeInBackground({settled});
        group.client->loop.kjTimer().afterDelay(1500 * kj::MILLISECONDS).wait(scope);
        for (const auto &link : group.links) {
            link->setFault(LinkFault::None);
        }
        group.client->loop.kjTimer().afterDelay(2 * kj::SECONDS).wait(scope);
        return client.begin(scope, start("second"), group.client->now() + 2s).has_value();
    });
    BOOST_TEST(isServed);
}
