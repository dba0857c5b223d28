/** @file entry_lease_tracker_test.cpp  Tests when the leader may end the lease of an entry. */
#define BOOST_TEST_MODULE entry_lease_tracker
#include <boost/test/unit_test.hpp>

#include <capnp/message.h>

#include "control/entry_lease_tracker_base.h"
#include "rpc/message_func.h"

using namespace Chestnuthook;

namespace
{

constexpr Duration OneMillisecond = std::chrono::milliseconds(1);

EntryContact contactAt(Instant instant)
{
    EntryContact contact{};
    contact.lastHeard = instant;
    return contact;
}

FleetState stateWithLease(const std::string &id)
{
    capnp::MallocMessageBuilder message;
    auto entry = message.initRoot<Wire::FleetCommand>().initGrantLease();
    entry.setId(id);
    entry.setAddress("127.0.0.1:1");
    FleetState state;
    state.apply(1, flatBytes(message));
    return state;
}

} // namespace

BOOST_AUTO_TEST_CASE(lease_expires_after_its_duration_and_margin)
{
    const FleetState state = stateWithLease("a");
    EntryLeaseTracker leases;
    leases.recordContact(EntryId{"a"}, contactAt(Instant(0)));
    BOOST_TEST(leases.markExpired(state, Instant(0) + LeaseDuration + LeaseExpiryMargin).empty());
    BOOST_TEST(leases.markExpired(state, Instant(0) + LeaseDuration + LeaseExpiryMargin + OneMillisecond).size() == 1U);
}

BOOST_AUTO_TEST_CASE(new_leader_extends_leases_also_if_it_led_before)
{
    const FleetState state = stateWithLease("a");
    EntryLeaseTracker leases;
    leases.recordContact(EntryId{"a"}, contactAt(Instant(0))); // In an earlier term.
    const Instant elected = Instant(0) + 10 * LeaseDuration;
    leases.beginTerm(state, elected);
    BOOST_TEST(leases.markExpired(state, elected + LeaseDuration + LeaseExpiryMargin).empty());
    BOOST_TEST(leases.markExpired(state, elected + LeaseDuration + LeaseExpiryMargin + OneMillisecond).size() == 1U);
}
