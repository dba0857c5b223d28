/** @file fleet_follower_base.cpp  Follows the fleet state by periodic confirmed reads. */
#include "entry/fleet_follower_base.h"

#include <utility>

#include "fleet/declaration_func.h"
#include "observe/log_func.h"

namespace Chestnuthook
{

namespace
{

constexpr Duration PollInterval = std::chrono::milliseconds(250);

void applyDeclaration(FleetView &view, const DeclarationName &name, const std::string &json)
{
    if (name.section == "tenants") {
        if (const auto customer = parseCustomer(name.name, json)) {
            view.customers[customer->id] = *customer;
        }
    } else if (name.section == "models") {
        if (const auto model = parseModel(name.name, json)) {
            view.models[model->id] = *model;
        }
    } else if (name.section == "services") {
        if (const auto service = parseService(name.name, json)) {
            view.services[service->id] = *service;
        }
    } else if (name.section == "routes") {
        if (const auto route = parseRoute(name.name, json)) {
            view.routes[name.name] = *route;
        }
    } else if (name.section == "pools") {
        if (const auto pool = parsePool(name.name, json)) {
            view.pools[name.name] = *pool;
        }
    } else if (name.section == "adapters") {
        if (const auto adapter = parseAdapter(name.name, json)) {
            view.adapters[name.name] = *adapter;
        }
    } else if (name.section == "site") {
        if (const auto site = parseSite(json)) {
            view.site = *site;
        }
    }
}

void removeDeclaration(FleetView &view, const DeclarationName &name)
{
    view.customers.erase(name.section == "tenants" ? CustomerId{name.name} : CustomerId{});
    view.models.erase(name.section == "models" ? ModelId{name.name} : ModelId{});
    view.services.erase(name.section == "services" ? ServiceId{name.name} : ServiceId{});
    view.routes.erase(name.section == "routes" ? name.name : "");
    view.pools.erase(name.section == "pools" ? name.name : "");
    view.adapters.erase(name.section == "adapters" ? name.name : "");
}

/** A key is valid while it is not withdrawn and its customer is declared. */
void applyKey(FleetView &view, const KeyId &id, const VersionedTable<KeyId, KeyRecord>::Row &row)
{
    const bool usable = !row.removed && !row.record.withdrawn && view.customers.contains(row.record.customer);
    if (usable) {
        view.clients[row.record.hash] = ClientIdentity{row.record.customer, id};
    } else {
        view.clients.erase(row.record.hash);
    }
}

/** Copies all entries and slots, as there are few. */
void copyLeases(FleetView &view, const FleetState &state)
{
    view.entries.clear();
    for (const auto &[id, row] : state.entries.all()) {
        if (!row.removed) {
            view.entries.push_back(row.record);
        }
    }
    view.slots.assign(SlotCount, SlotRecord{});
    for (const auto &[slot, row] : state.slots.all()) {
        view.slots[slot.value] = row.record;
    }
}

/** Copies all strikes; there are few, as they expire. */
void copyStrikes(FleetView &view, const FleetState &state)
{
    view.strikes.clear();
    for (const auto &[fingerprint, row] : state.strikes.all()) {
        if (!row.removed) {
            view.strikes[fingerprint] = StrikeView{row.record.strikes, row.record.expiresAtMs};
        }
    }
}

} // namespace

std::shared_ptr<const FleetView> makeView(const FleetState &state)
{
    auto view = std::make_shared<FleetView>();
    view->revision = state.revision();
    view->site = parseSite("{}").value();
    for (const auto &[name, row] : state.declarations.all()) {
        if (!row.removed) {
            applyDeclaration(*view, name, row.record.json);
        }
    }
    for (const auto &[id, row] : state.keys.all()) {
        applyKey(*view, id, row);
    }
    copyLeases(*view, state);
    copyStrikes(*view, state);
    return view;
}

std::shared_ptr<const FleetView> updateView(const FleetView &old, const FleetState &state, std::uint64_t since)
{
    auto view = std::make_shared<FleetView>(old);
    view->revision = state.revision();
    bool customersCameOrWent = false;
    state.declarations.forChangesAfter(since, [&](const DeclarationName &name, const auto &row) {
        const bool wasThere = view->customers.contains(CustomerId{name.name});
        if (!row.removed) {
            applyDeclaration(*view, name, row.record.json);
        } else if (name.section == "site") {
            view->site = parseSite("{}").value();
        } else {
            removeDeclaration(*view, name);
        }
        customersCameOrWent = customersCameOrWent || wasThere != view->customers.contains(CustomerId{name.name});
    });
    state.keys.forChangesAfter(customersCameOrWent ? 0 : since, [&](const KeyId &id, const auto &row) {
        applyKey(*view, id, row);
    });
    copyLeases(*view, state);
    copyStrikes(*view, state);
    return view;
}

FleetFollower::FleetFollower(ControlClient &client, TimerService &timers, EntryRecord self)
    : self(std::move(self))
    , client(client)
    , timers(timers)
    , pendingRead(kj::READY_NOW)
{
}

void FleetFollower::start()
{
    this->subscription = this->timers.every(PollInterval, [this]() {
        this->poll();
    });
    this->poll();
}

void FleetFollower::stop()
{
    this->subscription.cancel();
    this->pendingRead = kj::READY_NOW;
}

void FleetFollower::drain()
{
    this->self.state = EntryState::Draining;
    this->poll();
}

bool FleetFollower::isFresh() const
{
    return this->views.isFresh(this->timers.now());
}

void FleetFollower::poll()
{
    const bool fresh = this->isFresh();
    if (fresh != this->wasFresh) {
        logEvent(fresh ? EventKind::FreshnessRegained : EventKind::FreshnessLost, {});
        this->wasFresh = fresh;
    }
    if (this->busy) {
        return;
    }
    const EntryRecord *own = this->state.entries.find(this->self.id);
    const bool drainRequested =
        own != nullptr && own->state == EntryState::Draining && this->self.state == EntryState::Live;
    if (drainRequested && this->onDrainRequested) {
        this->onDrainRequested(); // Calls poll() again, which does the read.
        return;
    }
    this->busy = true;
    const Instant sentAt = this->timers.now();
    this->pendingRead =
        this->client.sync(this->self, this->state.index(), this->state.revision().value)
            .then(
                [this, sentAt](SyncResponse &&response) {
                    this->busy = false;
                    this->handleResponse(response, sentAt);
                },
                [this](kj::Exception && /*exception*/) {
                    this->busy = false; // The client has switched to another control member; the next poll retries.
                })
            .eagerlyEvaluate(nullptr);
}

void FleetFollower::handleResponse(const SyncResponse &response, Instant sentAt)
{
    const auto result = response.getResult().getDelta();
    const std::uint64_t before = this->state.index();
    if (!this->state.applyDelta(result.getDelta())) {
        this->client.switchToNextMember();
        return;
    }
    const bool newLease = this->self.epoch.value != result.getEpoch();
    this->self.epoch = Epoch{result.getEpoch()};
    if (newLease) {
        logEvent(
            EventKind::LeaseGranted, {{"entry", this->self.id.text}, {"epoch", std::to_string(result.getEpoch())}});
    }
    this->state.keys.forChangesAfter(
        result.getDelta().getWhole() ? this->state.index() : before, [](const KeyId &id, const auto &row) {
            if (row.record.withdrawn) {
                logEvent(EventKind::KeyWithdrawn, {{"key_id", id.text}, {"tenant", row.record.customer.text}});
            }
        });
    const bool changed = this->state.index() != before || newLease;
    if (changed) {
        this->publish(result.getDelta().getWhole() ? 0 : before);
    }
    this->views.setFreshUntil(sentAt + MaxViewAge);
    if (changed && this->onChange) {
        this->onChange();
    }
}

void FleetFollower::publish(std::uint64_t since)
{
    const auto old = this->views.get();
    auto next = old == nullptr || since == 0 ? makeView(this->state) : updateView(*old, this->state, since);
    if (old == nullptr || old->revision != next->revision) {
        logEvent(EventKind::ConfigurationInForce, {{"revision", std::to_string(next->revision.value)}});
    }
    this->views.set(std::move(next));
}

} // namespace Chestnuthook
