/** @file fleet_view_type.h  What traffic threads know of the fleet: an immutable snapshot with the time up to which it
 * may be relied on. */
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

/** A caller, as its key tells. */
struct ClientIdentity
{
    TenantId tenant; ///< For whom requests run.
    KeyId key; ///< Which key came.
};

/** How often a request was in flight where an endpoint died. */
struct StrikeView
{
    std::uint32_t strikes = 0; ///< Deaths that it is suspected of.
    std::int64_t expiresAtMs = 0; ///< Milliseconds since 1970; after this it counts as clean.
};

/** Immutable; replaced as a whole. */
struct FleetView
{
    Revision revision; ///< Of the declarations.
    std::unordered_map<std::string, ClientIdentity>
        clients; ///< By raw SHA-256 of the key; withdrawn keys are not in it.
    std::unordered_map<TenantId, TenantDeclaration> tenants; ///< Declared tenants.
    std::unordered_map<ModelId, ModelDeclaration> models; ///< Declared models.
    std::unordered_map<ServiceId, ServiceDeclaration> services; ///< Declared services.
    RouteTable routes; ///< Open to all; see isOpenToAll.
    std::unordered_map<std::string, PoolDeclaration> pools; ///< Declared pools.
    std::unordered_map<std::string, AdapterDeclaration> adapters; ///< Declared adapters.
    SiteDeclaration site; ///< Budgets and retention.
    std::vector<EntryRecord> entries; ///< With a lease; draining ones too.
    std::vector<SlotRecord> slots; ///< By slot number.
    std::unordered_map<std::string, StrikeView> strikes; ///< By fingerprint of the request.
};

/** Past this age, from when a confirmed read was sent, nothing is admitted. */
constexpr Duration MaxViewAge = std::chrono::milliseconds(3000);

/** The current view; read by traffic threads, written by the control thread. */
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

    /** Whether requests may be admitted under the view at @p now. */
    [[nodiscard]] bool isFresh(Instant now) const
    {
        return now.us < this->freshUntilUs.load();
    }
    /** Whether the view was read by a request that was sent after @p time. */
    [[nodiscard]] bool wasReadAfter(Instant time) const
    {
        return (time + MaxViewAge).us < this->freshUntilUs.load();
    }
    /** Until when the view may be relied on. */
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
    std::atomic<std::int64_t> freshUntilUs = 0; ///< From when the last confirmed read was sent, plus the bound.
};

} // namespace Chestnuthook
