/** @file history_store_test.cpp  A history member that stores many times the turns that fit into its memory: bounds of
 * its memory, chains that only the disk holds, restarts, copies, renewals, and refusals when it is full. */
#define BOOST_TEST_MODULE history_store
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "support/history_member_thread.h"

using namespace Chestnuthook;
using Testing::HistoryMemberThread;
using Testing::HistoryTestClient;
using Testing::testTurn;
using namespace std::chrono_literals;

namespace
{

constexpr Duration Patience = 10s;
constexpr std::size_t CacheBytes = 64U << 10U;
constexpr std::size_t TurnBytes = 8U << 10U;
constexpr unsigned ChainCount = 16;
constexpr unsigned ChainLength = 20; ///< All chains together are 40 times the size of the cache.

std::string turnId(unsigned chain, unsigned position)
{
    return std::to_string(chain) + "." + std::to_string(position);
}

/** Turn @p position of chain @p chain, whose text no other turn has. */
KeptTurn largeTurn(unsigned chain, unsigned position)
{
    KeptTurn turn = testTurn(turnId(chain, position), position == 0 ? std::string() : turnId(chain, position - 1));
    turn.input = "in " + turn.id + std::string(TurnBytes, static_cast<char>('a' + chain));
    turn.output = "out " + turn.id + "\n";
    return turn;
}

/** A group of one member. */
class SmallStore
{
public:
    SmallStore()
    {
        this->member->cacheBytes = CacheBytes;
        this->member->segmentBytes = 256U << 10U;
    }

    void start()
    {
        this->member->start();
        this->client.reset();
        this->client = std::make_unique<HistoryTestClient>(HistoryView{1, {this->member->info}, {}});
    }

    void restart()
    {
        this->client.reset();
        this->member->stop();
        this->start();
    }

    void fill()
    {
        for (unsigned position = 0; position < ChainLength; ++position) {
            for (unsigned chain = 0; chain < ChainCount; ++chain) {
                BOOST_REQUIRE(this->client->write(largeTurn(chain, position), Patience));
            }
        }
    }

    /** Reads the whole chain @p chain as a turn that continues it does. */
    Result<TurnContext> readChain(unsigned chain)
    {
        return this->client->runFiber([this, chain](kj::WaitScope &scope) {
            const TurnStart request{{}, 0, turnId(chain, ChainLength - 1), largeTurn(chain, 0).customer};
            return this->client->client.begin(scope, request, this->client->now() + Patience);
        });
    }

    void checkChains()
    {
        for (unsigned chain = 0; chain < ChainCount; ++chain) {
            const Result<TurnContext> read = this->readChain(chain);
            BOOST_REQUIRE(read.has_value());
            BOOST_REQUIRE(read->chain.size() == ChainLength);
            for (unsigned position = 0; position < ChainLength; ++position) {
                BOOST_TEST(read->chain[position]->input == largeTurn(chain, position).input);
                BOOST_TEST(read->chain[position]->output == largeTurn(chain, position).output);
            }
        }
        this->checkMemory();
    }

    void checkMemory() const
    {
        this->member->call([](HistoryMemberDaemon &daemon) {
            BOOST_TEST(daemon.table.cachedBytes() <= CacheBytes);
            BOOST_TEST(daemon.table.turnCount() == ChainCount * ChainLength);
        });
    }

    std::unique_ptr<HistoryMemberThread> member = std::make_unique<HistoryMemberThread>("member");
    std::unique_ptr<HistoryTestClient> client; ///< Talks to the member.
};

/** Begins a turn of @p program that may generate @p tokens. */
Result<TurnContext> begin(
    HistoryTestClient &client, const std::string &program, const std::string &turn, const std::string &previous = {})
{
    return client.runFiber([&](kj::WaitScope &scope) {
        TurnStart request;
        request.claim.program = "glue/" + program;
        request.claim.claim = TokenClaim{turn, 10, false};
        request.claim.keepMs = 60000;
        request.budget = 1000;
        request.previous = previous;
        request.customer = testTurn("").customer;
        return client.client.begin(scope, request, client.now() + Patience);
    });
}

} // namespace

BOOST_AUTO_TEST_CASE(chains_are_served_from_disk_in_bounded_memory)
{
    SmallStore store;
    store.start();
    store.fill();
    store.checkChains();
    store.restart();
    store.checkMemory();
    store.checkChains();
}

BOOST_AUTO_TEST_CASE(chains_survive_a_loss_of_power)
{
    std::mt19937_64 random(7);
    SmallStore store;
    store.start();
    store.fill();
    store.client.reset();
    store.member->stop();
    store.member->files.losePower(random);
    store.start();
    store.checkChains();
}

BOOST_AUTO_TEST_CASE(joining_member_copies_turns_that_only_the_disk_holds)
{
    SmallStore store;
    store.start();
    store.fill();
    SmallStore joining;
    joining.member->start();
    const HistoryView view{2, {store.member->info}, {joining.member->info}};
    joining.member->setView(view);
    bool isCopied = false;
    for (int i = 0; i < 200 && !isCopied; ++i) {
        joining.member->call([&isCopied](HistoryMemberDaemon &daemon) {
            isCopied = daemon.copiedView() == 2;
        });
        std::this_thread::sleep_for(50ms);
    }
    BOOST_REQUIRE(isCopied);
    store.checkMemory();
    joining.checkMemory();
    store.client.reset(); // A thread has one client at a time.
    joining.client = std::make_unique<HistoryTestClient>(HistoryView{2, {joining.member->info}, {}});
    joining.checkChains();
}

BOOST_AUTO_TEST_CASE(turn_whose_record_is_unreadable_is_not_reported_as_unknown)
{
    SmallStore store;
    store.start();
    store.fill();
    BOOST_REQUIRE(store.member->files.remove(std::string(HistoryMemberThread::Folder) + "/history-1"));
    const Result<TurnContext> read = store.client->runFiber([&store](kj::WaitScope &scope) {
        const TurnStart request{{}, 0, turnId(0, 0), largeTurn(0, 0).customer};
        return store.client->client.begin(scope, request, store.client->now() + 500ms);
    });
    BOOST_REQUIRE(!read.has_value());
    BOOST_TEST((read.error().kind == ErrorKind::NotReady));
}

BOOST_AUTO_TEST_CASE(new_program_is_refused_at_once_by_a_member_without_room)
{
    for (const bool isDiskFull : {false, true}) {
        SmallStore store;
        store.start();
        BOOST_REQUIRE(begin(*store.client, "old", "1"));
        store.fill();
        store.client.reset();
        store.member->stop();
        (isDiskFull ? store.member->maxLogBytes : store.member->maxIndexBytes) = 1000;
        store.start();
        const Instant start = store.client->now();
        const auto refused = begin(*store.client, "new", "2");
        BOOST_REQUIRE(!refused.has_value());
        BOOST_TEST((refused.error().kind == ErrorKind::NotReady));
        BOOST_TEST((store.client->now() - start < 1s));
        // What has begun goes on.
        BOOST_TEST(begin(*store.client, "old", "3").has_value());
        const std::string last = turnId(0, ChainLength - 1);
        BOOST_TEST(begin(*store.client, "later", "4", last).has_value());
        BOOST_TEST(store.client->write(testTurn("5", last), Patience));
        store.member->call([](HistoryMemberDaemon &daemon) {
            BOOST_TEST(!daemon.table.hasClaims("glue/new"));
        });
    }
}

BOOST_AUTO_TEST_CASE(turn_on_disk_is_renewed_in_slices)
{
    std::vector<RecordLocation> reads;
    HistoryTable table(
        [&reads](const RecordLocation &location) {
            reads.push_back(location);
            KeptTurn turn = largeTurn(0, static_cast<unsigned>(location.offset));
            turn.expiresMs = 100;
            return Result<KeptTurn>(turn);
        },
        0);
    for (unsigned position = 0; position < ChainLength; ++position) {
        KeptTurn turn = largeTurn(0, position);
        turn.expiresMs = 100 + position;
        table.apply(turn);
        table.place(turn.id, {1, position, 1});
    }
    BOOST_TEST(table.cachedBytes() == 0U);
    std::size_t renewed = 0;
    unsigned slices = 0;
    for (auto slice = table.takeRenewals(200, 3 * TurnBytes); !slice.empty();
         slice = table.takeRenewals(200, 3 * TurnBytes)) {
        BOOST_TEST(slice.size() <= 3U);
        for (const KeptTurn &turn : slice) {
            BOOST_TEST(turn.expiresMs == 100U + ChainLength - 1);
        }
        renewed += slice.size();
        ++slices;
    }
    BOOST_TEST(renewed == ChainLength - 1); // The last turn of the chain is kept for no longer than it was logged.
    BOOST_TEST(reads.size() == renewed);
    BOOST_TEST(slices >= (ChainLength - 1) / 3);
    table.expire(1000);
    BOOST_TEST(table.turnCount() == 0U);
}

/** Guards against programs that have begun, and turns without a budget, being stored without a bound. */
BOOST_AUTO_TEST_CASE(all_turns_are_refused_before_memory_runs_out)
{
    SmallStore store;
    store.start();
    BOOST_REQUIRE(begin(*store.client, "old", "1"));
    store.fill();
    const auto beginKept = [&store](const std::string &previous) {
        return store.client->runFiber([&](kj::WaitScope &scope) {
            TurnStart request;
            request.previous = previous;
            request.customer = testTurn("").customer;
            request.isKept = true;
            return store.client->client.begin(scope, request, store.client->now() + Patience);
        });
    };
    const std::string last = turnId(0, ChainLength - 1);
    BOOST_TEST(beginKept("").has_value());
    BOOST_TEST(beginKept(last).has_value());
    store.client.reset();
    store.member->stop();
    std::size_t indexBytes = 0;
    store.start();
    store.member->call([&indexBytes](HistoryMemberDaemon &daemon) {
        indexBytes = daemon.table.indexBytes();
    });
    store.client.reset();
    store.member->stop();
    store.member->maxIndexBytes = indexBytes / 2;
    store.start();
    BOOST_TEST(begin(*store.client, "old", "2").has_value());
    BOOST_TEST(beginKept(last).has_value());
    BOOST_TEST(!beginKept("").has_value());
    store.client.reset();
    store.member->stop();
    store.member->fullIndexBytes = indexBytes;
    store.start();
    BOOST_TEST(!begin(*store.client, "old", "3").has_value());
    BOOST_TEST(!beginKept(last).has_value());
    BOOST_TEST(!beginKept("").has_value());
    store.checkMemory(); // What is stored stays.
}

/** Guards against a member that can't start any more, as its log holds more records than its memory. */
BOOST_AUTO_TEST_CASE(member_starts_with_a_log_that_holds_more_expired_records_than_memory)
{
    constexpr unsigned Turns = 400;
    SmallStore store;
    store.start();
    for (unsigned i = 0; i < Turns; ++i) {
        KeptTurn turn = testTurn("expired" + std::to_string(i));
        BOOST_REQUIRE(store.client->write(turn, Patience));
    }
    const auto keepMs = static_cast<std::int64_t>(testTurn("").keepMs);
    store.member->clockOffsetMs = 2 * keepMs;
    store.restart();
    for (unsigned i = 0; i < Turns; ++i) {
        BOOST_REQUIRE(store.client->write(testTurn("live" + std::to_string(i)), Patience));
    }
    std::size_t indexBytes = 0;
    store.member->call([&indexBytes](HistoryMemberDaemon &daemon) {
        BOOST_TEST(daemon.table.turnCount() == 2 * Turns);
        indexBytes = daemon.table.indexBytes();
    });
    store.member->fullIndexBytes = indexBytes * 3 / 4;
    store.restart();
    store.member->call([&](HistoryMemberDaemon &daemon) {
        BOOST_TEST(daemon.table.indexBytes() <= indexBytes * 3 / 4);
    });
    for (unsigned i = 0; i < Turns; i += Turns / 8) {
        BOOST_TEST(store.client->isKept("live" + std::to_string(i), Patience));
    }
}
