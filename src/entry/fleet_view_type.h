/** @file fleet_view_type.h  The traffic threads' view of the fleet state: an immutable snapshot and the time until
 * which it is fresh. */
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/id_type.h"
#include "core/timer_type.h"
#include "fleet/declaration_type.h"
#include "fleet/fleet_type.h"

namespace Chestnuthook
{

/** A client, identified by its API key. */
struct ClientIdentity
{
    CustomerId customer; ///< Customer on whose behalf requests run.
    KeyId key; ///< Id of the API key.
};

/** The strikes against a request: deaths of endpoints while it was in flight there. */
struct StrikeView
{
    std::uint32_t strikes = 0; ///< Number of endpoints that died.
    std::int64_t expiresAtMs = 0; ///< When the strikes expire, in milliseconds since 1970.
};

/** A snapshot of the fleet state. Immutable; a change replaces the whole view. */
struct FleetView
{
    Revision revision; ///< Revision of the declarations.
    std::unordered_map<std::string, ClientIdentity> clients; ///< By raw SHA-256 of the API key, without withdrawn keys.
    std::unordered_map<CustomerId, CustomerDeclaration> customers; ///< Declared customers.
    std::unordered_map<ModelId, ModelDeclaration> models; ///< Declared models.
    std::unordered_map<ServiceId, ServiceDeclaration> services; ///< Declared services.
    RouteTable routes; ///< Routes that need no API key; see isOpenToAll.
    std::unordered_map<std::string, PoolDeclaration> pools; ///< Declared pools.
    std::unordered_map<std::string, AdapterDeclaration> adapters; ///< Declared adapters.
    SiteDeclaration site; ///< Default budgets and retention.
    std::vector<EntryRecord> entries; ///< Entries that hold a lease, including draining ones.
    std::vector<SlotRecord> slots; ///< Slots by number.
    std::unordered_map<std::string, StrikeView> strikes; ///< Strikes by fingerprint of the request.
};

/** No request is admitted under an older view. The age counts from when the confirmed read of the view was sent. */
constexpr Duration MaxViewAge = std::chrono::milliseconds(3000);

/** Holds the current view; read by traffic threads, written by the control thread. */
class FleetViewHolder
{
public:
    [[nodiscard]] std::shared_ptr<const FleetView> get() const
    {
        return this->view.load();
    }
    void set(std::shared_ptr<const FleetView> next)
    {
        this->view.store(std::move(next));
    }

    /** Whether the view is fresh enough at @p now to admit requests. */
    [[nodiscard]] bool isFresh(Instant now) const
    {
        return now.us < this->freshUntilUs.load();
    }
    /** Whether the confirmed read of the view was sent after @p time. */
    [[nodiscard]] bool wasReadAfter(Instant time) const
    {
        return (time + MaxViewAge).us < this->freshUntilUs.load();
    }
    /** When the view stops being fresh. */
    [[nodiscard]] Instant freshUntil() const
    {
        return Instant(this->freshUntilUs.load());
    }
    void setFreshUntil(Instant until)
    {
        this->freshUntilUs.store(until.us);
    }

private:
    std::atomic<std::shared_ptr<const FleetView>> view; ///< Null until the first confirmed read.
    std::atomic<std::int64_t> freshUntilUs =
        0; ///< When the last confirmed read was sent, plus MaxViewAge; in microseconds.
};

} // namespace Chestnuthook
