/** @file customer_rate_limiter_base.h  Rate limiting of the customers whose slots this entry owns. Does no I/O and
 * reads no clock. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "admission/slot_ownership_base.h"
#include "admission/token_bucket_type.h"
#include "fleet/declaration_type.h"

namespace Chestnuthook
{

/** Longest time for which a request is delayed to stay within the rate. A request that would have to wait longer is
 * refused at once, with a time after which to retry. */
constexpr Duration MaxAdmissionDelay = std::chrono::milliseconds(2000);

/** Time after a start with empty buckets during which a refused request may be retried by its entry. Requests that
 * arrived while the slot had no owner are within the rate, but their grants fall due later than MaxAdmissionDelay. */
constexpr Duration RecoveryPeriod = std::chrono::milliseconds(10'000);

/** Outcome of a request for admission. */
enum class AdmissionState : std::uint8_t {
    Decided, ///< Each request is either granted or over the rate.
    NotOwner, ///< Another entry owns the customer's slot.
    NotYet, ///< This entry may not grant yet; retry later.
};

/** Decision on a batch of requests of one customer. */
struct AdmissionDecision
{
    AdmissionState state = AdmissionState::Decided; ///< Delays are set for Decided only.
    std::vector<Duration> delays; ///< Delay of each granted request before it may proceed.
    Duration retryAfter{0}; ///< When to retry requests that are not granted.
    bool recovering = false; ///< Requests that are not granted may be retried, because the slot changed owner recently.
};

/** Level of one bucket at the time when its owner stopped granting. */
struct BucketLevel
{
    CustomerId customer; ///< Customer of the bucket.
    double level = 0; ///< In requests; below zero if requests are reserved ahead of time.
};

/** Holds one token bucket for each customer whose slot this entry owns. */
class CustomerRateLimiter
{
public:
    /** Finds the declaration of a customer; null if the customer is not declared. */
    using CustomerLookup = std::function<const CustomerDeclaration *(const CustomerId &)>;

    /** Updates the ownership of slots from a newer view of the fleet. */
    void update(const SlotSnapshot &snapshot, Instant now);

    /** Decides on @p count requests of @p customer. This entry's view is valid until @p leaseEnd, so no request is
     * granted that falls due later. */
    AdmissionDecision admit(const CustomerDeclaration &customer, std::uint32_t count, Instant now, Instant leaseEnd);

    /** Stops granting for @p slot under @p epoch. @return the levels of its buckets; nothing if the successor has to
     * wait for FormerOwnerTimeout. */
    std::optional<std::vector<BucketLevel>> releaseSlot(
        SlotId slot, Epoch epoch, const std::vector<CustomerDeclaration> &customersOfSlot, Instant now);

    /** Starts granting with the bucket levels of the former owner. */
    void adopt(const HandoverRequest &handover, const std::vector<BucketLevel> &levels, Instant now);

    SlotOwnershipTable slotOwnerships; ///< Slots that this entry owns, and when it may start granting for them.

private:
    /** Bucket of @p customer under the current epoch of @p slot; created on first use. */
    TokenBucket &bucketOf(const CustomerDeclaration &customer, SlotId slot, Instant now);

    /** A bucket and the epoch of the slot in which it is valid. */
    struct OwnedBucket
    {
        Epoch epoch; ///< Epoch of the slot at creation; the bucket is never used under another epoch.
        TokenBucket bucket; ///< Bucket of one customer.
    };
    std::map<CustomerId, OwnedBucket> buckets; ///< Created on first use.
    std::map<CustomerId, std::pair<Epoch, double>> transferredLevels; ///< Epoch and level from the former owner.
};

} // namespace Chestnuthook
