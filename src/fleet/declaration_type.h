/** @file declaration_type.h  Typed declarations, as parsed from the JSON of the fleet state. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/id_type.h"

namespace Chestnuthook
{

/** A customer's share. */
struct CustomerDeclaration
{
    CustomerId id; ///< Its name.
    double ratePerSecond = 0; ///< Requests per second, counted over all entries.
    double burst = 0; ///< Requests that may come at once.
    double weight = 1; ///< Share of endpoints under overload, against the other customers.
};

/** A model that callers may name. */
struct ModelDeclaration
{
    ModelId id; ///< Its name.
    std::uint32_t maxTokens = 0; ///< Upper bound of a call's max_tokens.
    std::int64_t timeoutMs = 0; ///< Deadline of a call in milliseconds.
    std::uint32_t replicas = 0; ///< Endpoints that should serve it; 0 for all.
};

/** An adapter of a model. */
struct AdapterDeclaration
{
    std::string name; ///< Its name.
    ModelId model; ///< Which model it adapts.
    std::uint32_t version = 0; ///< Version that endpoints should load.
};

/** A plain service that the system routes to. */
struct ServiceDeclaration
{
    ServiceId id; ///< Its name.
    std::vector<std::string> idempotentMethods; ///< Methods that may be repeated.
    std::int64_t timeoutMs = 0; ///< Deadline of a call in milliseconds.
    bool open = false; ///< Requests need no key.
    bool checksFencing = false; ///< Its endpoints refuse orders with an old fencing number.
};

/** Endpoints that serve one model or one service. */
struct PoolDeclaration
{
    std::string name; ///< Its name.
    ModelId model; ///< Empty where it serves a service.
    ServiceId service; ///< Empty where it serves a model.
    std::map<DataCentreId, std::uint32_t> replicas; ///< Endpoints in each data centre.
    bool checksFencing = false; ///< Its endpoints refuse orders with an old fencing number.
};

/** Paths of a service that need no key. */
struct RouteDeclaration
{
    std::string name; ///< Its name.
    ServiceId service; ///< Where it leads.
    std::string path; ///< Start of the paths.
    std::vector<std::string> methods; ///< HTTP methods.
};

using RouteTable = std::map<std::string, RouteDeclaration>; ///< By name.

/** Settings of the whole site. */
struct SiteDeclaration
{
    std::uint64_t defaultCalls = 0; ///< Budget of a program that names none.
    std::uint64_t defaultTokens = 0; ///< Budget of a program that names none.
    std::uint64_t defaultMs = 0; ///< Budget of a program that names none, wall time.
    std::uint32_t maxDepth = 0; ///< Levels of sub-agents.
    std::int64_t retentionMs = 0; ///< How long ended programs are kept.
};

} // namespace Chestnuthook
