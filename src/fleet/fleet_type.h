/** @file fleet_type.h  Records of the replicated fleet state. */
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/id_type.h"

namespace Chestnuthook
{

constexpr std::uint16_t SlotCount = 1024; ///< Shares of all programs and customers; a slot has one owner at a time.

/** Names one declaration: its section and its name in it. */
struct DeclarationName
{
    std::string section; ///< "tenants", "models", "services", …
    std::string name; ///< Unique in its section.
    auto operator<=>(const DeclarationName &) const = default;
};

/** One declared object as JSON. */
struct DeclarationRecord
{
    std::string json; ///< Checked before it was applied.
};

/** A caller's key; the key itself is never stored. */
struct KeyRecord
{
    KeyId id; ///< Shown to operators.
    CustomerId customer; ///< For whom requests with this key run.
    std::string hash; ///< SHA-256 of the key, raw.
    bool withdrawn = false; ///< Final once set: no command clears it.
    std::string note; ///< Free text of the operator.
};

enum class EntryState : std::uint8_t { Live, Draining };

/** The lease of one entry. */
struct EntryRecord
{
    EntryId id; ///< Identity of the process; a restarted process has a new one.
    Epoch epoch; ///< Log index of the grant, so it is never used twice.
    std::string address; ///< For callers.
    std::string rpcAddress; ///< For other entries.
    DataCentreId dataCentre; ///< From the entry's settings.
    EntryState state = EntryState::Live; ///< A draining entry gets no slots.
};

/** Who owns a slot. */
struct SlotRecord
{
    EntryId owner; ///< Empty where no entry is live.
    Epoch epoch; ///< Grows with each change of owner.
    EntryId former; ///< Owner before this one.
    Epoch formerEpoch; ///< Its epoch; 0 where the slot never had another record.
};

/** A request that was in flight where endpoints died. */
struct StrikeRecord
{
    std::uint32_t strikes = 0; ///< Deaths that it is suspected of.
    std::vector<EndpointId> endpoints; ///< Where.
    std::int64_t expiresAtMs = 0; ///< After this it counts as clean.
};

/** The last order given to an endpoint. */
struct OrderRecord
{
    std::string json; ///< As sent.
    std::uint64_t fence = 0; ///< Never lower than that of an earlier order for this endpoint.
    bool confirmed = false; ///< The endpoint has carried it out.
};

} // namespace Chestnuthook
