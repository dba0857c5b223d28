/** @file endpoint_links_test.cpp  Decisions about links to endpoints and about gateways that relay connections. */
#define BOOST_TEST_MODULE endpoint_links
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>
#include <string>

#include "gateway/endpoint_links_base.h"
#include "gateway/relay_peers_base.h"

using namespace Chestnuthook;

namespace
{

constexpr Instant Start(1000000);
constexpr Duration Millisecond = std::chrono::milliseconds(1);

std::string addressOf(unsigned number)
{
    return "10.0.0." + std::to_string(number) + ":80";
}

/** Links to @p models endpoints of one service and @p apps of another. */
EndpointLinks linksTo(unsigned models, unsigned apps = 0)
{
    std::vector<DeployedEndpoint> list;
    list.reserve(models + apps);
    for (unsigned i = 0; i < models + apps; ++i) {
        list.push_back({"e" + std::to_string(i), i < models ? "model" : "app", addressOf(i), "x", 8, false});
    }
    EndpointLinks links;
    links.setEndpoints(list);
    return links;
}

/** Probes that are due from @p start on within @p duration, asked for each 100 ms. */
std::multiset<std::string> probesIn(EndpointLinks &links, Instant start, Duration duration)
{
    std::multiset<std::string> probes;
    for (Instant now = start; now < start + duration; now = now + 100 * Millisecond) {
        for (const std::string &address : links.takeDueProbes(now)) {
            probes.insert(address);
        }
    }
    return probes;
}

InstanceInfo gateway(const std::string &name, const std::string &dataCentre = "x", bool isCutOff = false)
{
    return {name, Wire::InstanceRole::GATEWAY, dataCentre, name + ":1", name + ":2", "", true, isCutOff};
}

} // namespace

BOOST_AUTO_TEST_CASE(link_is_down_only_if_another_gateway_reaches_the_endpoint)
{
    EndpointLinks links = linksTo(4);
    links.recordUnreachable(Start, addressOf(0));
    BOOST_TEST((links.plan(addressOf(0)) == ConnectPlan::Direct));
    BOOST_TEST(!links.isCutOff());
    BOOST_TEST(links.recordDown(Start, addressOf(0), true));
    BOOST_TEST(!links.recordDown(Start, addressOf(0), true));
    BOOST_TEST((links.plan(addressOf(0)) == ConnectPlan::Relayed));
    links.recordConnected(Start, addressOf(0));
    BOOST_TEST((links.plan(addressOf(0)) == ConnectPlan::Direct));
}

BOOST_AUTO_TEST_CASE(one_link_that_is_down_leaves_the_others_alone)
{
    EndpointLinks links = linksTo(4);
    links.recordDown(Start, addressOf(0), true);
    for (unsigned i = 1; i < 4; ++i) {
        BOOST_TEST((links.plan(addressOf(i)) == ConnectPlan::Direct));
        BOOST_TEST(links.mayReuse(addressOf(i)));
    }
    BOOST_TEST(!links.isCutOff());
}

BOOST_AUTO_TEST_CASE(two_links_that_hang_put_the_others_in_doubt_until_they_are_confirmed)
{
    EndpointLinks links = linksTo(4);
    links.recordDown(Start, addressOf(0), true);
    links.recordDown(Start + Millisecond, addressOf(1), true);
    BOOST_TEST((links.plan(addressOf(2)) == ConnectPlan::Both));
    BOOST_TEST(!links.mayReuse(addressOf(2)));
    links.recordReceived(Start + 2 * Millisecond, addressOf(2));
    links.recordConnected(Start + 2 * Millisecond, addressOf(3));
    for (const unsigned confirmed : {2U, 3U}) {
        BOOST_TEST((links.plan(addressOf(confirmed)) == ConnectPlan::Direct));
        BOOST_TEST(links.mayReuse(addressOf(confirmed)));
    }
}

BOOST_AUTO_TEST_CASE(kept_connections_are_used_on_while_new_ones_are_refused)
{
    EndpointLinks links = linksTo(4);
    for (unsigned i = 0; i < 3; ++i) {
        links.recordDown(Start, addressOf(i), false);
        BOOST_TEST((links.plan(addressOf(i)) == ConnectPlan::Relayed));
        BOOST_TEST(links.mayReuse(addressOf(i)));
    }
    BOOST_TEST(links.mayReuse(addressOf(3)));
    links.recordDown(Start, addressOf(3), true);
    BOOST_TEST(!links.mayReuse(addressOf(3)));
}

BOOST_AUTO_TEST_CASE(links_far_apart_in_time_cause_no_doubt)
{
    EndpointLinks links = linksTo(4);
    links.recordDown(Start, addressOf(0), true);
    links.recordDown(Start + EndpointLinks::DoubtPeriod, addressOf(1), true);
    BOOST_TEST((links.plan(addressOf(2)) == ConnectPlan::Direct));
}

BOOST_AUTO_TEST_CASE(gateway_is_cut_off_if_most_endpoints_of_a_service_are_down)
{
    EndpointLinks links = linksTo(9, 3);
    links.recordDown(Start, addressOf(9), true);
    BOOST_TEST(!links.isCutOff());
    links.recordDown(Start, addressOf(10), true);
    BOOST_TEST(links.isCutOff());
    links.recordConnected(Start, addressOf(10));
    BOOST_TEST(!links.isCutOff());
    links.recordDown(Start, addressOf(10), true);
    links.setEndpoints({});
    BOOST_TEST(!links.isCutOff());
}

BOOST_AUTO_TEST_CASE(endpoint_that_is_silent_while_others_answer_is_probed_late)
{
    EndpointLinks links = linksTo(2);
    links.recordSent(Start, addressOf(0));
    Instant now = Start;
    for (; now < Start + EndpointLinks::SilenceLimit; now = now + 50 * Millisecond) {
        links.recordReceived(now, addressOf(1));
        BOOST_TEST(links.takeDueProbes(now).empty());
    }
    BOOST_TEST((links.takeDueProbes(now) == std::vector<std::string>{addressOf(0)}));
    BOOST_TEST(links.takeDueProbes(now + 100 * Millisecond).empty());
    links.recordEnded(addressOf(0));
    BOOST_TEST(links.takeDueProbes(now + 5 * EndpointLinks::SilenceProbeInterval).empty());
}

BOOST_AUTO_TEST_CASE(silence_of_all_endpoints_is_noticed_soon)
{
    EndpointLinks links = linksTo(3);
    links.recordSent(Start, addressOf(0));
    links.recordSent(Start, addressOf(1));
    const Instant now = Start + EndpointLinks::CommonSilenceLimit;
    BOOST_TEST(links.takeDueProbes(now).size() == 2U);
}

BOOST_AUTO_TEST_CASE(probe_that_succeeds_changes_nothing)
{
    EndpointLinks links = linksTo(2);
    links.recordSent(Start, addressOf(0));
    const Instant now = Start + EndpointLinks::SilenceLimit;
    BOOST_TEST(links.takeDueProbes(now).size() == 1U);
    links.recordConnected(now, addressOf(0));
    BOOST_TEST((links.plan(addressOf(0)) == ConnectPlan::Direct));
    BOOST_TEST(links.mayReuse(addressOf(0)));
    BOOST_TEST(links.takeDueProbes(now + 100 * Millisecond).empty());
}

BOOST_AUTO_TEST_CASE(probes_of_many_links_are_spread)
{
    constexpr unsigned Count = 60;
    EndpointLinks links = linksTo(Count);
    for (unsigned i = 0; i < Count; ++i) {
        links.recordDown(Start, addressOf(i), true);
    }
    const Instant begin = Start + EndpointLinks::DownProbeInterval;
    BOOST_TEST(links.takeDueProbes(begin).size() == EndpointLinks::MaxProbesAtOnce);
    const auto probes = probesIn(links, begin + 100 * Millisecond, std::chrono::seconds(3));
    BOOST_TEST(probes.size() <= 30 * EndpointLinks::MaxProbesAtOnce);
    for (unsigned i = 0; i < Count; ++i) {
        BOOST_TEST(probes.count(addressOf(i)) >= 1U, "link " << i);
    }
}

BOOST_AUTO_TEST_CASE(other_links_are_probed_at_once_when_one_is_up_again)
{
    EndpointLinks links = linksTo(3);
    for (unsigned i = 0; i < 3; ++i) {
        links.recordDown(Start, addressOf(i), true);
    }
    BOOST_TEST(links.takeDueProbes(Start + Millisecond).empty());
    links.recordConnected(Start + Millisecond, addressOf(0));
    BOOST_TEST(links.takeDueProbes(Start + 2 * Millisecond).size() == 2U);
}

BOOST_AUTO_TEST_CASE(other_endpoints_that_worked_last_come_first)
{
    EndpointLinks links = linksTo(4);
    links.recordReceived(Start, addressOf(2));
    links.recordConnected(Start + Millisecond, addressOf(1));
    BOOST_TEST((links.latestConfirmed(addressOf(0), 2) == std::vector{addressOf(1), addressOf(2)}));
    BOOST_TEST((links.latestConfirmed(addressOf(1), 1) == std::vector{addressOf(2)}));
    links.recordUnreachable(Start + 2 * Millisecond, addressOf(1));
    BOOST_TEST((links.latestConfirmed(addressOf(0), 2) == std::vector{addressOf(2), addressOf(3)}));
    BOOST_TEST(linksTo(1).latestConfirmed(addressOf(0), 2).empty());
}

BOOST_AUTO_TEST_CASE(no_gateway_is_asked_again_at_once_for_an_endpoint_that_nobody_reaches)
{
    EndpointLinks links = linksTo(2);
    BOOST_TEST(links.mayRelay(Start, addressOf(0)));
    links.recordUnreachable(Start, addressOf(0));
    BOOST_TEST(!links.mayRelay(Start + Millisecond, addressOf(0)));
    BOOST_TEST(links.mayRelay(Start + Millisecond, addressOf(1)));
    BOOST_TEST(links.mayRelay(Start + EndpointLinks::RelayBackoff, addressOf(0)));
    BOOST_TEST(!links.mayRelay(Start, "10.9.9.9:80")); // Not listed.
}

BOOST_AUTO_TEST_CASE(gateway_that_reaches_endpoints_is_asked_first_and_never_the_own_one)
{
    RelayPeers peers("self", "x");
    InstanceInfo leaving = gateway("leaving");
    leaving.ready = false;
    peers.setInstances({gateway("self"), gateway("a", "x", true), gateway("b", "y"), leaving});
    BOOST_TEST(peers.choose(Start, {})->name == "b");
    BOOST_TEST(peers.choose(Start, {"b"})->name == "a");
    BOOST_TEST(peers.choose(Start, {"a", "b"}) == nullptr);
    BOOST_TEST(peers.isUsable("b"));
    BOOST_TEST(!peers.isUsable("a"));
    BOOST_TEST(!peers.isUsable("leaving"));
}

BOOST_AUTO_TEST_CASE(gateways_ask_different_ones)
{
    std::vector<InstanceInfo> all;
    all.reserve(40);
    for (int i = 0; i < 40; ++i) {
        all.push_back(gateway("g" + std::to_string(i), "x", i % 2 == 0));
    }
    std::map<std::string, unsigned> asked;
    for (int i = 0; i < 40; i += 2) {
        RelayPeers peers("g" + std::to_string(i), "x");
        peers.setInstances(all);
        ++asked[peers.choose(Start, {})->name];
    }
    for (const auto &[name, count] : asked) {
        BOOST_TEST(count <= 5U, name);
    }
}

BOOST_AUTO_TEST_CASE(load_is_spread_over_the_gateways_that_are_asked)
{
    RelayPeers peers("self", "x");
    peers.setInstances({gateway("a"), gateway("b"), gateway("c", "y")});
    std::map<std::string, std::size_t> connections;
    for (std::size_t i = 0; i < 12 * RelayPeers::ConnectionsPerStep; ++i) {
        const std::string name = peers.choose(Start, {})->name;
        peers.recordOpened(name);
        ++connections[name];
    }
    for (const auto &[name, count] : connections) {
        BOOST_TEST(count == 4 * RelayPeers::ConnectionsPerStep, name);
    }
    peers.recordClosed("a");
    BOOST_TEST(peers.choose(Start, {})->name == "a");
}

BOOST_AUTO_TEST_CASE(gateway_that_fails_is_asked_only_if_there_is_no_other)
{
    RelayPeers peers("self", "x");
    peers.setInstances({gateway("a"), gateway("b")});
    const std::string first = peers.choose(Start, {})->name;
    const std::string second = first == "a" ? "b" : "a";
    peers.recordFailure(Start, first);
    BOOST_TEST(peers.choose(Start, {})->name == second);
    BOOST_TEST(peers.choose(Start, {second})->name == first);
    BOOST_TEST(peers.choose(Start + RelayPeers::InitialBackoff, {})->name == first);
    peers.recordFailure(Start, first);
    BOOST_TEST(peers.choose(Start + RelayPeers::InitialBackoff, {})->name == second);
    peers.recordSuccess(first);
    BOOST_TEST(peers.choose(Start, {})->name == first);
    peers.recordRefusal(Start, first);
    BOOST_TEST(peers.choose(Start, {})->name == second);
}

BOOST_AUTO_TEST_CASE(another_data_centre_is_asked_after_one_gateway_that_does_not_reach_an_endpoint)
{
    RelayPeers peers("self", "x");
    std::vector<InstanceInfo> all = {gateway("y1", "y")};
    for (int i = 0; i < 20; ++i) {
        all.push_back(gateway("x" + std::to_string(i)));
    }
    peers.setInstances(all);
    const std::string first = peers.choose(Start, {})->name;
    BOOST_TEST(first != "y1");
    peers.recordUnreachable(Start, first);
    BOOST_TEST(peers.choose(Start, {first})->name == "y1");
    BOOST_TEST(peers.choose(Start + Millisecond, {})->name == "y1");
    BOOST_TEST(peers.choose(Start + RelayPeers::DataCentreBackoff, {})->name != "y1");
}

BOOST_AUTO_TEST_CASE(clients_are_sent_to_gateways_that_reach_endpoints_if_those_are_half)
{
    const auto listed = [](const std::vector<InstanceInfo> &all) {
        std::string names;
        for (const InstanceInfo &one : selectGateways(all, "x")) {
            names += one.name;
        }
        return names;
    };
    BOOST_TEST(listed({gateway("a", "x", true), gateway("b", "y"), gateway("c")}) == "cb");
    BOOST_TEST(
        listed({gateway("a", "x", true), gateway("b", "x", true), gateway("c", "y"), gateway("d", "y")}) == "cd");
    BOOST_TEST(listed({gateway("a", "x", true), gateway("b", "x", true), gateway("c", "y")}) == "abc");
    BOOST_TEST(listed({gateway("a", "x", true), gateway("b", "y", true)}) == "ab");
}
