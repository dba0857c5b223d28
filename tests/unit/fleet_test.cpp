/** @file fleet_test.cpp  Tests of the commands on the fleet state and of replicas that are updated by deltas. */
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

using CommandFiller = std::function<void(Wire::FleetCommand::Builder)>;

constexpr std::size_t HashBytes = 32;

std::string makeCommand(const CommandFiller &fill, const std::string &requestId = "", std::int64_t nowMs = 0)
{
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::FleetCommand>();
    command.setRequestId(requestId);
    command.setNowMs(nowMs);
    fill(command);
    return flatBytes(message);
}

std::string errorCodeOf(const std::string &reply)
{
    FlatMessage message(reply);
    const auto read = message.root<Wire::FleetReply>();
    return read.isFailure() ? textOf(read.getFailure().getCode()) : "";
}

CommandFiller applyCommand(
    std::uint64_t expected, const std::string &section, const std::string &name, const std::string &json)
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

CommandFiller issueKeyCommand(const std::string &id, const std::string &customer)
{
    return [=](Wire::FleetCommand::Builder command) {
        auto key = command.initIssueKey();
        key.setId(id);
        key.setTenant(customer);
        key.setHash(dataOf(std::string(HashBytes, id[0])));
    };
}

CommandFiller withdrawKeyCommand(const std::string &id)
{
    return [=](Wire::FleetCommand::Builder command) {
        command.setWithdrawKey(id);
    };
}

CommandFiller grantLeaseCommand(const std::string &id)
{
    return [=](Wire::FleetCommand::Builder command) {
        auto entry = command.initGrantLease();
        entry.setId(id);
        entry.setAddress("127.0.0.1:1");
    };
}

CommandFiller strikeCommand(const std::string &fingerprint, const std::string &endpoint, std::int64_t expiresAtMs)
{
    return [=](Wire::FleetCommand::Builder command) {
        auto strike = command.initStrike();
        strike.setFingerprint(fingerprint);
        strike.setExpiresAtMs(expiresAtMs);
        strike.initEndpoints(1).set(0, endpoint);
    };
}

/** Returns a state that declares the customer `one`, at revision 1 and log index 1. */
FleetState stateWithCustomer()
{
    FleetState state;
    const std::string reply = state.apply(1, makeCommand(applyCommand(0, "tenants", "one", R"({"rate":5,"burst":5})")));
    BOOST_REQUIRE_MESSAGE(errorCodeOf(reply).empty(), errorCodeOf(reply));
    return state;
}

void applyDeltaFrom(FleetState &copy, const FleetState &state)
{
    capnp::MallocMessageBuilder message;
    auto delta = message.initRoot<Wire::FleetDelta>();
    state.writeDelta(copy.index(), delta);
    BOOST_REQUIRE(copy.applyDelta(delta.asReader()));
}

/** Compares two states without tombstones, which a replica may lack. */
bool liveStatesEqual(const FleetState &left, const FleetState &right)
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

BOOST_AUTO_TEST_CASE(apply_with_stale_revision_is_rejected_with_current_revision)
{
    FleetState state = stateWithCustomer();
    BOOST_TEST(errorCodeOf(state.apply(2, makeCommand(applyCommand(1, "services", "a", "{}")))).empty());
    const std::string lost = state.apply(3, makeCommand(applyCommand(1, "services", "b", "{}")));
    BOOST_TEST(errorCodeOf(lost) == "stale_revision");
    FlatMessage message(lost);
    BOOST_TEST(message.root<Wire::FleetReply>().getRevision() == 2U);
    BOOST_TEST(state.revision().value == 2U);
    BOOST_TEST((state.declarations.find(DeclarationName{"services", "b"}) == nullptr));
}

BOOST_AUTO_TEST_CASE(resent_command_returns_first_reply_even_after_snapshot)
{
    FleetState state = stateWithCustomer();
    const std::string command = makeCommand(applyCommand(1, "services", "a", "{}"), "request-1");
    const std::string first = state.apply(2, command);
    BOOST_TEST(state.apply(3, command) == first);
    FleetState restored;
    restored.restore(state.snapshot());
    BOOST_TEST(restored.apply(4, command) == first);
    BOOST_TEST(restored.revision().value == 2U);
}

BOOST_AUTO_TEST_CASE(withdrawn_key_stays_withdrawn)
{
    FleetState state = stateWithCustomer();
    BOOST_TEST(errorCodeOf(state.apply(2, makeCommand(issueKeyCommand("k", "one")))).empty());
    BOOST_TEST(errorCodeOf(state.apply(3, makeCommand(withdrawKeyCommand("k")))).empty());
    BOOST_TEST(errorCodeOf(state.apply(4, makeCommand(issueKeyCommand("k", "one"))))
        == "conflict"); // Can't be undone by issuing the key again,
    state.apply(5, makeCommand(applyCommand(1, "tenants", "one", ""))); // nor by removing its customer
    state.apply(
        6, makeCommand(applyCommand(2, "tenants", "one", R"({"rate":5,"burst":5})"))); // and declaring it again.
    BOOST_TEST(state.keys.find(KeyId{"k"})->withdrawn);
    FleetState restored;
    restored.restore(state.snapshot());
    BOOST_TEST(restored.keys.find(KeyId{"k"})->withdrawn);
}

BOOST_AUTO_TEST_CASE(strikes_count_distinct_endpoints_and_expire_by_prune)
{
    FleetState state;
    state.apply(1, makeCommand(strikeCommand("f", "e1", 100), "", 10));
    state.apply(
        2, makeCommand(strikeCommand("f", "e1", 100), "", 20)); // The same endpoint failure, reported by another entry.
    BOOST_TEST(state.strikes.find("f")->strikes == 1U);
    state.apply(3, makeCommand(strikeCommand("f", "e2", 150), "", 30));
    BOOST_TEST(state.strikes.find("f")->strikes == 2U);
    BOOST_TEST(!state.hasExpiredStrikes(149));
    BOOST_TEST(state.hasExpiredStrikes(150));
    FleetState restored; // A new leader that restored a snapshot has to prune too.
    restored.restore(state.snapshot());
    BOOST_TEST(!restored.hasExpiredStrikes(149));
    BOOST_TEST(restored.hasExpiredStrikes(150));
    const auto prune = [](Wire::FleetCommand::Builder command) {
        command.setPrune();
    };
    state.apply(4, makeCommand(prune, "", 149));
    BOOST_TEST((state.strikes.find("f") != nullptr));
    state.apply(5, makeCommand(prune, "", 150));
    BOOST_TEST((state.strikes.find("f") == nullptr));
}

BOOST_AUTO_TEST_CASE(order_with_older_fencing_token_is_rejected)
{
    FleetState state;
    const auto order = [](std::uint64_t fence) {
        return makeCommand([=](Wire::FleetCommand::Builder command) {
            auto given = command.initOrder();
            given.setEndpoint("e");
            given.setFence(fence);
        });
    };
    BOOST_TEST(errorCodeOf(state.apply(1, order(3))).empty());
    BOOST_TEST(errorCodeOf(state.apply(2, order(2))) == "stale_epoch");
    BOOST_TEST(errorCodeOf(state.apply(3, order(3))).empty());
}

BOOST_AUTO_TEST_CASE(deltas_reproduce_state_across_pruned_tombstones)
{
    std::mt19937_64 random(4);
    FleetState state = stateWithCustomer();
    FleetState frequentCopy;
    FleetState staleCopy;
    std::uint64_t index = 1;
    const auto next = [&](const CommandFiller &fill) {
        ++index;
        state.apply(index, makeCommand(fill, "", static_cast<std::int64_t>(index)));
    };
    for (int i = 0; i < 14000; ++i) {
        const std::string name = std::to_string(random() % 20);
        switch (random() % 5) {
        case 0:
            next(grantLeaseCommand("entry-" + std::to_string(random() % 3)));
            break;
        case 1:
            next(strikeCommand(name, "e", static_cast<std::int64_t>(index + 50)));
            break;
        case 2:
            next([](Wire::FleetCommand::Builder command) {
                command.setPrune();
            });
            break;
        case 3:
            next(applyCommand(state.revision().value, "services", name, random() % 2 == 0 ? "" : "{}"));
            break;
        default:
            next(random() % 2 == 0 ? issueKeyCommand(name, "one") : withdrawKeyCommand(name));
            break;
        }
        if (random() % 50 == 0) {
            applyDeltaFrom(frequentCopy, state);
            BOOST_REQUIRE(liveStatesEqual(frequentCopy, state));
        }
    }
    applyDeltaFrom(staleCopy, state); // Its index is older than the pruned tombstones.
    BOOST_TEST(liveStatesEqual(staleCopy, state));
    FleetState late = stateWithCustomer();
    applyDeltaFrom(late, state);
    BOOST_TEST(liveStatesEqual(late, state));
    FleetState restored;
    restored.restore(state.snapshot());
    BOOST_TEST(liveStatesEqual(restored, state));
    std::size_t tombstones = 0;
    for (const auto &[fingerprint, row] : state.strikes.all()) {
        tombstones += row.removed ? 1 : 0;
    }
    BOOST_TEST(tombstones <= 20U);
}

BOOST_AUTO_TEST_CASE(delta_to_older_state_is_rejected)
{
    FleetState state = stateWithCustomer();
    capnp::MallocMessageBuilder message;
    auto old = message.initRoot<Wire::FleetDelta>();
    state.writeDelta(0, old);
    state.apply(2, makeCommand(applyCommand(1, "services", "a", "{}")));
    FleetState copy;
    applyDeltaFrom(copy, state);
    BOOST_TEST(!copy.applyDelta(old.asReader()));
    BOOST_TEST(copy.revision().value == 2U);
}
