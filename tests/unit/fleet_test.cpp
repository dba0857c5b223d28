/** @file fleet_test.cpp  Commands on the fleet state, and copies of it that follow by deltas. */
#define BOOST_TEST_MODULE fleet
#include <boost/test/unit_test.hpp>

#include <functional>
#include <random>

#include <capnp/message.h>

#include "fleet/fleet_base.h"
#include "rpc/message_func.h"

using namespace Chestnuthook;

namespace
{

using Fill = std::function<void(Wire::FleetCommand::Builder)>;

constexpr std::size_t HashBytes = 32;

std::string commandOf(const Fill &fill, const std::string &requestId = "", std::int64_t nowMs = 0)
{
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::FleetCommand>();
    command.setRequestId(requestId);
    command.setNowMs(nowMs);
    fill(command);
    return flatBytes(message);
}

std::string codeOf(const std::string &reply)
{
    FlatMessage message(reply);
    const auto read = message.root<Wire::FleetReply>();
    return read.isFailure() ? textOf(read.getFailure().getCode()) : "";
}

Fill applyOf(std::uint64_t expected, const std::string &section, const std::string &name, const std::string &json)
{
    return [=](Wire::FleetCommand::Builder command) {
        auto apply = command.initApply();
        apply.setExpectedRevision(expected);
        auto changes = apply.initChanges(1);
        changes[0].setSection(section);
        changes[0].setName(name);
        changes[0].setJson(json);
    };
}

Fill issueOf(const std::string &id, const std::string &customer)
{
    return [=](Wire::FleetCommand::Builder command) {
        auto key = command.initIssueKey();
        key.setId(id);
        key.setTenant(customer);
        key.setHash(dataOf(std::string(HashBytes, id[0])));
    };
}

Fill withdrawOf(const std::string &id)
{
    return [=](Wire::FleetCommand::Builder command) {
        command.setWithdrawKey(id);
    };
}

Fill leaseOf(const std::string &id)
{
    return [=](Wire::FleetCommand::Builder command) {
        auto entry = command.initGrantLease();
        entry.setId(id);
        entry.setAddress("127.0.0.1:1");
    };
}

Fill strikeOf(const std::string &fingerprint, const std::string &endpoint, std::int64_t expiresAtMs)
{
    return [=](Wire::FleetCommand::Builder command) {
        auto strike = command.initStrike();
        strike.setFingerprint(fingerprint);
        strike.setExpiresAtMs(expiresAtMs);
        strike.initEndpoints(1).set(0, endpoint);
    };
}

/** A state with the customer `one` at revision 1, after index 1. */
FleetState stateWithCustomer()
{
    FleetState state;
    const std::string reply = state.apply(1, commandOf(applyOf(0, "tenants", "one", R"({"rate":5,"burst":5})")));
    BOOST_REQUIRE_MESSAGE(codeOf(reply).empty(), codeOf(reply));
    return state;
}

void follow(FleetState &copy, const FleetState &state)
{
    capnp::MallocMessageBuilder message;
    auto delta = message.initRoot<Wire::FleetDelta>();
    state.writeDelta(copy.index(), delta);
    BOOST_REQUIRE(copy.applyDelta(delta.asReader()));
}

/** Both as whole states; tombstones that only one holds don't count. */
bool equal(const FleetState &left, const FleetState &right)
{
    const auto live = [](const FleetState &state) {
        std::string text = std::to_string(state.revision().value) + "@" + std::to_string(state.index());
        for (const auto &[name, row] : state.declarations.all()) {
            text += row.removed ? "" : name.section + "." + name.name + row.record.json;
        }
        for (const auto &[id, row] : state.keys.all()) {
            text += id.text + (row.record.withdrawn ? "-" : "+");
        }
        for (const auto &[id, row] : state.entries.all()) {
            text += row.removed ? "" : id.text + std::to_string(row.record.epoch.value);
        }
        for (const auto &[fingerprint, row] : state.strikes.all()) {
            text += row.removed ? "" : fingerprint + std::to_string(row.record.strikes);
        }
        for (const auto &[slot, row] : state.slots.all()) {
            text += row.record.owner.text;
        }
        return text;
    };
    return live(left) == live(right);
}

} // namespace

BOOST_AUTO_TEST_CASE(of_equal_expected_revisions_one_wins_and_the_loser_learns_the_current_one)
{
    FleetState state = stateWithCustomer();
    BOOST_TEST(codeOf(state.apply(2, commandOf(applyOf(1, "services", "a", "{}")))).empty());
    const std::string lost = state.apply(3, commandOf(applyOf(1, "services", "b", "{}")));
    BOOST_TEST(codeOf(lost) == "stale_revision");
    FlatMessage message(lost);
    BOOST_TEST(message.root<Wire::FleetReply>().getRevision() == 2U);
    BOOST_TEST(state.revision().value == 2U);
    BOOST_TEST((state.declarations.find(DeclarationName{"services", "b"}) == nullptr));
}

BOOST_AUTO_TEST_CASE(a_resend_gets_the_first_answer_also_after_a_snapshot_and_changes_nothing)
{
    FleetState state = stateWithCustomer();
    const std::string command = commandOf(applyOf(1, "services", "a", "{}"), "request-1");
    const std::string first = state.apply(2, command);
    BOOST_TEST(state.apply(3, command) == first);
    FleetState restored;
    restored.restore(state.snapshot());
    BOOST_TEST(restored.apply(4, command) == first);
    BOOST_TEST(restored.revision().value == 2U);
}

BOOST_AUTO_TEST_CASE(a_withdrawal_is_final)
{
    FleetState state = stateWithCustomer();
    BOOST_TEST(codeOf(state.apply(2, commandOf(issueOf("k", "one")))).empty());
    BOOST_TEST(codeOf(state.apply(3, commandOf(withdrawOf("k")))).empty());
    BOOST_TEST(codeOf(state.apply(4, commandOf(issueOf("k", "one")))) == "conflict"); // Not by issuing it again,
    state.apply(5, commandOf(applyOf(1, "tenants", "one", ""))); // nor by removing its customer
    state.apply(6, commandOf(applyOf(2, "tenants", "one", R"({"rate":5,"burst":5})"))); // and bringing it back.
    BOOST_TEST(state.keys.find(KeyId{"k"})->withdrawn);
    FleetState restored;
    restored.restore(state.snapshot());
    BOOST_TEST(restored.keys.find(KeyId{"k"})->withdrawn);
}

BOOST_AUTO_TEST_CASE(two_strikes_count_and_expire_by_command)
{
    FleetState state;
    state.apply(1, commandOf(strikeOf("f", "e1", 100), "", 10));
    state.apply(2, commandOf(strikeOf("f", "e1", 100), "", 20)); // The same death, reported by another entry.
    BOOST_TEST(state.strikes.find("f")->strikes == 1U);
    state.apply(3, commandOf(strikeOf("f", "e2", 150), "", 30));
    BOOST_TEST(state.strikes.find("f")->strikes == 2U);
    BOOST_TEST(!state.hasExpiredStrikes(149));
    BOOST_TEST(state.hasExpiredStrikes(150));
    FleetState restored; // A new leader that came by a snapshot prunes too.
    restored.restore(state.snapshot());
    BOOST_TEST(!restored.hasExpiredStrikes(149));
    BOOST_TEST(restored.hasExpiredStrikes(150));
    const auto prune = [](Wire::FleetCommand::Builder command) {
        command.setPrune();
    };
    state.apply(4, commandOf(prune, "", 149));
    BOOST_TEST((state.strikes.find("f") != nullptr));
    state.apply(5, commandOf(prune, "", 150));
    BOOST_TEST((state.strikes.find("f") == nullptr));
}

BOOST_AUTO_TEST_CASE(a_later_order_is_never_replaced_by_an_earlier_leaders)
{
    FleetState state;
    const auto order = [](std::uint64_t fence) {
        return commandOf([=](Wire::FleetCommand::Builder command) {
            auto given = command.initOrder();
            given.setEndpoint("e");
            given.setFence(fence);
        });
    };
    BOOST_TEST(codeOf(state.apply(1, order(3))).empty());
    BOOST_TEST(codeOf(state.apply(2, order(2))) == "stale_epoch");
    BOOST_TEST(codeOf(state.apply(3, order(3))).empty());
}

BOOST_AUTO_TEST_CASE(copies_that_look_in_at_any_time_equal_the_state_also_across_pruned_gaps)
{
    std::mt19937_64 random(4);
    FleetState state = stateWithCustomer();
    FleetState near;
    FleetState far;
    std::uint64_t index = 1;
    const auto next = [&](const Fill &fill) {
        ++index;
        state.apply(index, commandOf(fill, "", static_cast<std::int64_t>(index)));
    };
    for (int i = 0; i < 14000; ++i) {
        const std::string name = std::to_string(random() % 20);
        switch (random() % 5) {
        case 0:
            next(leaseOf("entry-" + std::to_string(random() % 3)));
            break;
        case 1:
            next(strikeOf(name, "e", static_cast<std::int64_t>(index + 50)));
            break;
        case 2:
            next([](Wire::FleetCommand::Builder command) {
                command.setPrune();
            });
            break;
        case 3:
            next(applyOf(state.revision().value, "services", name, random() % 2 == 0 ? "" : "{}"));
            break;
        default:
            next(random() % 2 == 0 ? issueOf(name, "one") : withdrawOf(name));
            break;
        }
        if (random() % 50 == 0) {
            follow(near, state);
            BOOST_REQUIRE(equal(near, state));
        }
    }
    follow(far, state); // Its index lies before the pruned tombstones.
    BOOST_TEST(equal(far, state));
    FleetState late = stateWithCustomer();
    follow(late, state);
    BOOST_TEST(equal(late, state));
    FleetState restored;
    restored.restore(state.snapshot());
    BOOST_TEST(equal(restored, state));
    std::size_t tombstones = 0;
    for (const auto &[fingerprint, row] : state.strikes.all()) {
        tombstones += row.removed ? 1 : 0;
    }
    BOOST_TEST(tombstones <= 20U);
}

BOOST_AUTO_TEST_CASE(a_copy_never_moves_to_an_older_state)
{
    FleetState state = stateWithCustomer();
    capnp::MallocMessageBuilder message;
    auto old = message.initRoot<Wire::FleetDelta>();
    state.writeDelta(0, old);
    state.apply(2, commandOf(applyOf(1, "services", "a", "{}")));
    FleetState copy;
    follow(copy, state);
    BOOST_TEST(!copy.applyDelta(old.asReader()));
    BOOST_TEST(copy.revision().value == 2U);
}
