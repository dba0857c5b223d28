/** @file fleet_view_test.cpp  A view that is updated incrementally must equal a view built from scratch, and deltas by
 * log index must hold all changes. */
#define BOOST_TEST_MODULE fleet_view
#include <random>
#include <string>

#include <boost/test/unit_test.hpp>
#include <capnp/message.h>

#include "core/hash_func.h"
#include "entry/fleet_follower_base.h"
#include "rpc/message_func.h"

using namespace Chestnuthook;

namespace
{

constexpr int Names = 12;
constexpr int Steps = 600;

/** A random command on a small set of customers, keys and entries. */
std::string randomCommand(std::mt19937 &random, std::uint64_t revision)
{
    const std::string number = std::to_string(random() % Names);
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::FleetCommand>();
    switch (random() % 5) {
    case 0: {
        auto apply = command.initApply();
        apply.setExpectedRevision(revision);
        auto change = apply.initChanges(1)[0];
        const bool customer = random() % 4 != 0;
        change.setSection(customer ? "tenants" : "models");
        change.setName("name-" + number);
        const std::string rate = std::to_string(1 + random() % 9);
        const std::string json =
            customer ? R"({"rate":)" + rate + R"(,"burst":9})" : R"({"max_tokens":)" + rate + R"(,"timeout_ms":9000})";
        change.setJson(random() % 3 == 0 ? "" : json);
        break;
    }
    case 1: {
        auto key = command.initIssueKey();
        key.setId("key-" + std::to_string(random() % 100));
        key.setTenant("name-" + number);
        const std::string hash = sha256Raw(key.getId().cStr());
        key.setHash(dataOf(hash));
        break;
    }
    case 2:
        command.setWithdrawKey("key-" + std::to_string(random() % 100));
        break;
    case 3: {
        auto entry = command.initGrantLease();
        entry.setId("entry-" + number);
        entry.setAddress("127.0.0.1:1" + number);
        break;
    }
    default: {
        auto end = command.initEndLease();
        end.setEntry("entry-" + number);
        end.setEpoch(random() % Steps);
        break;
    }
    }
    return flatBytes(message);
}

std::string describe(const FleetView &view)
{
    std::map<std::string, std::string> lines;
    for (const auto &[hash, caller] : view.clients) {
        lines["caller " + toHex(hash)] = caller.customer.text + "/" + caller.key.text;
    }
    for (const auto &[id, customer] : view.customers) {
        lines["tenant " + id.text] = std::to_string(customer.ratePerSecond);
    }
    for (const auto &[id, model] : view.models) {
        lines["model " + id.text] = std::to_string(model.maxTokens);
    }
    for (const EntryRecord &entry : view.entries) {
        lines["entry " + entry.id.text] = std::to_string(entry.epoch.value);
    }
    std::string text = std::to_string(view.revision.value) + "\n";
    for (const auto &[name, value] : lines) {
        text += name;
        text += "=" + value + "\n";
    }
    for (const SlotRecord &slot : view.slots) {
        text += slot.owner.text + "@" + std::to_string(slot.epoch.value) + " ";
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(incremental_view_equals_rebuilt_view)
{
    std::mt19937 random(7);
    FleetState leader;
    FleetState copy;
    std::shared_ptr<const FleetView> view = makeView(copy);
    int withKeys = 0;
    for (std::uint64_t index = 1; index <= Steps; ++index) {
        leader.apply(index, randomCommand(random, leader.revision().value));
        if (random() % 3 == 0) {
            continue; // Collects several changes in one delta.
        }
        const std::uint64_t before = copy.index();
        capnp::MallocMessageBuilder message;
        auto delta = message.initRoot<Wire::FleetDelta>();
        leader.writeDelta(before, delta);
        BOOST_REQUIRE(copy.applyDelta(delta.asReader()));
        view = delta.getWhole() ? makeView(copy) : updateView(*view, copy, before);
        BOOST_REQUIRE_EQUAL(describe(*view), describe(*makeView(leader)));
        withKeys += view->clients.empty() ? 0 : 1;
    }
    BOOST_TEST(withKeys > Steps / 4);
}

BOOST_AUTO_TEST_CASE(copied_table_indexes_its_own_rows)
{
    FleetState leader;
    std::mt19937 random(8);
    for (std::uint64_t index = 1; index <= 50; ++index) {
        leader.apply(index, randomCommand(random, leader.revision().value));
    }
    const auto original = std::make_unique<FleetState>(leader);
    const FleetState copy = *original;
    const std::size_t changes = original->entries.countChangesAfter(0);
    leader = FleetState{};
    BOOST_TEST(copy.entries.countChangesAfter(0) == changes);
    std::size_t seen = 0;
    copy.entries.forChangesAfter(0, [&](const EntryId &id, const auto &row) {
        seen += copy.entries.all().at(id).index == row.index ? 1 : 0;
    });
    BOOST_TEST(seen == changes);
    BOOST_TEST(changes > 0U);
}
