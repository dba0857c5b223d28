/** @file configuration_type.h  What operators configure: routes, services, customers and limits, as plain values. */
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

/** What may be repeated on a route. */
enum class RouteKind : std::uint8_t {
    Safe, ///< May run more than once.
    Unsafe, ///< Runs at most once.
    Stream, ///< A series of events; runs at most once unless it is resumable.
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

/** One service among which a route's requests are split. */
struct RouteTarget
{
    std::string service; ///< Name of the service.
    std::uint64_t weight = 1; ///< Share of the requests, relative to the other targets.
};

struct RouteConfig
{
    std::string name; ///< For people.
    std::string host; ///< Lower case.
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::Safe; ///< What may be repeated.
    Milliseconds timeout{0}; ///< Longest time to the end of the answer.
    Milliseconds targetLatency{0}; ///< Within which an answer earns its full worth.
    int priority = 0; ///< 0 is the most urgent.
    std::vector<RouteTarget> targets; ///< At least one.
    unsigned maxAttempts = 1; ///< Endpoints that one request may be sent to.
    bool retainsTurns = false; ///< Turns are kept and continued by their id.
    std::chrono::duration<double> retention{0}; ///< How long turns are kept.
    bool isPublic = false; ///< Needs no key.
    bool resumable = false; ///< A stream may go on at another endpoint.
};

/** Facts of the engines of a service. */
struct EngineConfig
{
    unsigned tokensPerEvent = 1; ///< Tokens in each event of a stream.
};

struct ServiceConfig
{
    std::string name; ///< Unique.
    std::optional<EngineConfig> engine; ///< Set where it is a model service.
};

struct CustomerConfig
{
    std::string name; ///< Unique.
    std::vector<std::string> keys; ///< Secrets that callers show.
    int priority = -1; ///< Replaces the route's priority; -1 where not set.
    double ratePerSecond = 0; ///< 0 for no limit.
    double burst = 0; ///< Requests beyond the rate.
};

/** Bounds of what callers may send. */
struct ClientLimits
{
    std::size_t maxHeaderBytes = 16384; ///< Request line and fields.
    std::size_t maxBodyBytes = 4U << 20U; ///< Body of one request.
    Milliseconds headerTimeout{3000}; ///< From the first byte of a request to the end of its head.
    Milliseconds idleTimeout{15000}; ///< Between requests of a connection.
};

/** One version of all of it. Immutable once made. */
class Configuration
{
public:
    std::uint64_t version = 0; ///< Grows with each change.
    std::vector<RouteConfig> routes; ///< In the operator's order.
    std::map<std::string, ServiceConfig> services; ///< By name.
    std::vector<CustomerConfig> customers; ///< Empty where no keys are asked for.
    ClientLimits limits; ///< For callers.

    /** Builds the tables for the lookups below; tells what makes the configuration invalid (BadDeclaration). */
    [[nodiscard]] Result<void> finalize();

    /** The route with the longest prefix; null where none matches. */
    [[nodiscard]] const RouteConfig *findRoute(std::string_view host, std::string_view path) const;
    /** Null where no customer holds @p key. */
    [[nodiscard]] const CustomerConfig *findCustomer(const std::string &key) const;

private:
    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost; ///< Longest prefix first.
    std::unordered_map<std::string, std::size_t> customerByKey; ///< Index in `customers`.
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace Chestnuthook
