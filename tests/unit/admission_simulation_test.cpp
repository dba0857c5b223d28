/** @file admission_simulation_test.cpp  The fleet-wide bound on a tenant's requests under owner kill, pause, isolation
 * and slot moves at once: real fleet state, lease keeper and buckets in virtual time, with fixed seeds. */
#define BOOST_TEST_MODULE admission_simulation
#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <memory>

#include <capnp/message.h>

#include "admission/bucket_owner_base.h"
#include "control/entry_lease_tracker_base.h"
#include "policy/random_func.h"
#include "rpc/message_func.h"

using namespace Chestnuthook;

namespace
{

constexpr Duration Ms = std::chrono::milliseconds(1);
constexpr Duration SyncPeriod = 250 * Ms;
constexpr Duration Freshness = 3000 * Ms;
constexpr Duration AskTimeout = 500 * Ms;
constexpr Duration RunTime = 90'000 * Ms;

/** An entry process as the network and the scheduler treat it. */
struct SimulatedEntry
{
    EntryId id; ///< A restarted process has a new one.
    Epoch lease; ///< As it knows.
    BucketOwner owner; ///< The code under test.
    std::vector<SlotRecord> slots; ///< Its view.
    std::set<EntryId> leased; ///< Its view.
    Instant freshUntil; ///< Of its view.
    Instant pausedUntil; ///< Nothing runs in it before.
    Instant isolatedUntil; ///< No message reaches or leaves it before.
    bool draining = false; ///< Asks for no slots.
    bool dead = false; ///< Was killed.
};
using EntryPointer = std::shared_ptr<SimulatedEntry>;

/** How the run differs from the real rules; to show that the check sees the failure. */
enum class Rules { Real, BucketPerEntry };

class Simulation
{
public:
    Simulation(std::uint64_t seed, Rules rules)
        : random(seed)
        , rules(rules)
    {
        this->tenant = TenantDeclaration{TenantId{"tamarbond"}, 40, 80, 1};
        for (int i = 0; i < 4; ++i) {
            this->join();
        }
    }

    void run(bool faults)
    {
        this->at(Instant(1'000'000), [this]() {
            this->load();
        });
        if (faults) {
            this->at(Instant(5'000'000), [this]() {
                this->fault();
            });
        }
        this->at(Instant(0), [this]() {
            this->expire();
        });
        while (!this->events.empty() && this->events.begin()->first < Instant(RunTime.count())) {
            const auto first = this->events.begin();
            this->now = first->first;
            const auto action = std::move(first->second);
            this->events.erase(first);
            action();
        }
    }

    /** The most by which any window is over burst + rate * w. */
    [[nodiscard]] double worstExcess() const
    {
        std::vector<Instant> sorted = this->used;
        std::sort(sorted.begin(), sorted.end());
        double worst = 0;
        double lowest = 0; // Of (index - rate * time) over earlier starts of the window.
        for (std::size_t i = 0; i < sorted.size(); ++i) {
            const double earned = this->tenant.ratePerSecond * static_cast<double>(sorted[i].us) / 1e6;
            const double here = static_cast<double>(i) - earned;
            lowest = i == 0 ? here : std::min(lowest, here);
            worst = std::max(worst, here + 1 - lowest - this->tenant.burst);
        }
        return worst;
    }

    std::vector<Instant> used; ///< When requests were let through, at any entry.
    int refused = 0; ///< Requests over the rate.
    int moves = 0; ///< Changes of the tenant's owner.
    double offeredPerSecond = 120; ///< By all callers together.

private:
    void at(Instant due, std::function<void()> action)
    {
        this->events.emplace(due, std::move(action));
    }
    Duration latency()
    {
        return Duration(200 + static_cast<std::int64_t>(nextRandom(this->random) % 4000));
    }

    /** Runs @p action in @p entry once it runs; a message is lost where the entry is isolated on the way. */
    void inEntry(Instant due, EntryPointer entry, bool message, std::function<void()> action)
    {
        this->at(due, [this, entry, message, action]() {
            if (entry->dead || (message && this->now < entry->isolatedUntil)) {
                return;
            }
            if (this->now < entry->pausedUntil) {
                this->inEntry(entry->pausedUntil, entry, false, action);
                return;
            }
            action();
        });
    }

    std::string apply(const std::function<void(Wire::FleetCommand::Builder)> &fill)
    {
        capnp::MallocMessageBuilder message;
        fill(message.initRoot<Wire::FleetCommand>());
        const EntryId before = this->ownerNow();
        std::string reply = this->fleet.apply(this->fleet.index() + 1, flatBytes(message));
        this->moves += before != this->ownerNow();
        return reply;
    }
    EntryId ownerNow() const
    {
        const SlotRecord *record = this->fleet.slots.find(slotOf(this->tenant.id.text));
        return record == nullptr ? EntryId{} : record->owner;
    }

    void join()
    {
        auto entry = std::make_shared<SimulatedEntry>();
        entry->id = EntryId{"entry-" + std::to_string(this->nextId++)};
        this->entries.push_back(entry);
        this->sync(entry);
    }

    void sync(EntryPointer entry)
    {
        const Instant sentAt = this->now;
        if (this->now >= entry->isolatedUntil) {
            this->at(this->now + this->latency(), [this, entry, sentAt]() {
                this->answerSync(entry, sentAt);
            });
        }
        this->inEntry(this->now + SyncPeriod, entry, false, [this, entry]() {
            this->sync(entry);
        });
    }

    void answerSync(EntryPointer entry, Instant sentAt)
    {
        const EntryRecord *known = this->fleet.entries.find(entry->id);
        const bool held = known != nullptr && known->epoch == entry->lease;
        const EntryState state = entry->draining ? EntryState::Draining : EntryState::Live;
        if (!held) {
            this->apply([&](Wire::FleetCommand::Builder command) {
                auto grant = command.initGrantLease();
                grant.setId(entry->id.text);
                grant.setAddress("a");
                grant.setState(entry->draining ? Wire::EntryState::DRAINING : Wire::EntryState::LIVE);
            });
        } else if (known->state != state) {
            this->apply([&](Wire::FleetCommand::Builder command) {
                auto change = command.initSetEntryState();
                change.setEntry(entry->id.text);
                change.setEpoch(entry->lease.value);
                change.setState(entry->draining ? Wire::EntryState::DRAINING : Wire::EntryState::LIVE);
            });
        }
        const Epoch lease = this->fleet.entries.find(entry->id)->epoch;
        if (this->leases.isEnding(entry->id, lease)) {
            return;
        }
        this->leases.recordContact(entry->id, EntryContact{this->now, 0, 0, Epoch{}});
        std::vector<SlotRecord> slots(SlotCount);
        for (const auto &[slot, row] : this->fleet.slots.all()) {
            slots[slot.value] = row.record;
        }
        std::set<EntryId> leased;
        for (const auto &[id, row] : this->fleet.entries.all()) {
            if (!row.removed) {
                leased.insert(id);
            }
        }
        this->inEntry(this->now + this->latency(), entry, true, [this, entry, sentAt, slots, leased, lease]() {
            entry->lease = lease;
            entry->slots = slots;
            entry->leased = leased;
            entry->freshUntil = std::max(entry->freshUntil, sentAt + Freshness);
            entry->owner.update(SlotFacts{entry->id, &entry->slots, entry->leased}, this->now);
            this->handOver(entry);
        });
    }

    void handOver(EntryPointer successor)
    {
        const SlotFacts facts{successor->id, &successor->slots, successor->leased};
        for (const WantedHandover &wanted : successor->owner.tenures.wanted(facts, this->now)) {
            if (wanted.slot != slotOf(this->tenant.id.text)) {
                continue;
            }
            for (const EntryPointer &former : this->entries) {
                if (former->id == wanted.former && this->now >= successor->isolatedUntil) {
                    this->inEntry(this->now + this->latency(), former, true, [this, former, successor, wanted]() {
                        const auto levels =
                            former->owner.giveUp(wanted.slot, wanted.formerEpoch, {this->tenant}, this->now);
                        if (levels) {
                            this->inEntry(this->now + this->latency(), successor, true, [=, this]() {
                                successor->owner.adopt(wanted, *levels, this->now);
                            });
                        }
                    });
                }
            }
        }
    }

    void expire()
    {
        for (const EntryRecord &entry : this->leases.markExpired(this->fleet, this->now)) {
            // The end is committed some time after it was proposed; syncs may arrive in between.
            const auto commit = static_cast<std::int64_t>(nextRandom(this->random) % 1000);
            this->at(this->now + commit * Ms, [this, entry]() {
                this->apply([&](Wire::FleetCommand::Builder command) {
                    auto end = command.initEndLease();
                    end.setEntry(entry.id.text);
                    end.setEpoch(entry.epoch.value);
                });
            });
        }
        this->at(this->now + SyncPeriod, [this]() {
            this->expire();
        });
    }

    void load()
    {
        const EntryPointer asker = this->entries[nextRandom(this->random) % this->entries.size()];
        this->inEntry(this->now, asker, false, [this, asker]() {
            this->ask(asker);
        });
        // Bursts and lulls, so that buckets are both full and empty when faults come.
        const bool lull = (this->now.us / 7'000'000) % 3 == 0;
        const double mean = 1e6 / this->offeredPerSecond * (lull ? 20 : 1);
        this->at(this->now + Duration(1 + static_cast<std::int64_t>(2 * mean * nextUnit(this->random))), [this]() {
            this->load();
        });
    }

    void ask(EntryPointer asker)
    {
        if (asker->freshUntil <= this->now || asker->slots.empty()) {
            return;
        }
        const EntryId owner = asker->slots[slotOf(this->tenant.id.text).value].owner;
        if (this->rules == Rules::BucketPerEntry) {
            this->askOwnBucket(asker);
            return;
        }
        const Instant askedAt = this->now;
        for (const EntryPointer &entry : this->entries) {
            if (entry->id != owner || (owner != asker->id && this->now < asker->isolatedUntil)) {
                continue;
            }
            const bool remote = entry != asker;
            this->inEntry(this->now + (remote ? this->latency() : Duration(0)), entry, remote, [=, this]() {
                const AdmitVerdict verdict = entry->owner.admit(this->tenant, 1, this->now, entry->freshUntil);
                this->inEntry(this->now + (remote ? this->latency() : Duration(0)), asker, remote, [=, this]() {
                    this->take(asker, verdict, askedAt);
                });
            });
        }
    }

    void take(EntryPointer asker, const AdmitVerdict &verdict, Instant askedAt)
    {
        if (verdict.delays.empty()) {
            this->refused += verdict.state == AdmitState::Decided;
            return;
        }
        const bool timedOut = this->now > askedAt + AskTimeout;
        if (timedOut) {
            return;
        }
        const Duration delay = verdict.delays.front();
        this->inEntry(this->now + delay, asker, false, [this, askedAt, delay]() {
            if (this->now <= askedAt + delay + GrantLife) {
                this->used.push_back(this->now);
            }
        });
    }

    void askOwnBucket(const EntryPointer &asker)
    {
        const auto [bucket, added] = this->ownBuckets.try_emplace(asker->id, this->now);
        bucket->second.declare(this->tenant.ratePerSecond, this->tenant.burst, this->now);
        if (added) {
            bucket->second.fill();
        }
        if (bucket->second.reserve(this->now, Duration(0))) {
            this->used.push_back(this->now);
        }
    }

    /** Strikes the tenant's owner mostly, and often a second entry at the same time. */
    void fault()
    {
        const bool twice = nextRandom(this->random) % 3 == 0;
        for (int i = 0; i < (twice ? 2 : 1); ++i) {
            EntryPointer victim = this->entries[nextRandom(this->random) % this->entries.size()];
            for (const EntryPointer &entry : this->entries) {
                if (i == 0 && entry->id == this->ownerNow()) {
                    victim = entry;
                }
            }
            const Duration length = (200 + static_cast<std::int64_t>(nextRandom(this->random) % 9000)) * Ms;
            switch (nextRandom(this->random) % 5) {
            case 0:
                victim->dead = true;
                this->join();
                break;
            case 1:
                victim->pausedUntil = this->now + length;
                break;
            case 2:
                victim->isolatedUntil = this->now + length;
                break;
            case 3:
                victim->draining = !victim->draining;
                break;
            default:
                this->join();
                break;
            }
        }
        std::erase_if(this->entries, [](const EntryPointer &entry) {
            return entry->dead;
        });
        const auto pause = static_cast<std::int64_t>(nextRandom(this->random) % 7000);
        this->at(this->now + pause * Ms, [this]() {
            this->fault();
        });
    }

    std::uint64_t random; ///< State of the generator.
    Rules rules; ///< Of the run.
    Instant now; ///< Virtual time.
    TenantDeclaration tenant; ///< The one that is watched.
    FleetState fleet; ///< As committed.
    EntryLeaseTracker leases; ///< Of the leader.
    std::vector<EntryPointer> entries; ///< Those not killed.
    std::multimap<Instant, std::function<void()>> events; ///< What happens next.
    std::map<EntryId, TokenBucket> ownBuckets; ///< For Rules::BucketPerEntry.
    int nextId = 0; ///< Of the next process.
};

} // namespace

BOOST_AUTO_TEST_CASE(no_window_is_over_burst_and_rate_under_kills_pauses_isolation_and_moves)
{
    int moves = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        Simulation simulation(seed, Rules::Real);
        simulation.run(true);
        BOOST_TEST(simulation.worstExcess() <= 1e-3, "seed " << seed << " excess " << simulation.worstExcess());
        BOOST_TEST(simulation.used.size() > 400U, "seed " << seed << " let through " << simulation.used.size());
        moves += simulation.moves;
    }
    BOOST_TEST(moves > 150);
}

BOOST_AUTO_TEST_CASE(without_faults_the_whole_rate_is_let_through_and_nothing_inside_it_refused)
{
    Simulation inside(3, Rules::Real);
    inside.offeredPerSecond = 36;
    inside.run(false);
    BOOST_TEST(inside.refused == 0);
    Simulation over(3, Rules::Real);
    over.run(false);
    BOOST_TEST(over.worstExcess() <= 1e-3);
    BOOST_TEST(over.refused > 1000);
    // Two of three seven-second spans are three times over the rate.
    BOOST_TEST(static_cast<double>(over.used.size()) > 0.95 * 40 * 89 * 2 / 3);
}

BOOST_AUTO_TEST_CASE(a_bucket_for_each_entry_would_break_the_bound_and_the_check_sees_it)
{
    Simulation simulation(1, Rules::BucketPerEntry);
    simulation.run(false);
    BOOST_TEST(simulation.worstExcess() > 80);
}
