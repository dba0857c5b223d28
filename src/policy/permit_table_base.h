/** @file permit_table_base.h  Permits for the endpoints of one dispatcher: which calls run and which wait. Does no I/O
 * and reads no clock. */
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

/** Identifies a permit, as chosen by the requester. */
struct PermitKey
{
    EntryId entry; ///< Requesting process.
    std::uint64_t permit = 0; ///< Unique within that process.
    auto operator<=>(const PermitKey &) const = default;
};

/** Answer to a request for a permit. */
enum class PermitState : std::uint8_t {
    Waiting, ///< Queued; the grant is sent later.
    Running, ///< Granted; the call may run or runs.
    Shed, ///< Rejected, because the queue is full.
};

/** Permits that wait or run at the endpoints of one dispatcher.
 *
 * Invariants: a permit is counted at most once however often it is requested, until it is released or the lease of its
 * entry ends. A permit that is known as released is never granted again. */
class PermitTable
{
public:
    /** Requests a permit. The request may be repeated. */
    PermitState ask(const EndpointId &endpoint, const PermitKey &key, QueuedCall call)
    {
        if (this->released.contains(key)) {
            return PermitState::Waiting; // The release overtook this message, so the requester no longer waits.
        }
        Queue &queue = this->queues[endpoint];
        const auto [id, added] = this->ids.try_emplace(key, this->nextId);
        if (added) {
            this->nextId++;
            this->keys[id->second] = {key, endpoint};
        }
        call.id = id->second;
        if (const auto shed = added ? queue.push(call, this->fairness) : std::nullopt) {
            const PermitKey shedKey = this->keys.at(*shed).first;
            this->forget(*shed);
            if (shedKey == key) {
                return PermitState::Shed;
            }
            this->shed.push_back(shedKey);
        }
        this->startNext(endpoint);
        std::erase(this->granted, key); // The return value reports this grant.
        return queue.isRunning(call.id) ? PermitState::Running : PermitState::Waiting;
    }

    /** Adds a permit that is in use already: an earlier dispatcher granted it, or no dispatcher was reachable. */
    void adopt(const EndpointId &endpoint, const PermitKey &key, QueuedCall call)
    {
        if (this->released.contains(key)) {
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

    /** Releases a permit that was used or is no longer needed. */
    void release(const PermitKey &key)
    {
        this->rememberReleased(key);
        const auto id = this->ids.find(key);
        if (id == this->ids.end()) {
            return;
        }
        const EndpointId endpoint = this->keys.at(id->second).second;
        this->queues[endpoint].remove(id->second, this->fairness);
        this->forget(id->second);
        this->startNext(endpoint);
    }

    /** Releases the permits of entries that are not in @p leased. */
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

    /** Removes all permits of an endpoint that this entry no longer dispatches. Requesters register them at the next
     * dispatcher. */
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

    /** Returns the permits that waited and are now granted; each is returned once. */
    std::vector<PermitKey> takeGranted()
    {
        return std::exchange(this->granted, {});
    }
    /** Returns the permits that waited and were shed; each is returned once. */
    std::vector<PermitKey> takeShed()
    {
        return std::exchange(this->shed, {});
    }

    void setMaxInFlight(const EndpointId &endpoint, std::size_t maxInFlight)
    {
        this->queues[endpoint].limits.maxInFlight = maxInFlight;
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

    FairCounters fairness; ///< Shared by all endpoints of this dispatcher.

private:
    static constexpr std::size_t MaxReleased = 16384;
    using Queue = EndpointQueue<MostAttainedService>;

    void startNext(const EndpointId &endpoint)
    {
        while (const auto next = this->queues[endpoint].start(this->fairness)) {
            this->granted.push_back(this->keys.at(next->id).first);
        }
    }
    void rememberReleased(const PermitKey &key)
    {
        if (!this->released.insert(key).second) {
            return;
        }
        this->releasedOrder.push_back(key);
        if (this->releasedOrder.size() > MaxReleased) {
            this->released.erase(this->releasedOrder.front());
            this->releasedOrder.pop_front();
        }
    }
    void forget(std::uint64_t id)
    {
        const auto row = this->keys.find(id);
        std::erase(this->granted, row->second.first);
        this->ids.erase(row->second.first);
        this->keys.erase(row);
    }

    std::map<EndpointId, Queue> queues; ///< Queues of this dispatcher's endpoints.
    std::map<PermitKey, std::uint64_t> ids; ///< Id in its queue of each permit that waits or runs.
    std::map<std::uint64_t, std::pair<PermitKey, EndpointId>> keys; ///< Reverse of `ids`, with the endpoint.
    std::set<PermitKey> released; ///< Recently released permits; a message that arrives after the release is ignored.
    std::deque<PermitKey> releasedOrder; ///< Same keys as `released`, oldest first.
    std::vector<PermitKey> granted; ///< Grants that were not reported yet.
    std::vector<PermitKey> shed; ///< Shed permits that were not reported yet.
    std::uint64_t nextId = 1; ///< Next id in a queue; ids are never reused.
};

} // namespace Chestnuthook
