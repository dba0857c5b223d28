/** @file configuration_type.h  Configuration of a deployment: routes, services, customers and limits. */
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/error_type.h"
#include "core/name_table_type.h"

namespace Chestnuthook
{

using Milliseconds = std::chrono::milliseconds;

/** Which requests of a route may be retried. */
enum class RouteKind : std::uint8_t {
    Safe, ///< Idempotent; may run more than once.
    Unsafe, ///< Not idempotent; runs at most once.
    Stream, ///< Returns an event stream; runs at most once unless the route is resumable.
};

template<>
struct NameTable<RouteKind>
{
    static constexpr auto Rows = std::to_array<NameRow<RouteKind>>({
        {RouteKind::Safe, "safe"},
        {RouteKind::Unsafe, "unsafe"},
        {RouteKind::Stream, "stream"},
    });
};

/** One of the services that share the requests of a route. */
struct RouteTarget
{
    std::string service; ///< Name of the service.
    std::uint64_t weight = 1; ///< Share of the requests relative to the weights of the other targets.
};

struct RouteConfig
{
    std::string name; ///< Name in messages; not used for lookups.
    std::string host; ///< Host name in lower case.
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::Safe; ///< Whether requests may be retried.
    Milliseconds timeout{0}; ///< Time limit from the request to the end of the response.
    Milliseconds targetLatency{0}; ///< Response time up to which a response has its full value.
    int priority = 0; ///< 0 is the most urgent.
    std::vector<RouteTarget> targets; ///< At least one, with a total weight above 0.
    unsigned maxAttempts = 1; ///< Most endpoints to which one request may be sent.
    bool retainsTurns = false; ///< Turns are stored and can be continued by their id.
    std::chrono::duration<double> retention{0}; ///< How long turns are stored, in seconds.
    bool isPublic = false; ///< Requests need no API key.
    bool isSticky = false; ///< Endpoints are faster with objects that they have handled recently.
    bool resumable = false; ///< A broken stream may be resumed at another endpoint.

    /** Whether a request that may have run can be sent to an endpoint once more. */
    [[nodiscard]] bool isRepeatable() const
    {
        return this->kind == RouteKind::Safe || (this->kind == RouteKind::Stream && this->resumable);
    }
};

/** Properties of the inference engine of a service. */
struct EngineConfig
{
    unsigned tokensPerEvent = 1; ///< Tokens in each event of a stream.
    unsigned slots = 0; ///< Turns that an endpoint runs concurrently; 0 if not stated.
    std::uint64_t memoryTokens = 0; ///< Tokens of turns that an endpoint's memory holds; 0 if not stated.
};

struct ServiceConfig
{
    std::string name; ///< Unique name.
    std::optional<EngineConfig> engine; ///< Set for a model service.
    double coldSeconds = 0; ///< Time for which an endpoint is cold after its start; 0 if not stated.
    double coldPerSecond = 0; ///< Requests per second that a cold endpoint tolerates; 0 if not stated.
};

/** Limit of requests, counted over all gateways. */
struct RateLimit
{
    std::string name; ///< Whose requests are counted; unique among limits of the same kind.
    double ratePerSecond = 0; ///< Requests per second; 0 for no limit.
    double burst = 0; ///< Requests that may be made at once beyond the rate.
};

/** A customer, with the limit of its requests. */
struct CustomerConfig : RateLimit
{
    std::vector<std::string> keys; ///< API keys that identify the customer.
    int priority = -1; ///< Overrides the priority of the route; -1 if not set.
};

/** Limits on the requests of clients. */
struct ClientLimits
{
    std::size_t maxHeaderBytes = 16384; ///< Size limit of the request line and header fields.
    std::size_t maxBodyBytes = 4U << 20U; ///< Size limit of a request body.
    Milliseconds headerTimeout{3000}; ///< Time limit from the first byte of a request to the end of its header.
    Milliseconds idleTimeout{15000}; ///< Idle time after which a connection is closed.
};

/** One version of the configuration. Immutable after `finalize`. */
class Configuration
{
public:
    std::uint64_t version = 0; ///< Increases with each change.
    std::vector<RouteConfig> routes; ///< In the order of the document.
    std::map<std::string, ServiceConfig> services; ///< By name.
    std::vector<CustomerConfig> customers; ///< Empty if no API keys are required.
    ClientLimits limits; ///< Limits on the requests of clients.

    /** Validates the configuration and builds the lookup tables. Errors: BadDeclaration. */
    [[nodiscard]] Result<void> finalize();

    /** The matching route with the longest path prefix; null if none matches. */
    [[nodiscard]] const RouteConfig *findRoute(std::string_view host, std::string_view path) const;
    /** The customer with the API key @p key; null if there is none. */
    [[nodiscard]] const CustomerConfig *findCustomer(const std::string &key) const;

private:
    std::unordered_map<std::string, std::vector<std::size_t>>
        routesByHost; ///< Indexes in `routes` by host, longest path prefix first.
    std::unordered_map<std::string, std::size_t> customerByKey; ///< Index in `customers` by API key.
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace Chestnuthook
