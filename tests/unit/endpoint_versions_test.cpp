/** @file endpoint_versions_test.cpp  Which software versions are recorded, withheld and forgotten, and that the record
 * survives snapshots and the state of earlier builds. */
#define BOOST_TEST_MODULE endpoint_versions
#include <boost/test/unit_test.hpp>

#include <capnp/message.h>

#include "deployment/deployment_state_base.h"
#include "deployment/endpoint_versions_type.h"
#include "rpc/deployment.capnp.h"
#include "rpc/message_func.h"

using namespace Chestnuthook;

namespace
{

DeployedEndpoint endpointOf(const std::string &service, const std::string &version)
{
    DeployedEndpoint endpoint;
    endpoint.id = service + "-" + version;
    endpoint.service = service;
    endpoint.version = version;
    return endpoint;
}

const std::vector<DeployedEndpoint> TwoVersions = {endpointOf("app", "v1"), endpointOf("app", "v2")};

} // namespace

BOOST_AUTO_TEST_CASE(endpoints_of_unrecorded_versions_are_withheld)
{
    const ServiceVersions recorded = {{"app", "v1"}, {"other", "v2"}};
    BOOST_TEST((unrecordedVersions(TwoVersions, recorded) == ServiceVersions{{"app", "v2"}}));
    const auto published = endpointsOfVersions(TwoVersions, recorded);
    BOOST_REQUIRE(published.size() == 1U);
    BOOST_TEST(published.front().version == "v1");
    BOOST_TEST(unrecordedVersions(published, recorded).empty());
}

BOOST_AUTO_TEST_CASE(missing_version_is_recorded_like_any_other)
{
    const std::vector<DeployedEndpoint> list = {endpointOf("app", "")};
    BOOST_TEST((unrecordedVersions(list, {{"app", "v1"}}) == ServiceVersions{{"app", ""}}));
}

BOOST_AUTO_TEST_CASE(version_is_forgotten_only_after_streams_of_it_can_no_longer_be_resumed)
{
    const ServiceVersions recorded = versionsOf(TwoVersions);
    EndpointVersionExpiry expiry;
    const Instant start = Instant(0) + std::chrono::seconds(100);
    expiry.beginTerm(start);
    expiry.recordListed(start + std::chrono::seconds(10), TwoVersions);
    const Instant last = start + std::chrono::seconds(20);
    expiry.recordListed(last, {endpointOf("app", "v2")});
    const Instant gone = start + std::chrono::seconds(10) + EndpointVersionExpiry::StreamMemory;
    BOOST_TEST(expiry.expired(gone, recorded).empty());
    BOOST_TEST((expiry.expired(gone + Duration(1), recorded) == ServiceVersions{{"app", "v1"}}));
}

BOOST_AUTO_TEST_CASE(new_leader_keeps_versions_that_it_has_not_seen_for_the_whole_time)
{
    const ServiceVersions recorded = versionsOf(TwoVersions);
    EndpointVersionExpiry expiry;
    expiry.recordListed(Instant(1), TwoVersions);
    const Instant term = Instant(1) + 10 * EndpointVersionExpiry::StreamMemory;
    expiry.beginTerm(term);
    BOOST_TEST(expiry.expired(term + EndpointVersionExpiry::StreamMemory, recorded).empty());
    BOOST_TEST(expiry.expired(term + EndpointVersionExpiry::StreamMemory + Duration(1), recorded).size() == 2U);
}

BOOST_AUTO_TEST_CASE(record_is_replicated_and_survives_a_snapshot)
{
    DeploymentState state;
    state.apply(1, addVersionsCommand({{"app", "v1"}, {"app", ""}}));
    state.apply(2, addVersionsCommand({{"app", "v2"}}));
    state.apply(3, addVersionsCommand({{"app", "v1"}}));
    state.apply(4, removeVersionsCommand({{"app", ""}, {"app", "v9"}}));
    const ServiceVersions expected = {{"app", "v1"}, {"app", "v2"}};
    BOOST_TEST((state.endpointVersions == expected));
    DeploymentState restored;
    restored.apply(1, addVersionsCommand({{"app", "v0"}}));
    restored.restore(state.snapshot());
    BOOST_TEST((restored.endpointVersions == expected));
}

BOOST_AUTO_TEST_CASE(snapshot_of_an_earlier_build_has_no_versions)
{
    capnp::MallocMessageBuilder message;
    message.initRoot<Wire::DeploymentState>().setConfigurationVersion(7);
    DeploymentState state;
    state.apply(1, addVersionsCommand({{"app", "v1"}}));
    state.restore(flatBytes(message));
    BOOST_TEST(state.configurationVersion == 7U);
    BOOST_TEST(state.endpointVersions.empty());
}
