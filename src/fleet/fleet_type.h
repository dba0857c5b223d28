/** @file fleet_type.h  Records of the replicated fleet state. */
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/id_type.h"

namespace Chestnuthook
{

constexpr std::uint16_t SlotCount = 1024; ///< Hash slots of programs and customers; each has at most one owner.

/** Key of a declaration. */
struct DeclarationName
{
    std::string section; ///< "tenants", "models", "services", …
    std::string name; ///< Unique in its section.
    auto operator<=>(const DeclarationName &) const = default;
};

/** A declared object. */
struct DeclarationRecord
{
    std::string json; ///< Validated before it is applied.
};

/** An API key of a caller. Only its hash is stored. */
struct KeyRecord
{
    KeyId id; ///< Id shown to operators.
    CustomerId customer; ///< Customer on whose behalf requests with this key run.
    std::string hash; ///< Binary SHA-256 of the key.
    bool withdrawn = false; ///< No command clears this flag.
    std::string note; ///< Free text from the operator.
};

enum class EntryState : std::uint8_t { Live, Draining };

/** The lease of an entry. */
struct EntryRecord
{
    EntryId id; ///< Identity of the process; changes with a restart.
    Epoch epoch; ///< Log index of the grant and therefore unique.
    std::string address; ///< Address for callers.
    std::string rpcAddress; ///< Address for RPCs from other entries.
    DataCentreId dataCentre; ///< Data centre from the settings of the entry.
    EntryState state = EntryState::Live; ///< Draining entries own no slots.
};

/** Ownership of a slot. */
struct SlotRecord
{
    EntryId owner; ///< Empty if no entry is live.
    Epoch epoch; ///< Increases with each change of owner.
    EntryId former; ///< Previous owner.
    Epoch formerEpoch; ///< Epoch of the previous owner; 0 for the first record of the slot.
};

/** A request that was in flight on endpoints when they failed. */
struct StrikeRecord
{
    std::uint32_t strikes = 0; ///< Number of endpoint failures that the request may have caused.
    std::vector<EndpointId> endpoints; ///< Endpoints that failed.
    std::int64_t expiresAtMs = 0; ///< Time at which the strikes expire.
};

/** The last order that was issued to an endpoint. */
struct OrderRecord
{
    std::string json; ///< Order as sent to the endpoint.
    std::uint64_t fence = 0; ///< Fencing token; never decreases for an endpoint.
    bool confirmed = false; ///< The endpoint has executed the order.
};

} // namespace Chestnuthook
