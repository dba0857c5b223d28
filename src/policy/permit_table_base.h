/** @file permit_table_base.h  A dispatcher's count of the permits of its endpoints: who runs and who waits. Pure. */
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "policy/endpoint_queue_base.h"

namespace Chestnuthook
{

/** A permit as its asker named it. */
struct PermitKey
{
    EntryId entry; ///< The asker's process.
    std::uint64_t permit = 0; ///< Unique in that process.
    auto operator<=>(const PermitKey &) const = default;
};

enum class PermitState : std::uint8_t {
    Waiting, ///< A grant will be told.
    Running, ///< May be used, or is in use.
    Shed, ///< There is no room for it.
};

/** Invariants: a permit is counted at most once however often it is asked for, until it is released or its entry's
 * lease ends; a released permit is never granted again. */
class PermitTable
{
public:
    /** Asks for a permit, or again for one asked for before. */
    PermitState ask(const EndpointId &endpoint, const PermitKey &key, QueuedCall call)
    {
        if (this->ended.contains(key)) {
            return PermitState::Waiting; // A message that was overtaken by the release; its asker does not wait.
        }
        Queue &queue = this->queues[endpoint];
        const auto [id, added] = this->ids.try_emplace(key, this->nextId);
        if (added) {
            this->nextId++;
            this->keys[id->second] = {key, endpoint};
        }
        call.id = id->second;
        if (const auto shed = added ? queue.push(call, this->fairness) : std::nullopt) {
            const PermitKey lost = this->keys.at(*shed).first;
            this->forget(*shed);
            if (lost == key) {
                return PermitState::Shed;
            }
            this->shed.push_back(lost);
        }
        this->startNext(endpoint);
        std::erase(this->granted, key); // The answer tells it.
        return queue.isRunning(call.id) ? PermitState::Running : PermitState::Waiting;
    }

    /** Counts a permit that is in use already: an earlier dispatcher granted it, or none could be reached. */
    void adopt(const EndpointId &endpoint, const PermitKey &key, QueuedCall call)
    {
        if (this->ended.contains(key)) {
            return;
        }
        const auto [id, added] = this->ids.try_emplace(key, this->nextId);
        if (added) {
            this->nextId++;
            this->keys[id->second] = {key, endpoint};
        }
        call.id = id->second;
        this->queues[endpoint].adopt(call, this->fairness);
    }

    /** The permit was used up or is not wanted any more. */
    void release(const PermitKey &key)
    {
        this->rememberEnded(key);
        const auto id = this->ids.find(key);
        if (id == this->ids.end()) {
            return;
        }
        const EndpointId endpoint = this->keys.at(id->second).second;
        this->queues[endpoint].remove(id->second, this->fairness);
        this->forget(id->second);
        this->startNext(endpoint);
    }

    /** Returns the permits of entries that have no lease any more. */
    void releaseUnleased(const std::set<EntryId> &leased)
    {
        std::vector<PermitKey> gone;
        for (const auto &[key, id] : this->ids) {
            if (!leased.contains(key.entry)) {
                gone.push_back(key);
            }
        }
        for (const PermitKey &key : gone) {
            this->release(key);
        }
    }

    /** This entry is not the endpoint's dispatcher any more: its count is forgotten, as askers tell the next one. */
    void drop(const EndpointId &endpoint)
    {
        std::vector<std::uint64_t> gone;
        for (const auto &[id, row] : this->keys) {
            if (row.second == endpoint) {
                gone.push_back(id);
            }
        }
        for (const std::uint64_t id : gone) {
            this->queues[endpoint].remove(id, this->fairness);
            this->forget(id);
        }
        this->queues.erase(endpoint);
    }

    /** Permits that waited and may be used now; each is given out once. */
    std::vector<PermitKey> takeGranted()
    {
        return std::exchange(this->granted, {});
    }
    /** Permits that waited and were shed. */
    std::vector<PermitKey> takeShed()
    {
        return std::exchange(this->shed, {});
    }

    void setMaxInFlight(const EndpointId &endpoint, std::size_t inFlight)
    {
        this->queues[endpoint].bounds.inFlight = inFlight;
    }
    [[nodiscard]] std::size_t load(const EndpointId &endpoint) const
    {
        const auto queue = this->queues.find(endpoint);
        return queue == this->queues.end() ? 0 : queue->second.inFlightCount() + queue->second.waitingSize();
    }
    [[nodiscard]] std::size_t inFlight(const EndpointId &endpoint) const
    {
        const auto queue = this->queues.find(endpoint);
        return queue == this->queues.end() ? 0 : queue->second.inFlightCount();
    }
    [[nodiscard]] double backlog(const EndpointId &endpoint) const
    {
        const auto queue = this->queues.find(endpoint);
        return queue == this->queues.end() ? 0 : queue->second.backlogTokens();
    }
    [[nodiscard]] std::vector<EndpointId> endpoints() const
    {
        std::vector<EndpointId> found;
        for (const auto &[endpoint, queue] : this->queues) {
            found.push_back(endpoint);
        }
        return found;
    }

    FairCounters fairness; ///< Over all endpoints of this dispatcher.

private:
    static constexpr std::size_t MaxEnded = 16384;
    using Queue = EndpointQueue<MostAttainedService>;

    void startNext(const EndpointId &endpoint)
    {
        while (const auto next = this->queues[endpoint].start(this->fairness)) {
            this->granted.push_back(this->keys.at(next->id).first);
        }
    }
    void rememberEnded(const PermitKey &key)
    {
        if (!this->ended.insert(key).second) {
            return;
        }
        this->endedOrder.push_back(key);
        if (this->endedOrder.size() > MaxEnded) {
            this->ended.erase(this->endedOrder.front());
            this->endedOrder.pop_front();
        }
    }
    void forget(std::uint64_t id)
    {
        const auto row = this->keys.find(id);
        std::erase(this->granted, row->second.first);
        this->ids.erase(row->second.first);
        this->keys.erase(row);
    }

    std::map<EndpointId, Queue> queues; ///< Of this dispatcher's endpoints.
    std::map<PermitKey, std::uint64_t> ids; ///< Id in the queues of each permit that waits or runs.
    std::map<std::uint64_t, std::pair<PermitKey, EndpointId>> keys; ///< The reverse; same permits as `ids`.
    std::set<PermitKey> ended; ///< Released lately, so that a message which was overtaken counts for nothing.
    std::deque<PermitKey> endedOrder; ///< Same keys as `ended`, oldest first.
    std::vector<PermitKey> granted; ///< Not told yet.
    std::vector<PermitKey> shed; ///< Not told yet.
    std::uint64_t nextId = 1; ///< Never reused.
};

} // namespace Chestnuthook
