/** @file lease_keeper_test.cpp  When the leader may end an entry's lease. */
#define BOOST_TEST_MODULE lease_keeper
#include <boost/test/unit_test.hpp>

#include <capnp/message.h>

#include "control/lease_keeper_base.h"
#include "rpc/message_func.h"

using namespace Chestnuthook;

namespace
{

constexpr Duration Short = std::chrono::milliseconds(1);

EntryContact heardAt(Instant instant)
{
    EntryContact said{};
    said.heard = instant;
    return said;
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

BOOST_AUTO_TEST_CASE(a_lease_ends_a_period_and_a_margin_after_its_holder_was_heard)
{
    const FleetState state = stateWithLease("a");
    LeaseKeeper keeper;
    keeper.recordContact(EntryId{"a"}, heardAt(Instant(0)));
    BOOST_TEST(keeper.markExpired(state, Instant(0) + LeasePeriod + LeaseMargin).empty());
    BOOST_TEST(keeper.markExpired(state, Instant(0) + LeasePeriod + LeaseMargin + Short).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_leader_gives_each_lease_a_whole_period_also_where_it_led_before)
{
    const FleetState state = stateWithLease("a");
    LeaseKeeper keeper;
    keeper.recordContact(EntryId{"a"}, heardAt(Instant(0))); // In an earlier term.
    const Instant elected = Instant(0) + 10 * LeasePeriod;
    keeper.beginTerm(state, elected);
    BOOST_TEST(keeper.markExpired(state, elected + LeasePeriod + LeaseMargin).empty());
    BOOST_TEST(keeper.markExpired(state, elected + LeasePeriod + LeaseMargin + Short).size() == 1U);
}
