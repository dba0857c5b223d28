/** @file request_memory_base.h  Limits the memory that the connections of all HTTP ports of a process and the requests
 * on them take together, and the number of connections. Does no I/O. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** Accounts for each connection and for the request that is being read or handled on it. When the limit is reached,
 * large requests wait, and those of them that make too little progress are evicted; small requests, such as nearly all
 * ordinary ones, are evicted last. A request that is being handled is never evicted, since it may have run. */
class RequestMemory
{
public:
    /** A connection: touched pages of its fiber's stack, input buffer, and bytes that the kernel has received. */
    static constexpr std::size_t ConnectionBytes = 32U << 10U;
    /** Requests that take more are large. Ordinary ones take 2 to 13 KB, and twice their body while they are handled.
     */
    static constexpr std::size_t MinLargeBytes = 160U << 10U;
    /** A large request without progress for so long is evicted if others need its memory. */
    static constexpr Duration MaxStall = std::chrono::milliseconds(250);
    /** Slower large requests are evicted if others need their memory. A body of 4 MB at this rate takes longer than the
     * time-out of bodies. */
    static constexpr std::size_t MinLargeBytesPerSecond = 256U << 10U;
    /** A connection that was opened or received bytes more recently isn't closed to make room for others, unless its
     * request takes more than the one that needs the room, or all connections are as new. */
    static constexpr Duration MinAge = std::chrono::milliseconds(100);
    /** Like MinAge, for connections on which a request was received completely: the next one may be on its way. */
    static constexpr Duration MinIdleTime = std::chrono::milliseconds(500);

    /** @p memoryLimitBytes is the limit of the whole process, @p maxDescriptors that of its open files. */
    RequestMemory(std::size_t memoryLimitBytes, std::size_t maxDescriptors);
    RequestMemory(const RequestMemory &) = delete;
    RequestMemory &operator=(const RequestMemory &) = delete;

    /** Answer to a claim. */
    enum class Room : std::uint8_t {
        Granted, ///< The claim is recorded.
        Wait, ///< Nothing changes. The claim may be repeated later.
        Refused, ///< There is no room, or the request has been evicted.
    };

    /** What one connection takes. */
    class Share
    {
    public:
        /** @p evict must make the connection end soon; it is called from operations on any share of @p memory. Closes
         * another connection if there are too many. If none may be closed, this one is evicted from the start. */
        Share(RequestMemory &memory, Instant now, std::function<void()> evict);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /** The first bytes of a request have arrived. */
        void beginRequest(Instant now);
        /** Bytes of the request have arrived, @p receivedBytes of it altogether. */
        void recordProgress(Instant now, std::uint64_t receivedBytes);
        /** Claims that the request takes @p requestBytes altogether. While the answer is Wait the request can't be
         * evicted for lack of progress, so the claim must be repeated until it is answered otherwise, or withdrawn
         * with `endRequest`. */
        [[nodiscard]] Room claim(Instant now, std::size_t requestBytes);
        /** The request is complete and will be handled. */
        void beginHandling();
        /** The response to a request was sent. */
        void endRequest(Instant now);
        [[nodiscard]] bool isEvicted() const
        {
            return this->evicted;
        }

    private:
        friend class RequestMemory;
        /** Whether an incomplete request uses the memory that it has claimed too slowly. */
        [[nodiscard]] bool isSlow(Instant now) const;
        /** Bytes times the time without progress: the share with the highest value is evicted first. */
        [[nodiscard]] double cost(Instant now) const;

        RequestMemory &memory; ///< Must outlive this object.
        std::function<void()> evict; ///< See the constructor.
        std::size_t bytes = 0; ///< Claimed for the request, without the connection.
        Instant progressAt{0}; ///< When the connection was opened, bytes arrived, or a response was sent.
        Instant largeSince{0}; ///< When the request became a large one.
        std::uint64_t receivedBytes = 0; ///< Of the request.
        std::uint64_t receivedBeforeLarge = 0; ///< Of the request, until `largeSince`.
        bool isWaiting = false; ///< The last claim was answered with Wait.
        bool isHandling = false; ///< The request is being handled.
        bool hasCompleted = false; ///< A request was received completely on this connection.
        bool evicted = false; ///< Its memory is no longer counted.
    };

    [[nodiscard]] std::size_t maxConnectionCount() const
    {
        return this->maxConnections;
    }
    [[nodiscard]] std::size_t connectionCount() const
    {
        return this->shares.size();
    }
    /** Bytes that are claimed now. */
    [[nodiscard]] std::size_t claimedBytes() const
    {
        return this->usedBytes;
    }
    [[nodiscard]] std::size_t maxClaimedBytes() const
    {
        return this->maxBytes;
    }
    /** Number of evictions so far. */
    [[nodiscard]] std::uint64_t evictionCount() const
    {
        return this->evictions;
    }
    /** Closes up to @p count connections, first those on which no complete request has arrived. */
    void closeConnections(Instant now, std::size_t count);

private:
    [[nodiscard]] Room claimLarge(Share &claimant, Instant now, std::size_t requestBytes);
    [[nodiscard]] Room claimSmall(Share &claimant, Instant now, std::size_t requestBytes);
    [[nodiscard]] bool makeRoomForConnection(const Share &newest, Instant now);
    /** Evicts requests until @p moreBytes fit: large ones, then those that make least progress, then larger ones than
     * that of @p claimant. @return whether they fit. */
    [[nodiscard]] bool makeRoom(const Share &claimant, Instant now, std::size_t moreBytes);
    /** Incomplete request that takes the most memory, if that is more than @p minBytes; else null. */
    [[nodiscard]] Share *findLargest(const Share &claimant, std::size_t minBytes) const;
    /** Incomplete large request with the highest cost, of the slow ones only if @p mustBeSlow; null if there is none.
     */
    [[nodiscard]] Share *findLarge(const Share &claimant, Instant now, bool mustBeSlow) const;
    /** Connection other than @p newest that may be closed with the least harm; null if there is none. With @p
     * mustBeOld, none in its MinAge. */
    [[nodiscard]] Share *findWeakest(const Share *newest, Instant now, bool mustBeOld) const;
    void evictShare(Share &share);
    void setBytes(Share &share, std::size_t bytes);

    std::size_t maxBytes; ///< Limit of `usedBytes`.
    std::size_t maxLargeBytes; ///< Limit of `largeBytes`.
    std::size_t maxConnections; ///< Limit of the number of shares.
    std::size_t usedBytes = 0; ///< Sum of all shares, with their connections.
    std::size_t largeBytes = 0; ///< Sum of the claims of large requests.
    std::size_t largeCount = 0; ///< Number of large requests.
    std::uint64_t evictions = 0; ///< See `evictionCount`.
    std::set<Share *> shares; ///< All that aren't evicted.
};

} // namespace Chestnuthook
