/** @file gate_test.cpp  Authentication by shared secrets, also while a secret is being replaced. */
#define BOOST_TEST_MODULE gate
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <kj/async-io.h>

#include "rpc/authentication_func.h"
#include "support/process_fleet.h"

using namespace Chestnuthook;

namespace
{

/** Whether a client with the secret file @p clientSecrets authenticates to a server with @p serverSecrets. */
bool authenticates(kj::WaitScope &scope, const std::string &clientSecrets, const std::string &serverSecrets)
{
    FleetSecurity serverSecurity(serverSecrets, {});
    FleetSecurity clientSecurity(clientSecrets, {});
    try {
        authenticateToPeer(makeAuthenticationGate(serverSecurity, OfferedServices{}), clientSecurity.secrets(), "test")
            .wait(scope);
    } catch (const kj::Exception &exception) {
        return false;
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_CASE(authentication_requires_a_shared_secret)
{
    auto io = kj::setupAsyncIo();
    BOOST_TEST(authenticates(io.waitScope, "old", "old"));
    BOOST_TEST(!authenticates(io.waitScope, "old", "new"));
    BOOST_TEST(!authenticates(io.waitScope, "", "new"));
    BOOST_TEST(!authenticates(io.waitScope, "ol", "old"));
}

BOOST_AUTO_TEST_CASE(adjacent_steps_of_a_secret_change_authenticate_both_ways)
{
    auto io = kj::setupAsyncIo();
    const std::vector<std::string> steps = {"old", "old\nnew", "new\nold", "new"};
    for (std::size_t i = 0; i + 1 < steps.size(); ++i) {
        BOOST_TEST(authenticates(io.waitScope, steps[i], steps[i + 1]), steps[i]);
        BOOST_TEST(authenticates(io.waitScope, steps[i + 1], steps[i]), steps[i]);
    }
    BOOST_TEST(!authenticates(io.waitScope, steps.front(), steps.back()));
}

BOOST_AUTO_TEST_CASE(changed_secret_file_is_reloaded_and_an_empty_one_is_ignored)
{
    const Testing::TemporaryFolder folder;
    const std::string path = folder.path + "/secret";
    std::ofstream(path) << "old";
    FleetSecurity security("old", {path, "", "", ""});
    std::ofstream(path) << "new\r\nold\n";
    BOOST_TEST(Testing::waitUntil([&]() {
        return security.secrets() == std::vector<std::string>{"new", "old"};
    }));
    std::ofstream(path) << "";
    std::filesystem::last_write_time(path, std::filesystem::file_time_type::clock::now() + std::chrono::hours(1));
    BOOST_TEST(!Testing::waitUntil(
        [&]() {
            return security.secrets().front() != "new";
        },
        std::chrono::milliseconds(1500)));
}
