/** @file customer_rate_limiter_base.h  The buckets of the customers whose slots this entry owns. Pure: no I/O, no
 * clock. */
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

/** How long a request may be held until it falls due. Past that it is refused at once, with when to come back. */
constexpr Duration MaxAdmissionDelay = std::chrono::milliseconds(2000);

/** How long after an empty start requests may wait for more than MaxAdmissionDelay: those that came while the slot had
 * no owner are inside the rate, but late. */
constexpr Duration RecoveryPeriod = std::chrono::milliseconds(10'000);

enum class AdmissionState : std::uint8_t {
    Decided, ///< Each request was granted or is over the rate.
    NotOwner, ///< Another entry owns the customer's slot.
    NotYet, ///< This entry may not grant for now; ask again.
};

/** The answer to a batch of requests of one customer. */
struct AdmissionDecision
{
    AdmissionState state = AdmissionState::Decided; ///< Whether the rest counts.
    std::vector<Duration> delays; ///< One for each granted request: how long to hold it.
    Duration retryAfter{0}; ///< For those not granted.
    bool recovering = false; ///< Those not granted may be asked for again: the owner changed a short while ago.
};

/** What one bucket held when its owner stopped. */
struct BucketLevel
{
    CustomerId customer; ///< Whose it is.
    double level = 0; ///< Below zero where requests are reserved ahead.
};

class CustomerRateLimiter
{
public:
    /** Finds the declaration of a customer; null where it is not declared. */
    using CustomerLookup = std::function<const CustomerDeclaration *(const CustomerId &)>;

    /** Takes in a newer view. */
    void update(const SlotFacts &facts, Instant now);

    /** Decides on @p count requests of @p customer. @p leaseEnd is until when this entry's view may be relied on:
     * nothing is granted that falls due later. */
    AdmissionDecision admit(const CustomerDeclaration &customer, std::uint32_t count, Instant now, Instant leaseEnd);

    /** Stops for @p slot and tells what the buckets hold. Nothing where the successor has to wait. */
    std::optional<std::vector<BucketLevel>> giveUp(
        SlotId slot, Epoch epoch, const std::vector<CustomerDeclaration> &customersOfSlot, Instant now);

    /** Begins with what the former owner's buckets held. */
    void adopt(const HandoverRequest &handover, const std::vector<BucketLevel> &levels, Instant now);

    SlotOwnershipTable slotOwnerships; ///< Which slots this entry owns, and from when.

private:
    TokenBucket &bucketOf(const CustomerDeclaration &customer, SlotId slot, Instant now);

    /** A bucket and the ownership that it belongs to. */
    struct OwnedBucket
    {
        Epoch epoch; ///< Of the slot when the bucket was made; a bucket is never used under another.
        TokenBucket bucket; ///< Of one customer.
    };
    std::map<CustomerId, OwnedBucket> buckets; ///< Made on first use.
    std::map<CustomerId, std::pair<Epoch, double>> adopted; ///< Levels taken over, until the bucket is made.
};

} // namespace Chestnuthook
