/** @file admission_test.cpp  The rate limit of a customer holds across all entries of a real fleet, also while entries
 * are killed, paused and added. */
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

constexpr double Rate = 5; // Of the customers below in deploy/kortagatt.yaml.
constexpr double Burst = 15;

/** An admitted request; it was admitted between these two times. */
struct Admitted
{
    Clock::time_point sent; ///< Before the request was sent.
    Clock::time_point answered; ///< After the response was received.
};

/** Clients that send requests to all entries as fast as they can. */
class RequestLoad
{
public:
    RequestLoad(const ProcessFleet &fleet, const std::string &key, int perEntry)
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
    RequestLoad(const RequestLoad &) = delete;
    RequestLoad &operator=(const RequestLoad &) = delete;
    ~RequestLoad()
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

    /** The largest excess, over all time windows, of the requests admitted within a window of w seconds over
     * burst + rate * w. Call it after `stop`. */
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

    std::atomic<int> missingRetryAfter = 0; ///< Rejections without a retry delay.

private:
    void send(const std::string &address, const std::string &key)
    {
        const Clock::time_point sent = Clock::now();
        const HttpAnswer answer = httpAs(key, address, "POST", "/v1/programs", "{}");
        if (answer.status == 429 && answer.body.find("\"retry_after_ms\":") == std::string::npos) {
            ++this->missingRetryAfter;
        }
        const std::lock_guard lock(this->mutex);
        if (answer.status == 201) {
            this->admitted.push_back({sent, Clock::now()});
        }
    }

    std::mutex mutex; ///< Guards the member below.
    std::vector<Admitted> admitted; ///< Admitted requests of all threads.
    std::atomic<bool> stopping = false; ///< Tells the threads to end.
    std::vector<std::thread> threads; ///< Client threads.
};

FleetOptions sizeOf(int entries)
{
    FleetOptions size;
    size.entries = entries;
    return size;
}

} // namespace

BOOST_AUTO_TEST_CASE(rate_limit_holds_across_entries)
{
    ProcessFleet fleet(sizeOf(3));
    RequestLoad load(fleet, fleet.issueKey("nordurkort"), 4);
    BOOST_TEST(waitUntil([&]() {
        return load.count() >= 60;
    }));
    load.stop();
    BOOST_TEST(load.worstExcess() <= 0.0);
    BOOST_TEST(load.missingRetryAfter == 0);
}

BOOST_AUTO_TEST_CASE(rate_limit_holds_while_entries_fail_and_join)
{
    ProcessFleet fleet(sizeOf(4));
    // Slots of these customers are owned by different entries, so that each fault takes the owner of some.
    std::vector<std::unique_ptr<RequestLoad>> customers;
    for (const char *customer : {"nordurkort", "sumarkort", "fjallaprent", "heklukort"}) {
        customers.push_back(std::make_unique<RequestLoad>(fleet, fleet.issueKey(customer), 1));
    }
    const auto progress = [&](std::size_t more) {
        std::vector<std::size_t> wanted;
        wanted.reserve(customers.size());
        for (const auto &load : customers) {
            wanted.push_back(load->count() + more);
        }
        return waitUntil(
            [&]() {
                for (std::size_t i = 0; i < customers.size(); ++i) {
                    if (customers[i]->count() < wanted[i]) {
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
    for (const auto &load : customers) {
        load->stop();
        BOOST_TEST(load->worstExcess() <= 0.0);
        BOOST_TEST(load->missingRetryAfter == 0);
    }
}
