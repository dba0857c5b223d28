/** @file admission_test.cpp  A tenant's rate and burst over all entries of a real fleet, also while entries die, stand
 * still and join. */
#define BOOST_TEST_MODULE admission
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

#include "support/process_fleet.h"

using namespace Chestnuthook::Testing;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr double Rate = 5; // Of the tenants below in deploy/kortagatt.yaml.
constexpr double Burst = 15;

/** A request that was let through: that happened between these times. */
struct Admitted
{
    Clock::time_point sent; ///< Before the request left.
    Clock::time_point answered; ///< After the answer came.
};

/** Callers that send as fast as they can to all entries. */
class Callers
{
public:
    Callers(const ProcessFleet &fleet, const std::string &key, int perEntry)
    {
        for (const std::string &address : fleet.entryAddresses) {
            for (int i = 0; i < perEntry; ++i) {
                this->threads.emplace_back([this, address, key]() {
                    while (!this->stopping) {
                        this->send(address, key);
                    }
                });
            }
        }
    }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;
    ~Callers()
    {
        this->stop();
    }

    void stop()
    {
        this->stopping = true;
        for (std::thread &thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
    }

    std::size_t count()
    {
        const std::lock_guard lock(this->mutex);
        return this->admitted.size();
    }

    /** The most by which the requests that lie wholly in a window are over burst + rate * w. Call it after `stop`. */
    [[nodiscard]] double worstExcess() const
    {
        double worst = -Burst;
        for (const Admitted &first : this->admitted) {
            for (const Admitted &last : this->admitted) {
                const double window = std::chrono::duration<double>(last.answered - first.sent).count();
                const auto inside =
                    std::count_if(this->admitted.begin(), this->admitted.end(), [&](const Admitted &one) {
                        return one.sent >= first.sent && one.answered <= last.answered;
                    });
                worst = window < 0 ? worst : std::max(worst, static_cast<double>(inside) - Burst - Rate * window);
            }
        }
        return worst;
    }

    std::atomic<int> untrue = 0; ///< Refusals that don't say when to come back.

private:
    void send(const std::string &address, const std::string &key)
    {
        const Clock::time_point sent = Clock::now();
        const HttpAnswer answer = httpAs(key, address, "POST", "/v1/programs", "{}");
        if (answer.status == 429 && answer.body.find("\"retry_after_ms\":") == std::string::npos) {
            ++this->untrue;
        }
        const std::lock_guard lock(this->mutex);
        if (answer.status == 201) {
            this->admitted.push_back({sent, Clock::now()});
        }
    }

    std::mutex mutex; ///< Guards `admitted`.
    std::vector<Admitted> admitted; ///< Of all threads.
    std::atomic<bool> stopping = false; ///< The threads are to end.
    std::vector<std::thread> threads; ///< Callers.
};

FleetOptions sizeOf(int entries)
{
    FleetOptions size;
    size.entries = entries;
    return size;
}

} // namespace

BOOST_AUTO_TEST_CASE(one_bucket_counts_for_all_entries)
{
    ProcessFleet fleet(sizeOf(3));
    Callers callers(fleet, fleet.issueKey("nordurkort"), 4);
    BOOST_TEST(waitUntil([&]() {
        return callers.count() >= 60;
    }));
    callers.stop();
    BOOST_TEST(callers.worstExcess() <= 0.0);
    BOOST_TEST(callers.untrue == 0);
}

BOOST_AUTO_TEST_CASE(the_bound_holds_and_service_resumes_while_entries_die_stand_still_and_join)
{
    ProcessFleet fleet(sizeOf(4));
    // Tenants whose slots different entries own, so that some lose their owner with each fault.
    std::vector<std::unique_ptr<Callers>> tenants;
    for (const char *tenant : {"nordurkort", "sumarkort", "fjallaprent", "heklukort"}) {
        tenants.push_back(std::make_unique<Callers>(fleet, fleet.issueKey(tenant), 1));
    }
    const auto progress = [&](std::size_t more) {
        std::vector<std::size_t> wanted;
        wanted.reserve(tenants.size());
        for (const auto &callers : tenants) {
            wanted.push_back(callers->count() + more);
        }
        return waitUntil(
            [&]() {
                for (std::size_t i = 0; i < tenants.size(); ++i) {
                    if (tenants[i]->count() < wanted[i]) {
                        return false;
                    }
                }
                return true;
            },
            std::chrono::seconds(40));
    };
    BOOST_TEST(progress(20));
    fleet.processes.at("entry-1")->signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(4500));
    fleet.processes.at("entry-1")->signal(SIGCONT);
    BOOST_TEST(progress(10));
    fleet.processes.at("entry-2")->signal(SIGKILL);
    fleet.processes.at("entry-2")->wait();
    BOOST_TEST(progress(10));
    fleet.startEntry(2);
    BOOST_TEST(progress(10));
    for (const auto &callers : tenants) {
        callers->stop();
        BOOST_TEST(callers->worstExcess() <= 0.0);
        BOOST_TEST(callers->untrue == 0);
    }
}
