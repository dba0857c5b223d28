/** @file configuration_callers.h  Callers that show by which configuration each gateway serves, and how long after the
 * acknowledgement of a newer one. */
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/replicated_deployment.h"

namespace Chestnuthook::Testing
{

/** Configuration @p version with @p otherRoutes routes that nobody uses. It moves the route /step-VERSION/ from the
 * service `first` to `second`, where the routes before it are, adds a route that a later version moves, and drops an
 * old one. */
[[nodiscard]] std::string stepConfiguration(unsigned version, std::size_t otherRoutes);

/** A request that a gateway handled by a configuration that was too old. */
struct OutdatedAnswer
{
    std::size_t gateway = 0; ///< Index of the gateway.
    unsigned version = 0; ///< Version that had been acknowledged.
    int status = 0; ///< Status of the response.
    std::chrono::milliseconds sinceAcknowledged{0}; ///< From the acknowledgement until the request was sent.
    std::chrono::milliseconds at{0}; ///< When it was sent, from the start of the callers.
    bool isNewConnection = false; ///< Sent on a new connection.
};

class ConfigurationCallers
{
public:
    using Clock = std::chrono::steady_clock;

    static constexpr auto ApplyBound = std::chrono::milliseconds(2000); ///< From an acknowledgement until in force.
    /** How much longer that may take while control members are disturbed. */
    static constexpr auto UnstableAllowance = std::chrono::milliseconds(5000);
    /** From the end of a disturbance until the bound holds again. */
    static constexpr auto ContactTime = std::chrono::milliseconds(3000);

    explicit ConfigurationCallers(const ReplicatedDeployment &deployment);
    ~ConfigurationCallers();
    ConfigurationCallers(const ConfigurationCallers &) = delete;
    ConfigurationCallers &operator=(const ConfigurationCallers &) = delete;

    void recordAcknowledged(unsigned version);
    /** Excuses @p gateway, or all of them if it is empty, from now until ContactTime after `endDisturbance`. */
    std::size_t beginDisturbance(std::optional<std::size_t> gateway);
    /** Allows UnstableAllowance beyond the bound, from now until ContactTime after `endDisturbance`. */
    std::size_t beginUnstable();
    void endDisturbance(std::size_t disturbance);

    /** Ends the callers. @return what broke the bound. */
    std::vector<OutdatedAnswer> finish();
    /** Number of answers that were judged. */
    [[nodiscard]] std::size_t judgedCount() const
    {
        return this->judged;
    }
    /** Longest time since an acknowledgement after which some gateway, disturbed or not, served by an older version. */
    [[nodiscard]] std::chrono::milliseconds longestDelay();
    /** Time since the start of the callers. */
    [[nodiscard]] std::chrono::milliseconds elapsed() const;

private:
    struct Disturbance
    {
        std::optional<std::size_t> gateway; ///< Whom it excuses; all if it is empty.
        bool isUnstable = false; ///< It only prolongs the bound.
        Clock::time_point start; ///< Begin of the disturbance.
        Clock::time_point end = Clock::time_point::max(); ///< End of the disturbance.
    };

    void call(std::size_t gateway);
    /** Records pauses of this process as disturbances: the whole machine may have stood still. */
    void watchClock();
    /** Bound for a request that @p gateway got at @p now; empty if it is excused. */
    std::optional<std::chrono::milliseconds> boundAt(std::size_t gateway, Clock::time_point now);
    /** Newest version acknowledged before @p time, and when; 0 if there is none. */
    std::pair<unsigned, Clock::time_point> acknowledgedBefore(Clock::time_point time);

    const ReplicatedDeployment &deployment; ///< Must outlive this object.
    const Clock::time_point start = Clock::now(); ///< Start of the callers.
    std::mutex mutex; ///< Guards the next four members.
    std::vector<std::pair<unsigned, Clock::time_point>> acknowledged; ///< Versions in the order of their times.
    std::vector<Disturbance> disturbances; ///< All since the start.
    std::vector<OutdatedAnswer> outdated; ///< What broke the bound.
    std::chrono::milliseconds longest{0}; ///< See `longestDelay`.
    std::atomic<std::size_t> judged{0}; ///< Answers that were judged.
    std::atomic<bool> isEnding{false}; ///< Tells the threads to end.
    std::vector<std::thread> threads; ///< One for each gateway, and one that watches the clock.
};

} // namespace Chestnuthook::Testing
