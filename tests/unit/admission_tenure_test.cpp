/** @file admission_tenure_test.cpp  Buckets, and from when a new owner of a slot may grant. */
#define BOOST_TEST_MODULE admission_tenure
#include <boost/test/unit_test.hpp>

#include <capnp/message.h>

#include "admission/bucket_owner_base.h"
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
        this->facts = SlotFacts{Self, &this->slots, std::move(leased)};
        this->tenures.update(this->facts, Instant(ms * 1000));
    }
    std::int64_t startsInMs(std::int64_t ms)
    {
        const auto starts = this->tenures.startsIn(Slot, Instant(ms * 1000));
        return starts ? starts->count() / 1000 : -1;
    }

    std::vector<SlotRecord> slots = std::vector<SlotRecord>(SlotCount);
    SlotFacts facts;
    SlotTenures tenures;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(the_first_owner_ever_begins_full_and_at_once, Fixture)
{
    this->see(Self, 5, {}, 0, {Self}, 0);
    BOOST_TEST(this->startsInMs(0) == 0);
    BOOST_TEST((this->tenures.at(Slot).start == TenureStart::Full));
}

BOOST_FIXTURE_TEST_CASE(a_successor_waits_for_a_former_owner_that_still_has_its_lease, Fixture)
{
    this->see(Other, 5, {}, 0, {Self, Other}, 0);
    this->see(Self, 9, Other, 5, {Self, Other}, 10'000);
    BOOST_TEST(this->startsInMs(10'000) == 3300);
    BOOST_TEST(this->tenures.wanted(this->facts, Instant(10'000'000)).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    a_successor_begins_at_once_where_the_lease_has_ended_and_the_former_epoch_was_long_seen, Fixture)
{
    this->see(Other, 5, {}, 0, {Self, Other}, 0);
    this->see(Self, 9, Other, 5, {Self}, 10'000);
    BOOST_TEST(this->startsInMs(10'000) == 0);
}

BOOST_FIXTURE_TEST_CASE(an_owner_in_between_that_was_never_seen_makes_the_successor_wait, Fixture)
{
    this->see(Other, 5, {}, 0, {Self, Other}, 0);
    this->see(Self, 9, EntryId{"unseen"}, 7, {Self}, 10'000);
    BOOST_TEST(this->startsInMs(10'000) == 3300);
}

BOOST_FIXTURE_TEST_CASE(
    a_lease_that_ended_shortly_after_the_move_to_it_shortens_the_wait_only_by_what_has_passed, Fixture)
{
    this->see(Other, 5, {}, 0, {Self, Other}, 0);
    this->see(Self, 9, Other, 5, {Self}, 1'000);
    BOOST_TEST(this->startsInMs(1'000) == 2300);
}

BOOST_FIXTURE_TEST_CASE(a_slot_that_was_given_up_is_not_granted_for_again, Fixture)
{
    this->see(Self, 5, {}, 0, {Self, Other}, 0);
    BOOST_TEST(this->tenures.giveUp(Slot, Epoch{5}, Instant(1000)));
    BOOST_TEST(this->startsInMs(1) == -1);
    BOOST_TEST(!this->tenures.giveUp(Slot, Epoch{4}, Instant(1000)));
}

BOOST_AUTO_TEST_CASE(a_planned_move_hands_the_level_over)
{
    const TenantDeclaration tenant{TenantId{"t"}, 10, 20, 1};
    const SlotId slot = slotOf(tenant.id.text);
    std::vector<SlotRecord> slots(SlotCount);
    BucketOwner before;
    BucketOwner after;
    slots[slot.value] = SlotRecord{Other, Epoch{5}, {}, Epoch{}};
    before.update(SlotFacts{Other, &slots, {Self, Other}}, Instant(0));
    after.update(SlotFacts{Self, &slots, {Self, Other}}, Instant(0));
    const Instant lease(60'000'000);
    const std::size_t granted = before.admit(tenant, 1000, Instant(0), lease).delays.size();
    BOOST_TEST(granted == 17U + 20U); // 20 less what is earned in GrantLife, and two seconds ahead.
    slots[slot.value] = SlotRecord{Self, Epoch{9}, Other, Epoch{5}};
    const SlotFacts facts{Self, &slots, {Self, Other}};
    after.update(facts, Instant(1'000'000));
    BOOST_TEST((after.admit(tenant, 1, Instant(1'000'000), lease).state == AdmitState::NotYet));
    const auto wanted = after.tenures.wanted(facts, Instant(1'000'000));
    BOOST_REQUIRE(wanted.size() == 1U);
    const auto levels = before.giveUp(slot, Epoch{5}, {tenant}, Instant(1'000'000));
    BOOST_REQUIRE(levels.has_value());
    after.adopt(wanted[0], *levels, Instant(1'000'000));
    BOOST_TEST((before.admit(tenant, 1, Instant(1'000'000), lease).state == AdmitState::NotOwner));
    // Two seconds were reserved ahead, one has passed: one more second may be reserved.
    BOOST_TEST(after.admit(tenant, 1000, Instant(1'000'000), lease).delays.size() == 10U);
}

BOOST_AUTO_TEST_CASE(nothing_is_granted_that_falls_due_after_the_lease)
{
    const TenantDeclaration tenant{TenantId{"t"}, 10, 20, 1};
    std::vector<SlotRecord> slots(SlotCount);
    slots[slotOf("t").value] = SlotRecord{Self, Epoch{5}, {}, Epoch{}};
    BucketOwner owner;
    owner.update(SlotFacts{Self, &slots, {Self}}, Instant(0));
    const AdmitVerdict verdict = owner.admit(tenant, 1000, Instant(0), Instant(500'000));
    BOOST_TEST(verdict.delays.size() == 17U + 5U);
    BOOST_TEST((verdict.delays.back() <= Duration(500'000)));
    BOOST_TEST((owner.admit(tenant, 1, Instant(600'000), Instant(500'000)).state == AdmitState::NotYet));
}

BOOST_AUTO_TEST_CASE(a_lease_whose_end_was_proposed_is_not_renewed_but_a_later_one_is)
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
