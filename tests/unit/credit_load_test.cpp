/** @file credit_load_test.cpp  How long requests of a large fleet wait for credit, at the processor share that control
 * members have: a simulation of gateways, control members and a change of the leader. */
#define BOOST_TEST_MODULE credit_load
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "deployment/credit_batch_type.h"
#include "deployment/credit_relay_base.h"
#include "deployment/credit_relay_choice_base.h"
#include "gateway/rate_limiter_base.h"

using namespace Chestnuthook;
using namespace std::chrono_literals;

namespace
{

constexpr Duration NetworkDelay = 700us; ///< From one daemon to another.
/** A control member takes this long for a call: 0.115 ms of processor time at a share of 0.15. */
constexpr Duration CallTime = 770us;
constexpr Duration WatchInterval = 4ms; ///< Between two watches that the leader answers.
constexpr Duration CreditTimeout = CreditTtl;

/** Load of the fleet; a leader is down from `leaderEnd` to `nextLeader`. */
struct Load
{
    std::size_t gateways = 167; ///< Number of gateways.
    std::size_t customers = 140; ///< Number of customers; the first ones send the most.
    std::size_t members = 9; ///< Control members, of which one leads.
    bool isRelayed = true; ///< Gateways request credit through members that don't lead.
    /** Requests of the fleet, from the times given on. */
    std::vector<std::pair<Duration, double>> requestsPerSecond = {{0s, 670}, {2s, 2000}, {6s, 1500}};
    Instant leaderEnd = Instant(0) + Duration(6s); ///< When the first leader goes down.
    Instant nextLeader = Instant(0) + Duration(6400ms); ///< When another one leads.
    Instant end = Instant(0) + Duration(12s); ///< End of the simulation.
};

/** A daemon's processor, which handles one call after the other. */
struct Processor
{
    Instant freeAt{0}; ///< When all calls so far are handled.

    /** @return when a call that arrives at @p now is handled. */
    Instant handle(Instant now)
    {
        this->freeAt = std::max(this->freeAt, now) + CallTime;
        return this->freeAt;
    }
};

class Fleet
{
public:
    explicit Fleet(const Load &load)
        : load(load)
        , relays(load.members - 1)
    {
        for (std::size_t i = 0; i < load.gateways; ++i) {
            this->gateways.emplace_back("gateway-" + std::to_string(i));
        }
        double weights = 0;
        for (std::size_t i = 0; i < load.customers; ++i) {
            weights += 1.0 / static_cast<double>(i + 2);
        }
        for (std::size_t i = 0; i < load.customers; ++i) { // Far below their limits, so that only waits are seen.
            const double rate = 10000 / weights / static_cast<double>(i + 2);
            this->limits.push_back(RateLimit{"customer-" + std::to_string(i), rate, rate});
        }
        this->pool.beginTerm(Instant(0), true);
    }

    void run()
    {
        this->scheduleArrival(Instant(0));
        this->scheduleWatch(Instant(0));
        while (!this->events.empty() && this->events.top().at < this->load.end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.action();
        }
    }

    /** The wait of all but one in a hundred requests that arrived from @p from to @p to. */
    [[nodiscard]] Duration waitAt99(Duration from, Duration to) const
    {
        std::vector<Duration> selected;
        for (const auto &[arrived, waited] : this->waits) {
            if (arrived >= Instant(0) + from && arrived < Instant(0) + to) {
                selected.push_back(waited);
            }
        }
        std::ranges::sort(selected);
        return selected.empty() ? Duration::max() : selected[selected.size() * 99 / 100];
    }
    [[nodiscard]] std::size_t leaderCalls() const
    {
        return this->leaderCallCount;
    }

private:
    struct Event
    {
        Instant at{0}; ///< When it happens.
        std::uint64_t order = 0; ///< Order of events at the same time.
        std::function<void()> action; ///< What happens.

        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(this->at, this->order);
        }
    };
    struct Request
    {
        Instant arrived{0}; ///< When it reached its gateway.
        std::size_t customer = 0; ///< Index of its limit.
        bool isAsked = false; ///< See RateLimiter::take.
    };
    struct Gateway
    {
        explicit Gateway(std::string name)
            : limiter(std::move(name), {}, Instant(0))
        {
        }

        RateLimiter limiter; ///< Decides which requests are admitted.
        std::vector<Request> waiting; ///< Requests that wait for credit.
        bool isCalling = false; ///< A credit call is under way.
    };
    struct Relay
    {
        Processor processor; ///< Handles the calls of gateways.
        CreditBatch waiting; ///< Calls that the leader hasn't been asked for.
        std::vector<std::function<void(const CreditGrants &)>> replies; ///< Answers these calls.
        bool isCalling = false; ///< See CreditRelay.
    };

    void at(Instant time, std::function<void()> action)
    {
        this->events.push({time, ++this->eventCount, std::move(action)});
    }

    void scheduleArrival(Instant time)
    {
        double rate = 1;
        for (const auto &[from, requests] : this->load.requestsPerSecond) {
            rate = time >= Instant(0) + from ? requests : rate;
        }
        const double seconds = std::exponential_distribution<double>(rate)(this->random);
        this->at(time + Duration(static_cast<std::int64_t>(seconds * 1e6)), [this]() {
            const double at = std::uniform_real_distribution<double>(0, 1)(this->random);
            const auto customer = static_cast<std::size_t>(at * at * static_cast<double>(this->limits.size()));
            Gateway &gateway = this->gateways[this->random() % this->gateways.size()];
            gateway.limiter.recordRequest(this->now, this->limits[customer]);
            gateway.waiting.push_back({this->now, customer});
            this->serve(gateway);
            this->scheduleArrival(this->now);
        });
    }

    void scheduleWatch(Instant time)
    {
        this->at(time, [this]() {
            this->leader.handle(this->now);
            this->scheduleWatch(this->now + WatchInterval);
        });
    }

    void serve(Gateway &gateway)
    {
        std::erase_if(gateway.waiting, [&](Request &request) {
            const CreditDecision decision = gateway.limiter.take(
                this->now, this->limits[request.customer], CreditClass::Ongoing, LeaderState(), request.isAsked);
            if (decision == CreditDecision::Admitted) {
                this->waits.emplace_back(request.arrived, this->now - request.arrived);
            }
            return decision == CreditDecision::Admitted;
        });
        if (gateway.isCalling) {
            return;
        }
        const CreditRequests requests = gateway.limiter.creditRequests(this->now);
        if (requests.empty()) {
            return;
        }
        gateway.isCalling = true;
        const Instant sentAt = this->now;
        auto isAnswered = std::make_shared<bool>(false);
        const auto answer = [this, &gateway, requests, sentAt, isAnswered](const CreditGrants *granted) {
            if (std::exchange(*isAnswered, true)) {
                return;
            }
            if (granted != nullptr) {
                gateway.limiter.grant(this->now, sentAt, requests, *granted);
            } else {
                gateway.limiter.requestFailed(requests);
            }
            gateway.isCalling = false;
            this->serve(gateway);
        };
        const auto reply = [this, answer](const CreditGrants &granted) {
            this->at(this->now + NetworkDelay, [answer, granted]() {
                answer(&granted);
            });
        };
        this->at(this->now + CreditTimeout, [answer]() {
            answer(nullptr);
        });
        this->at(this->now + NetworkDelay, [this, &gateway, requests, reply]() {
            if (!this->load.isRelayed) {
                this->callLeader(requests, reply);
                return;
            }
            Relay &relay =
                this->relays[static_cast<std::size_t>(&gateway - this->gateways.data()) % this->relays.size()];
            this->at(relay.processor.handle(this->now), [this, &relay, requests, reply]() {
                relay.waiting.add(requests);
                relay.replies.emplace_back(reply);
                this->sendBatch(relay);
            });
        });
    }

    /** As CreditRelay does. */
    void sendBatch(Relay &relay)
    {
        if (relay.isCalling || relay.waiting.isEmpty()) {
            return;
        }
        relay.isCalling = true;
        const Instant start = this->now;
        const auto batch = std::make_shared<CreditBatch>(std::exchange(relay.waiting, {}));
        const auto replies = std::make_shared<decltype(relay.replies)>(std::exchange(relay.replies, {}));
        auto isAnswered = std::make_shared<bool>(false);
        const auto finish = [this, &relay, start, isAnswered]() {
            if (!std::exchange(*isAnswered, true)) {
                const Duration interval = CreditRelay::leaderCallInterval(this->now - start, this->relays.size());
                this->at(std::max(this->now, start + interval), [this, &relay]() {
                    relay.isCalling = false;
                    this->sendBatch(relay);
                });
            }
        };
        this->at(this->now + CreditTimeout, finish);
        this->at(this->now + NetworkDelay, [this, batch, replies, finish]() {
            this->callLeader(batch->sum(), [this, batch, replies, finish](const CreditGrants &granted) {
                this->at(this->now + NetworkDelay, [batch, replies, finish, granted]() {
                    const auto grants = batch->divide(granted);
                    for (std::size_t i = 0; i < grants.size(); ++i) {
                        (*replies)[i](grants[i]);
                    }
                    finish();
                });
            });
        });
    }

    void callLeader(const CreditRequests &requests, const std::function<void(const CreditGrants &)> &reply)
    {
        const auto isDown = [this]() {
            return this->now >= this->load.leaderEnd && this->now < this->load.nextLeader;
        };
        if (isDown()) {
            return;
        }
        ++this->leaderCallCount;
        this->at(
            this->leader.handle(this->now), [this, requests, reply, isDown, term = this->now < this->load.leaderEnd]() {
                if (isDown() || term != (this->now < this->load.leaderEnd)) {
                    return;
                }
                CreditGrants granted;
                for (const auto &[name, request] : requests) {
                    const auto limit = std::ranges::find(this->limits, name, &RateLimit::name);
                    granted[name] = this->pool.grant(this->now, *limit, request);
                }
                reply(granted);
            });
    }

    const Load load; ///< What is played.
    std::mt19937_64 random{1}; ///< Source of arrivals.
    std::vector<RateLimit> limits; ///< Limits of the customers.
    std::vector<Gateway> gateways; ///< All gateways.
    std::vector<Relay> relays; ///< Control members that don't lead.
    Processor leader; ///< Processor of the member that leads.
    CreditPool pool{RateTolerance()}; ///< Accounts of the leader.
    std::priority_queue<Event> events; ///< Events to come.
    std::uint64_t eventCount = 0; ///< Events scheduled so far.
    Instant now{0}; ///< Time of the current event.
    std::size_t leaderCallCount = 0; ///< Credit calls that reached the leader.
    std::vector<std::pair<Instant, Duration>> waits; ///< Arrival and wait of each admitted request.
};

constexpr Duration MaxWait = 20ms; ///< A program makes some thirty requests one after another.

} // namespace

BOOST_AUTO_TEST_CASE(requests_do_not_queue_for_credit_at_the_leaders_processor)
{
    Fleet fleet({});
    fleet.run();
    BOOST_TEST_MESSAGE("p99 ms before, in and after the burst: " << fleet.waitAt99(500ms, 2s).count() / 1000.0 << " "
                                                                 << fleet.waitAt99(2500ms, 6s).count() / 1000.0 << " "
                                                                 << fleet.waitAt99(7s, 12s).count() / 1000.0);
    BOOST_TEST((fleet.waitAt99(500ms, 2s) <= MaxWait));
    BOOST_TEST((fleet.waitAt99(2500ms, 6s) <= MaxWait)); // Beside a burst of three times the usual.
    BOOST_TEST((fleet.waitAt99(7s, 12s) <= MaxWait)); // After a change of the leader.
}

BOOST_AUTO_TEST_CASE(work_of_the_leader_does_not_grow_with_the_requests)
{
    Load usual;
    usual.requestsPerSecond = {{0s, 2000}};
    usual.leaderEnd = usual.nextLeader = usual.end;
    Load doubled = usual;
    doubled.requestsPerSecond = {{0s, 4000}};
    Fleet first(usual);
    Fleet second(doubled);
    first.run();
    second.run();
    const auto maxCalls = static_cast<std::size_t>((usual.end - Instant(0)) / CreditRelay::MinLeaderCallInterval);
    BOOST_TEST(first.leaderCalls() <= maxCalls);
    BOOST_TEST(second.leaderCalls() <= maxCalls);
}

/** The simulation shows the queue where each gateway calls the leader itself. */
BOOST_AUTO_TEST_CASE(requests_queue_where_each_gateway_calls_the_leader)
{
    Load load;
    load.isRelayed = false;
    Fleet fleet(load);
    fleet.run();
    BOOST_TEST_MESSAGE("p99 ms before, in and after the burst: " << fleet.waitAt99(500ms, 2s).count() / 1000.0 << " "
                                                                 << fleet.waitAt99(2500ms, 6s).count() / 1000.0 << " "
                                                                 << fleet.waitAt99(7s, 12s).count() / 1000.0);
    BOOST_TEST((fleet.waitAt99(2500ms, 6s) > MaxWait));
}

BOOST_AUTO_TEST_CASE(grants_of_a_batch_go_to_running_programs_first_and_add_up)
{
    CreditBatch batch;
    batch.add({{"a", {1, 2, 0, 0}}, {"b", {1, 0, 0, 0}}});
    batch.add({{"a", {2, 1, 1, 3}}});
    BOOST_TEST(batch.sum().at("a").requests == 3U);
    BOOST_TEST(batch.sum().at("a").ahead == 3U);
    BOOST_TEST(batch.sum().at("a").late == 1U);
    BOOST_TEST(batch.sum().at("a").returned == 3U);
    for (std::uint32_t granted = 0; granted <= 7; ++granted) {
        const auto grants = batch.divide({{"a", granted}, {"b", 1}});
        BOOST_TEST(grants[0].at("a") + grants[1].at("a") == granted);
        BOOST_TEST(grants[0].at("b") == 1U);
        BOOST_TEST((granted < 1 || grants[0].at("a") >= 1));
        BOOST_TEST((granted < 3 || grants[1].at("a") >= 2));
    }
    const auto none = batch.divide({});
    BOOST_TEST(none[0].at("a") == 0U);
}

BOOST_AUTO_TEST_CASE(credit_is_requested_through_a_member_that_answers)
{
    std::vector<InstanceInfo> instances;
    for (const std::string name : {"a-1", "a-2", "b-1", "b-2"}) {
        InstanceInfo &info = instances.emplace_back();
        info.name = name;
        info.role = Wire::InstanceRole::CONTROL;
        info.dataCentre = name.substr(0, 1);
        info.rpcAddress = name;
        info.relaysCredit = true;
    }
    CreditRelayChoice choice;
    Instant now = Instant(0) + Duration(10s);
    const CreditRelayChoice::Asker asker{"gateway", "a"};
    BOOST_TEST(choice.choose(now, asker, instances, "a-1") == "a-2");
    BOOST_TEST(choice.choose(now, asker, instances, "a-2") == "a-1");
    choice.recordFailure(now);
    const std::string second = choice.choose(now, asker, instances, "a-1");
    BOOST_TEST(second.starts_with("b-"));
    choice.recordFailure(now);
    BOOST_TEST(choice.choose(now, asker, instances, "a-1").empty()); // The leader itself.
    now += 1s;
    BOOST_TEST(choice.choose(now, asker, instances, "a-1") == "a-2");
    for (InstanceInfo &info : instances) {
        info.relaysCredit = false;
    }
    BOOST_TEST(choice.choose(now, asker, instances, "a-1").empty());
}
