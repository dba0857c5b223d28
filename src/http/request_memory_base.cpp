/** @file request_memory_base.cpp  Accounting of connections and requests, and the choice of those that are evicted. */
#include "http/request_memory_base.h"

#include <algorithm>
#include <utility>

namespace Chestnuthook
{

namespace
{

/** The connections and requests may take this part of the memory of the process. Responses may take a quarter, and a
 * gateway of a small deployment takes 20 MB without any. */
constexpr std::size_t MemoryDivisor = 3;
/** Large requests may take this part of the memory of all connections and requests, in percent. */
constexpr std::size_t LargePercent = 60;
/** Connections alone may take this part of that memory, in percent. */
constexpr std::size_t ConnectionPercent = 50;
/** One in this many descriptors is left for files and for connections to endpoints and other daemons. */
constexpr std::size_t ReservedDescriptorShare = 3;
constexpr std::size_t MinConnections = 16;
/** Added to the time without progress, so that of requests with equally recent progress the largest has the highest
 * cost. */
constexpr Duration CostOffset = std::chrono::milliseconds(100);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

RequestMemory::Share::Share(RequestMemory &memory, Instant now, std::function<void()> evict)
    : memory(memory)
    , evict(std::move(evict))
    , progressAt(now)
{
    if (!this->memory.makeRoomForConnection(*this, now)) {
        this->evicted = true;
        ++this->memory.evictions;
        return;
    }
    this->memory.shares.insert(this);
    this->memory.usedBytes += ConnectionBytes;
}

RequestMemory::Share::~Share()
{
    if (!this->evicted) {
        this->memory.setBytes(*this, 0);
        this->memory.usedBytes -= ConnectionBytes;
        this->memory.shares.erase(this);
    }
}

void RequestMemory::Share::beginRequest(Instant now)
{
    this->progressAt = now;
    this->receivedBytes = 0;
}

void RequestMemory::Share::recordProgress(Instant now, std::uint64_t receivedBytes)
{
    this->progressAt = now;
    this->receivedBytes = receivedBytes;
}

RequestMemory::Room RequestMemory::Share::claim(Instant now, std::size_t requestBytes)
{
    if (this->evicted) {
        return Room::Refused;
    }
    requestBytes = std::min(requestBytes, this->memory.maxLargeBytes); // So that small ones have room beside it.
    if (requestBytes <= this->bytes) {
        this->memory.setBytes(*this, requestBytes);
        return Room::Granted;
    }
    const bool isLarge = requestBytes > MinLargeBytes;
    const bool wasLarge = this->bytes > MinLargeBytes;
    const bool wasWaiting = this->isWaiting;
    const Room room =
        isLarge ? this->memory.claimLarge(*this, now, requestBytes) : this->memory.claimSmall(*this, now, requestBytes);
    this->isWaiting = room == Room::Wait;
    if (room == Room::Granted && (wasWaiting || (isLarge && !wasLarge))) {
        this->progressAt = now;
        this->largeSince = now;
        this->receivedBeforeLarge = this->receivedBytes;
    }
    return room;
}

void RequestMemory::Share::beginHandling()
{
    this->isHandling = true;
    this->hasCompleted = true;
}

void RequestMemory::Share::endRequest(Instant now)
{
    this->isHandling = false;
    this->isWaiting = false;
    this->progressAt = now;
    if (!this->evicted) {
        this->memory.setBytes(*this, 0);
    }
}

bool RequestMemory::Share::isSlow(Instant now) const
{
    if (this->isWaiting) {
        return false;
    }
    if (now - this->progressAt >= MaxStall) {
        return true;
    }
    const Duration elapsed = now - this->largeSince;
    const auto received = static_cast<double>(this->receivedBytes - this->receivedBeforeLarge);
    return elapsed >= MaxStall && received < seconds(elapsed) * static_cast<double>(MinLargeBytesPerSecond);
}

double RequestMemory::Share::cost(Instant now) const
{
    return static_cast<double>(this->bytes + ConnectionBytes) * seconds(now - this->progressAt + CostOffset);
}

RequestMemory::RequestMemory(std::size_t memoryLimitBytes, std::size_t maxDescriptors)
    : maxBytes(memoryLimitBytes / MemoryDivisor)
    , maxLargeBytes(this->maxBytes / 100 * LargePercent)
    , maxConnections(std::max(MinConnections,
          std::min(this->maxBytes / 100 * ConnectionPercent / ConnectionBytes,
              maxDescriptors - maxDescriptors / ReservedDescriptorShare)))
{
}

bool RequestMemory::makeRoomForConnection(const Share &newest, Instant now)
{
    while (this->shares.size() >= this->maxConnections) {
        Share *weakest = this->findWeakest(&newest, now, false);
        if (weakest == nullptr) {
            return false;
        }
        this->evictShare(*weakest);
    }
    return this->makeRoom(newest, now, ConnectionBytes);
}

bool RequestMemory::makeRoom(const Share &claimant, Instant now, std::size_t moreBytes)
{
    while (this->usedBytes + moreBytes > this->maxBytes) {
        Share *victim = this->findLarge(claimant, now, false);
        if (victim == nullptr) {
            victim = this->findWeakest(&claimant, now, true);
        }
        if (victim == nullptr) {
            victim = this->findLargest(claimant, claimant.bytes + moreBytes);
        }
        if (victim == nullptr) {
            return false;
        }
        this->evictShare(*victim);
    }
    return true;
}

void RequestMemory::closeConnections(Instant now, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        Share *weakest = this->findWeakest(nullptr, now, true);
        if (weakest == nullptr) {
            return;
        }
        this->evictShare(*weakest);
    }
}

RequestMemory::Room RequestMemory::claimLarge(Share &claimant, Instant now, std::size_t requestBytes)
{
    const bool isLarge = claimant.bytes > MinLargeBytes;
    const std::size_t ownLargeBytes = isLarge ? claimant.bytes : 0;
    const auto fits = [&]() {
        // A single large request is served whatever its size.
        return this->largeCount == (isLarge ? 1U : 0U)
            || (this->largeBytes - ownLargeBytes + requestBytes <= this->maxLargeBytes
                && this->usedBytes - claimant.bytes + requestBytes <= this->maxBytes);
    };
    while (!fits()) {
        Share *slow = this->findLarge(claimant, now, true);
        if (slow == nullptr) {
            return Room::Wait;
        }
        this->evictShare(*slow);
    }
    this->setBytes(claimant, requestBytes);
    return Room::Granted;
}

RequestMemory::Room RequestMemory::claimSmall(Share &claimant, Instant now, std::size_t requestBytes)
{
    if (!this->makeRoom(claimant, now, requestBytes - claimant.bytes)) {
        return Room::Refused;
    }
    this->setBytes(claimant, requestBytes);
    return Room::Granted;
}

RequestMemory::Share *RequestMemory::findLargest(const Share &claimant, std::size_t minBytes) const
{
    Share *found = nullptr;
    for (Share *share : this->shares) {
        const std::size_t bytes = found == nullptr ? minBytes : found->bytes;
        if (share != &claimant && !share->isHandling && share->bytes > bytes) {
            found = share;
        }
    }
    return found;
}

RequestMemory::Share *RequestMemory::findLarge(const Share &claimant, Instant now, bool mustBeSlow) const
{
    Share *found = nullptr;
    for (Share *share : this->shares) {
        const bool isCandidate = share != &claimant && !share->isHandling && share->bytes > MinLargeBytes
            && (!mustBeSlow || share->isSlow(now));
        if (isCandidate && (found == nullptr || share->cost(now) > found->cost(now))) {
            found = share;
        }
    }
    return found;
}

RequestMemory::Share *RequestMemory::findWeakest(const Share *newest, Instant now, bool mustBeOld) const
{
    Share *found = nullptr;
    for (Share *share : this->shares) {
        const Duration minAge = share->hasCompleted ? MinIdleTime : (mustBeOld ? MinAge : Duration(0));
        if (share == newest || share->isHandling || share->isWaiting || now - share->progressAt < minAge) {
            continue;
        }
        if (found == nullptr || (found->hasCompleted && !share->hasCompleted)
            || (found->hasCompleted == share->hasCompleted && share->cost(now) > found->cost(now))) {
            found = share;
        }
    }
    return found;
}

void RequestMemory::evictShare(Share &share)
{
    this->setBytes(share, 0);
    this->usedBytes -= ConnectionBytes;
    this->shares.erase(&share);
    share.evicted = true;
    ++this->evictions;
    share.evict();
}

void RequestMemory::setBytes(Share &share, std::size_t bytes)
{
    if (share.bytes > MinLargeBytes) {
        this->largeBytes -= share.bytes;
        --this->largeCount;
    }
    if (bytes > MinLargeBytes) {
        this->largeBytes += bytes;
        ++this->largeCount;
    }
    this->usedBytes = this->usedBytes - share.bytes + bytes;
    share.bytes = bytes;
}

} // namespace Chestnuthook
