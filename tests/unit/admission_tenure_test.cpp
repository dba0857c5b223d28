/** @file admission_tenure_test.cpp  Token buckets, and when a new owner of a slot may start granting. */
#define BOOST_TEST_MODULE admission_tenure
#include <boost/test/unit_test.hpp>

#include <capnp/message.h>

#include "admission/customer_rate_limiter_base.h"
#include "control/entry_lease_tracker_base.h"
#include "fleet/fleet_base.h"
#include "rpc/message_func.h"

using namespace Chestnuthook;

namespace
{

constexpr std::uint16_t Number = 7;
const SlotId Slot{Number};
const EntryId Self{"self"};
const EntryId Other{"other"};

struct Fixture
{
    void see(EntryId owner, std::uint64_t epoch, EntryId former, std::uint64_t formerEpoch, std::set<EntryId> leased,
        std::int64_t ms)
    {
        this->slots[Number] = SlotRecord{std::move(owner), Epoch{epoch}, std::move(former), Epoch{formerEpoch}};
        this->snapshot = SlotSnapshot{Self, &this->slots, std::move(leased)};
        this->slotOwnerships.update(this->snapshot, Instant(ms * 1000));
    }
    std::int64_t startsInMs(std::int64_t ms)
    {
        const auto starts = this->slotOwnerships.timeUntilGrants(Slot, Instant(ms * 1000));
        return starts ? starts->count() / 1000 : -1;
    }

    std::vector<SlotRecord> slots = std::vector<SlotRecord>(SlotCount);
    SlotSnapshot snapshot;
    SlotOwnershipTable slotOwnerships;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(first_owner_starts_at_once_with_full_buckets, Fixture)
{
    this->see(Self, 5, {}, 0, {Self}, 0);
    BOOST_TEST(this->startsInMs(0) == 0);
    BOOST_TEST((this->slotOwnerships.at(Slot).initialLevel == InitialBucketLevel::Full));
}

BOOST_FIXTURE_TEST_CASE(successor_waits_while_former_owner_holds_its_lease, Fixture)
{
    this->see(Other, 5, {}, 0, {Self, Other}, 0);
    this->see(Self, 9, Other, 5, {Self, Other}, 10'000);
    BOOST_TEST(this->startsInMs(10'000) == 3300);
    BOOST_TEST(this->slotOwnerships.pendingHandovers(this->snapshot, Instant(10'000'000)).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(successor_starts_at_once_after_expired_lease_of_long_known_owner, Fixture)
{
    this->see(Other, 5, {}, 0, {Self, Other}, 0);
    this->see(Self, 9, Other, 5, {Self}, 10'000);
    BOOST_TEST(this->startsInMs(10'000) == 0);
}

BOOST_FIXTURE_TEST_CASE(successor_waits_after_an_owner_that_it_never_saw, Fixture)
{
    this->see(Other, 5, {}, 0, {Self, Other}, 0);
    this->see(Self, 9, EntryId{"unseen"}, 7, {Self}, 10'000);
    BOOST_TEST(this->startsInMs(10'000) == 3300);
}

BOOST_FIXTURE_TEST_CASE(successor_waits_for_the_rest_after_expired_lease_of_recent_owner, Fixture)
{
    this->see(Other, 5, {}, 0, {Self, Other}, 0);
    this->see(Self, 9, Other, 5, {Self}, 1'000);
    BOOST_TEST(this->startsInMs(1'000) == 2300);
}

BOOST_FIXTURE_TEST_CASE(no_grants_for_a_released_slot, Fixture)
{
    this->see(Self, 5, {}, 0, {Self, Other}, 0);
    BOOST_TEST(this->slotOwnerships.releaseSlot(Slot, Epoch{5}, Instant(1000)));
    BOOST_TEST(this->startsInMs(1) == -1);
    BOOST_TEST(!this->slotOwnerships.releaseSlot(Slot, Epoch{4}, Instant(1000)));
}

BOOST_AUTO_TEST_CASE(handover_transfers_bucket_levels)
{
    const CustomerDeclaration customer{CustomerId{"t"}, 10, 20, 1};
    const SlotId slot = slotOf(customer.id.text);
    std::vector<SlotRecord> slots(SlotCount);
    CustomerRateLimiter before;
    CustomerRateLimiter after;
    slots[slot.value] = SlotRecord{Other, Epoch{5}, {}, Epoch{}};
    before.update(SlotSnapshot{Other, &slots, {Self, Other}}, Instant(0));
    after.update(SlotSnapshot{Self, &slots, {Self, Other}}, Instant(0));
    const Instant lease(60'000'000);
    const std::size_t granted = before.admit(customer, 1000, Instant(0), lease).delays.size();
    BOOST_TEST(
        granted == 17U + 20U); // Capacity is the burst of 20 less the refill during GrantTtl; 2 s are reserved ahead.
    slots[slot.value] = SlotRecord{Self, Epoch{9}, Other, Epoch{5}};
    const SlotSnapshot snapshot{Self, &slots, {Self, Other}};
    after.update(snapshot, Instant(1'000'000));
    BOOST_TEST((after.admit(customer, 1, Instant(1'000'000), lease).state == AdmissionState::NotYet));
    const auto pending = after.slotOwnerships.pendingHandovers(snapshot, Instant(1'000'000));
    BOOST_REQUIRE(pending.size() == 1U);
    const auto levels = before.releaseSlot(slot, Epoch{5}, {customer}, Instant(1'000'000));
    BOOST_REQUIRE(levels.has_value());
    after.adopt(pending[0], *levels, Instant(1'000'000));
    BOOST_TEST((before.admit(customer, 1, Instant(1'000'000), lease).state == AdmissionState::NotOwner));
    // 2 s were reserved ahead and 1 s has passed, so 1 s more may be reserved.
    BOOST_TEST(after.admit(customer, 1000, Instant(1'000'000), lease).delays.size() == 10U);
}

BOOST_AUTO_TEST_CASE(no_grant_falls_due_after_the_lease)
{
    const CustomerDeclaration customer{CustomerId{"t"}, 10, 20, 1};
    std::vector<SlotRecord> slots(SlotCount);
    slots[slotOf("t").value] = SlotRecord{Self, Epoch{5}, {}, Epoch{}};
    CustomerRateLimiter owner;
    owner.update(SlotSnapshot{Self, &slots, {Self}}, Instant(0));
    const AdmissionDecision decision = owner.admit(customer, 1000, Instant(0), Instant(500'000));
    BOOST_TEST(decision.delays.size() == 17U + 5U);
    BOOST_TEST((decision.delays.back() <= Duration(500'000)));
    BOOST_TEST((owner.admit(customer, 1, Instant(600'000), Instant(500'000)).state == AdmissionState::NotYet));
}

BOOST_AUTO_TEST_CASE(lease_with_proposed_end_is_not_renewed)
{
    FleetState fleet;
    const auto grant = [&](std::uint64_t index) {
        capnp::MallocMessageBuilder message;
        auto command = message.initRoot<Wire::FleetCommand>().initGrantLease();
        command.setId("other");
        command.setAddress("a");
        fleet.apply(index, flatBytes(message));
    };
    EntryLeaseTracker leases;
    grant(1);
    leases.recordContact(Other, EntryContact{Instant(0), 0, 0, Epoch{}});
    BOOST_TEST(leases.markExpired(fleet, Instant(3'300'000)).empty());
    BOOST_TEST(leases.markExpired(fleet, Instant(3'300'001)).size() == 1U);
    BOOST_TEST(leases.isEnding(Other, Epoch{1}));
    grant(2);
    BOOST_TEST(!leases.isEnding(Other, Epoch{2}));
    BOOST_TEST(leases.markExpired(fleet, Instant(3'400'000)).empty());
}
