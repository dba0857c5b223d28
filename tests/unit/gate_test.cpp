/** @file gate_test.cpp  Who passes the gate, and that a change of the secret leaves no moment in which nobody does. */
#define BOOST_TEST_MODULE gate
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <kj/async-io.h>

#include "rpc/gate_func.h"
#include "support/process_fleet.h"

using namespace Chestnuthook;

namespace
{

/** Whether a client with @p client's text of secrets passes the gate of a server with @p server's. */
bool passes(kj::WaitScope &scope, const std::string &client, const std::string &server)
{
    FleetSecurity serving(server, {});
    FleetSecurity calling(client, {});
    try {
        passGate(makeGate(serving, OfferedServices{}), calling.secrets(), "test").wait(scope);
    } catch (const kj::Exception &exception) {
        return false;
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_CASE(only_a_shared_secret_passes)
{
    auto io = kj::setupAsyncIo();
    BOOST_TEST(passes(io.waitScope, "old", "old"));
    BOOST_TEST(!passes(io.waitScope, "old", "new"));
    BOOST_TEST(!passes(io.waitScope, "", "new"));
    BOOST_TEST(!passes(io.waitScope, "ol", "old"));
}

BOOST_AUTO_TEST_CASE(each_step_of_a_change_passes_with_the_step_before_it_both_ways)
{
    auto io = kj::setupAsyncIo();
    const std::vector<std::string> steps = {"old", "old\nnew", "new\nold", "new"};
    for (std::size_t i = 0; i + 1 < steps.size(); ++i) {
        BOOST_TEST(passes(io.waitScope, steps[i], steps[i + 1]), steps[i]);
        BOOST_TEST(passes(io.waitScope, steps[i + 1], steps[i]), steps[i]);
    }
    BOOST_TEST(!passes(io.waitScope, steps.front(), steps.back()));
}

BOOST_AUTO_TEST_CASE(a_changed_file_is_read_and_an_empty_one_keeps_the_secrets_in_use)
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
