/** @file configuration_callers.cpp  Sends requests to each gateway on open and new connections and judges the answers.
 */
#include "support/configuration_callers.h"

#include <algorithm>
#include <array>
#include <memory>

#include <Poco/Exception.h>

#include "support/http_connection.h"

namespace Chestnuthook::Testing
{

namespace
{

using std::chrono::milliseconds;

constexpr unsigned RouteWindow = 40; ///< Steps before and after a version for which it has routes.
constexpr auto CallPause = milliseconds(15); ///< Between two requests of a caller.
constexpr auto CallTimeout = milliseconds(1500); ///< Longest wait for a response.
constexpr auto ClockInterval = milliseconds(10);
constexpr auto MaxClockDelay = milliseconds(150); ///< A longer one counts as a disturbance of everything.
/** A caller asks for routes that were moved at least this long ago, in turn. */
constexpr std::array ProbedDelays = {ConfigurationCallers::ApplyBound, milliseconds(1000), milliseconds(400)};

std::string routeDocument(const std::string &name, const char *service)
{
    return R"({"name":")" + name + R"(","host":")" + ReplicatedDeployment::Host + R"(","pathPrefix":"/)" + name
        + R"(/","kind":"safe","timeoutMs":1000,"targetLatencyMs":100,"priority":0,"service":")" + service
        + R"(","maxAttempts":2,"retain":false,"retentionS":60.0,"public":false,"sticky":false,"resumable":false,)"
          R"("gapAimMs":150})";
}

std::string requestFor(unsigned version, const std::string &id)
{
    return "GET /step-" + std::to_string(version) + "/x HTTP/1.1\r\nHost: " + ReplicatedDeployment::Host
        + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer " + ReplicatedDeployment::Key
        + "\r\n\r\n";
}

} // namespace

std::string stepConfiguration(unsigned version, std::size_t otherRoutes)
{
    std::string routes = routeDocument("steady", "first");
    for (unsigned step = version - std::min(version - 1, RouteWindow); step <= version + RouteWindow; ++step) {
        routes += "," + routeDocument("step-" + std::to_string(step), step <= version ? "second" : "first");
    }
    for (std::size_t i = 0; i < otherRoutes; ++i) {
        routes += "," + routeDocument("other-" + std::to_string(i), "first");
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
        + R"(],"services":[{"name":"first","healthPath":"/health","maxConns":100},)"
          R"({"name":"second","healthPath":"/health","maxConns":100}],)"
          R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
          R"("tenants":[{"name":"t","apiKeys":[")"
        + ReplicatedDeployment::Key + R"("],"ratePerS":100000,"burst":100000}]})";
}

ConfigurationCallers::ConfigurationCallers(const ReplicatedDeployment &deployment)
    : deployment(deployment)
{
    for (std::size_t gateway = 0; gateway < deployment.clientAddresses.size(); ++gateway) {
        this->threads.emplace_back([this, gateway]() {
            this->call(gateway);
        });
    }
    this->threads.emplace_back([this]() {
        this->watchClock();
    });
}

ConfigurationCallers::~ConfigurationCallers()
{
    this->finish();
}

std::vector<OutdatedAnswer> ConfigurationCallers::finish()
{
    this->isEnding = true;
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
    return this->outdated;
}

milliseconds ConfigurationCallers::longestDelay()
{
    const std::lock_guard lock(this->mutex);
    return this->longest;
}

milliseconds ConfigurationCallers::elapsed() const
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - this->start);
}

void ConfigurationCallers::recordAcknowledged(unsigned version)
{
    const std::lock_guard lock(this->mutex);
    this->acknowledged.emplace_back(version, Clock::now());
}

std::size_t ConfigurationCallers::beginDisturbance(std::optional<std::size_t> gateway)
{
    const std::lock_guard lock(this->mutex);
    this->disturbances.push_back({gateway, false, Clock::now()});
    return this->disturbances.size() - 1;
}

std::size_t ConfigurationCallers::beginUnstable()
{
    const std::lock_guard lock(this->mutex);
    this->disturbances.push_back({std::nullopt, true, Clock::now()});
    return this->disturbances.size() - 1;
}

void ConfigurationCallers::endDisturbance(std::size_t disturbance)
{
    const std::lock_guard lock(this->mutex);
    this->disturbances[disturbance].end = Clock::now();
}

std::optional<milliseconds> ConfigurationCallers::boundAt(std::size_t gateway, Clock::time_point now)
{
    const std::lock_guard lock(this->mutex);
    milliseconds bound = ApplyBound;
    for (const Disturbance &disturbance : this->disturbances) {
        const bool isOver = disturbance.end < now - ContactTime;
        if (isOver || disturbance.gateway.value_or(gateway) != gateway) {
            continue;
        }
        if (!disturbance.isUnstable) {
            return std::nullopt;
        }
        bound = ApplyBound + UnstableAllowance;
    }
    return bound;
}

std::pair<unsigned, ConfigurationCallers::Clock::time_point> ConfigurationCallers::acknowledgedBefore(
    Clock::time_point time)
{
    const std::lock_guard lock(this->mutex);
    std::pair<unsigned, Clock::time_point> newest;
    for (const auto &[version, at] : this->acknowledged) {
        if (at <= time && version > newest.first) {
            newest = {version, at};
        }
    }
    return newest;
}

void ConfigurationCallers::watchClock()
{
    Clock::time_point last = Clock::now();
    while (!this->isEnding) {
        std::this_thread::sleep_for(ClockInterval);
        const Clock::time_point now = Clock::now();
        if (now - last > MaxClockDelay) {
            const std::lock_guard lock(this->mutex);
            this->disturbances.push_back({std::nullopt, false, last, now});
        }
        last = now;
    }
}

void ConfigurationCallers::call(std::size_t gateway)
{
    std::unique_ptr<HttpConnection> kept;
    for (std::size_t count = 0; !this->isEnding; ++count) {
        std::this_thread::sleep_for(CallPause);
        const Clock::time_point sent = Clock::now();
        const auto [version, at] = this->acknowledgedBefore(sent - ProbedDelays[count % ProbedDelays.size()]);
        if (version == 0) {
            continue;
        }
        const bool isNew = count / ProbedDelays.size() % 2 == 0;
        Response response;
        try {
            if (isNew || kept == nullptr) {
                kept = std::make_unique<HttpConnection>(this->deployment.clientAddresses[gateway], CallTimeout);
            }
            response =
                kept->exchange(requestFor(version, std::to_string(gateway) + "-" + std::to_string(count)), CallTimeout);
        } catch (const Poco::Exception &) {
            response = {}; // The gateway is down.
        }
        if (!response.keepsConnection) {
            kept.reset();
        }
        const bool isOutdated = response.status == 404 || (response.status == 200 && response.body == "first");
        const auto delay = std::chrono::duration_cast<milliseconds>(sent - at);
        const std::optional<milliseconds> bound = this->boundAt(gateway, sent);
        const bool isJudged = bound && delay >= *bound;
        this->judged += isJudged && response.status != 0 ? 1 : 0;
        if (isOutdated) {
            const std::lock_guard lock(this->mutex);
            this->longest = std::max(this->longest, delay);
            if (isJudged) {
                const auto since = std::chrono::duration_cast<milliseconds>(sent - this->start);
                this->outdated.push_back({gateway, version, response.status, delay, since, isNew});
            }
        }
    }
}

} // namespace Chestnuthook::Testing
