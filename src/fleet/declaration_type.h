/** @file declaration_type.h  Typed declarations that are parsed from the JSON in the fleet state. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/id_type.h"

namespace Chestnuthook
{

/** Rate limit and scheduling weight of a customer. */
struct CustomerDeclaration
{
    CustomerId id;
    double ratePerSecond = 0; ///< Rate limit in requests per second, shared by all entries.
    double burst = 0; ///< Burst size in requests.
    double weight = 1; ///< Share of the endpoints under overload, relative to other customers.
};

/** A model that callers can request. */
struct ModelDeclaration
{
    ModelId id;
    std::uint32_t maxTokens = 0; ///< Maximum of max_tokens in a call.
    std::int64_t timeoutMs = 0; ///< Timeout of a call in milliseconds.
    std::uint32_t replicas = 0; ///< Number of endpoints to serve it; 0 for all.
};

/** An adapter of a model. */
struct AdapterDeclaration
{
    std::string name;
    ModelId model; ///< Base model.
    std::uint32_t version = 0; ///< Version to load on the endpoints.
};

/** A service other than a model that calls are routed to. */
struct ServiceDeclaration
{
    ServiceId id;
    std::vector<std::string> idempotentMethods; ///< HTTP methods that are safe to retry.
    std::int64_t timeoutMs = 0; ///< Timeout of a call in milliseconds.
    bool open = false; ///< Requests need no API key.
    bool checksFencing = false; ///< Its endpoints reject orders with an outdated fencing token.
};

/** A pool of endpoints that serve one model or one service. */
struct PoolDeclaration
{
    std::string name;
    ModelId model; ///< Empty if the pool serves a service.
    ServiceId service; ///< Empty if the pool serves a model.
    std::map<DataCentreId, std::uint32_t> replicas; ///< Number of endpoints in each data centre.
    bool checksFencing = false; ///< Its endpoints reject orders with an outdated fencing token.
};

/** Paths of a service that need no API key. */
struct RouteDeclaration
{
    std::string name;
    ServiceId service; ///< Service that the route belongs to.
    std::string path; ///< Path prefix.
    std::vector<std::string> methods; ///< HTTP methods that need no API key.
};

using RouteTable = std::map<std::string, RouteDeclaration>; ///< Routes by name.

/** Settings that apply to the whole site. */
struct SiteDeclaration
{
    std::uint64_t defaultCalls = 0; ///< Call budget of a program that specifies none.
    std::uint64_t defaultTokens = 0; ///< Token budget of a program that specifies none.
    std::uint64_t defaultMs = 0; ///< Wall time budget in milliseconds of a program that specifies none.
    std::uint32_t maxDepth = 0; ///< Maximum nesting depth of sub-agents.
    std::int64_t retentionMs = 0; ///< Retention of ended programs in milliseconds.
};

} // namespace Chestnuthook
