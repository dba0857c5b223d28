/** @file evacuation_test.cpp  Evacuation of data centres: replicated state, snapshots, endpoint selection, and when
 * gateways hold the list that shows it. */
#define BOOST_TEST_MODULE evacuation
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <vector>

#include <capnp/message.h>

#include "deployment/deployment_state_base.h"
#include "deployment/instance_registry_base.h"
#include "gateway/load_balancer_base.h"
#include "platform_settings_type.h"
#include "rpc/message_func.h"

using namespace Chestnuthook;

namespace
{

constexpr unsigned EndpointCount = 6;
const SelectionCriteria AnyEndpoint{"model", 0, "north"};

/** Endpoints with even numbers are in data centre north, the others in south. */
std::vector<DeployedEndpoint> endpoints(const std::set<std::string> &evacuated)
{
    std::vector<DeployedEndpoint> list;
    for (unsigned i = 0; i < EndpointCount; ++i) {
        const std::string number = std::to_string(i);
        const std::string dataCentre = i % 2 == 0 ? "north" : "south";
        list.push_back({"e" + number, "model", "10.0.0." + number + ":80", dataCentre, 8, false});
        list.back().version = "v" + std::to_string(i % 2);
        list.back().evacuated = evacuated.contains(dataCentre);
    }
    return list;
}

/** Number of the programs, of 200, that are sent to an endpoint of @p dataCentre. */
unsigned chosenIn(const LoadBalancer &balancer, Instant now, const std::string &dataCentre)
{
    unsigned count = 0;
    for (std::uint64_t program = 0; program < 200; ++program) {
        const DeployedEndpoint *chosen = balancer.choose(now, {"model", program, "north"}, {});
        count += chosen != nullptr && chosen->dataCentre == dataCentre ? 1 : 0;
    }
    return count;
}

InstanceInfo gateway(const std::string &name)
{
    return {name, Wire::InstanceRole::GATEWAY, "x", "10.0.0.1:80", "10.0.0.1:7000", {}, true};
}

} // namespace

BOOST_AUTO_TEST_CASE(last_committed_command_decides_whether_a_data_centre_is_evacuated)
{
    DeploymentState state;
    state.apply(1, evacuationCommand("north", true));
    state.apply(2, evacuationCommand("north", true)); // Sent again.
    state.apply(3, evacuationCommand("south", true));
    state.apply(4, evacuationCommand("north", false));
    state.apply(5, evacuationCommand("north", false));
    BOOST_TEST((state.evacuated == std::set<std::string>{"south"}));
    state.apply(6, evacuationCommand("north", true));
    BOOST_TEST((state.evacuated == std::set<std::string>{"north", "south"}));
    BOOST_TEST(state.index() == 6U);
}

// Guards against an evacuation that is forgotten when the log is compacted or a member is sent a snapshot.
BOOST_AUTO_TEST_CASE(evacuations_survive_a_snapshot_and_replace_those_known_before)
{
    DeploymentState state;
    state.apply(1, configurationCommand(7, "seven"));
    state.apply(2, evacuationCommand("north", true));
    DeploymentState copy;
    copy.apply(1, evacuationCommand("south", true));
    copy.restore(state.snapshot());
    BOOST_TEST((copy.evacuated == std::set<std::string>{"north"}));
    BOOST_TEST(copy.document == "seven");
}

BOOST_AUTO_TEST_CASE(snapshot_of_an_earlier_build_has_no_evacuations)
{
    capnp::MallocMessageBuilder message;
    message.initRoot<Wire::DeploymentState>().setConfigurationVersion(7);
    DeploymentState state;
    state.apply(1, evacuationCommand("north", true));
    state.restore(flatBytes(message));
    BOOST_TEST(state.configurationVersion == 7U);
    BOOST_TEST(state.evacuated.empty());
}

BOOST_AUTO_TEST_CASE(evacuated_endpoint_is_never_chosen_while_the_evacuation_lasts)
{
    LoadBalancer balancer(std::chrono::seconds(3));
    balancer.setEndpoints(Instant(1), endpoints({}));
    BOOST_TEST(chosenIn(balancer, Instant(1), "north") > 0U);
    balancer.setEndpoints(Instant(2), endpoints({"north"}));
    BOOST_TEST(chosenIn(balancer, Instant(2), "north") == 0U);
    BOOST_TEST(chosenIn(balancer, Instant(2), "south") == 200U);
    BOOST_TEST(balancer.isEvacuated("e0"));
    BOOST_TEST(!balancer.isEvacuated("e1"));
    BOOST_TEST(!balancer.isUsable("e0"));
    BOOST_TEST(balancer.isUsable("e1"));
    balancer.setEndpoints(Instant(3), endpoints({}));
    BOOST_TEST(chosenIn(balancer, Instant(3), "north") > 0U);
    BOOST_TEST(!balancer.isEvacuated("e0"));
}

// Guards against evacuated endpoints as a last resort: when the others are tried, failed, overloaded or gone, or when
// the evacuated ones leave, which alone would let them be used for a while.
BOOST_AUTO_TEST_CASE(evacuated_endpoint_is_no_last_resort)
{
    LoadBalancer balancer(std::chrono::seconds(3));
    balancer.setEndpoints(Instant(1), endpoints({}));
    balancer.setEndpoints(Instant(2), endpoints({"north"}));
    BOOST_TEST(balancer.choose(Instant(2), AnyEndpoint, {"e1", "e3", "e5"}) == nullptr);
    BOOST_TEST(!balancer.areAllEvacuated(AnyEndpoint));
    for (const char *id : {"e1", "e3", "e5"}) {
        balancer.recordFailure(Instant(2), id);
        balancer.recordLoad(Instant(2), id, EndpointLoad{8, 20, 8});
    }
    BOOST_TEST(chosenIn(balancer, Instant(3), "north") == 0U);
    for (const char *id : {"e1", "e3", "e5"}) {
        BOOST_TEST(balancer.recordLeaving(Instant(3), id));
        balancer.recordAtLimit(Instant(3), id);
    }
    BOOST_TEST(balancer.choose(Instant(4), AnyEndpoint, {}) == nullptr);
    auto list = endpoints({"north"});
    for (DeployedEndpoint &endpoint : list) {
        endpoint.leaving = endpoint.evacuated;
    }
    LoadBalancer leaving(std::chrono::seconds(3));
    leaving.setEndpoints(Instant(1), endpoints({}));
    std::erase_if(list, [](const DeployedEndpoint &endpoint) {
        return !endpoint.evacuated;
    });
    leaving.setEndpoints(Instant(2), list);
    BOOST_TEST(leaving.choose(Instant(3), AnyEndpoint, {}) == nullptr);
    BOOST_TEST(leaving.areAllEvacuated(AnyEndpoint));
}

// A stream that began in the data centre may go on only at its version: there is no endpoint for it.
BOOST_AUTO_TEST_CASE(resumed_stream_whose_version_is_evacuated_has_no_endpoint)
{
    LoadBalancer balancer;
    balancer.setEndpoints(Instant(1), endpoints({"north"}));
    SelectionCriteria criteria = AnyEndpoint;
    criteria.version = "v0";
    BOOST_TEST(balancer.choose(Instant(1), criteria, {}) == nullptr);
    BOOST_TEST(balancer.areAllEvacuated(criteria));
    criteria.version = "v1";
    BOOST_TEST(balancer.choose(Instant(1), criteria, {}) != nullptr);
    criteria.version = "v2"; // No endpoint has it.
    BOOST_TEST(!balancer.areAllEvacuated(criteria));
}

// Requests would wait in vain for the room of an endpoint that they must not be sent to.
BOOST_AUTO_TEST_CASE(limit_of_an_evacuated_endpoint_is_not_waited_for)
{
    LoadBalancer balancer;
    balancer.setEndpoints(Instant(1), endpoints({}));
    balancer.recordAtLimit(Instant(1), "e0");
    BOOST_TEST(balancer.hasAtLimit(Instant(2), AnyEndpoint, {}));
    balancer.setEndpoints(Instant(2), endpoints({"north"}));
    BOOST_TEST(!balancer.hasAtLimit(Instant(2), AnyEndpoint, {}));
}

BOOST_AUTO_TEST_CASE(list_is_held_once_each_live_gateway_reports_it)
{
    InstanceRegistry registry;
    Instant now(1);
    BOOST_TEST(registry.isEndpointListHeld(2));
    registry.adopt(now, {gateway("a"), gateway("b")});
    BOOST_TEST(!registry.isEndpointListHeld(1)); // Known from a former leader only.
    registry.recordReport(now, gateway("a"), 0, 0, Duration(0), 2);
    registry.recordReport(now, gateway("b"), 0, 0, Duration(0), 1);
    BOOST_TEST(registry.isEndpointListHeld(1));
    BOOST_TEST(!registry.isEndpointListHeld(2));
    now += InstanceRegistry::SilenceTimeout + Duration(1);
    registry.recordReport(now, gateway("a"), 0, 0, Duration(0), 2);
    registry.expire(now);
    BOOST_TEST(registry.isEndpointListHeld(2)); // The other one is silent.
    BOOST_TEST(registry.hasDataCentre("x"));
    BOOST_TEST(!registry.hasDataCentre("y"));
}

BOOST_AUTO_TEST_CASE(data_centres_of_the_settings_file_are_read_in_each_form)
{
    const auto dataCentresOf = [](const std::string &zones) {
        const auto read = Platform::readSettings(
            R"({"node":"n","ip":"10.1.0.3","zone":"z","innerPorts":[7780],"seeds":[])" + zones + "}");
        BOOST_REQUIRE(read.has_value());
        return read->dataCentres;
    };
    const std::vector<std::string> both = {"north", "south"};
    BOOST_TEST(dataCentresOf("").empty());
    BOOST_TEST((dataCentresOf(R"(,"zones":["north","south"])") == both));
    BOOST_TEST((dataCentresOf(R"(,"zones":[{"name":"north"},{"name":"south","x":1},{"x":1},3])") == both));
    BOOST_TEST((dataCentresOf(R"(,"zones":{"north":{},"south":{}})") == both));
    BOOST_TEST(dataCentresOf(R"(,"zones":7)").empty());
}
