/** @file security_link_test.cpp  TLS between the fleet's processes, and replacement of certificates and secrets at run
 * time. */
#define BOOST_TEST_MODULE security_link
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "rpc/control_loop_base.h"
#include "support/certificate_func.h"
#include "support/process_fleet.h"

using namespace Chestnuthook;
using namespace Chestnuthook::Testing;

namespace
{

const std::string FirstSecret = "a secret of this test fleet";
const std::string SecondSecret = "another secret of this test fleet";

std::vector<std::string> tlsFlags(const std::string &certificate, const std::string &authority)
{
    return {"--fleet_certificate=" + certificate + ".crt", "--fleet_key=" + certificate + ".key",
        "--fleet_trust=" + authority + ".crt"};
}

/** Lists keys by chestnuthook-ctl with @p flags in place of the fleet's own. */
CommandResult listKeys(const ProcessFleet &fleet, std::vector<std::string> flags)
{
    flags.push_back("--controls=" + fleet.controlAddresses[0]);
    flags.insert(flags.end(), {"keys", "list"});
    return runCommand("chestnuthook-ctl", flags, {"CHESTNUTHOOK_SECRET=" + FirstSecret});
}

void replaceFile(const std::string &path, const std::string &text)
{
    std::ofstream(path + ".new") << text;
    std::filesystem::rename(path + ".new", path);
}

/** Restarts entry 0, which must then open new connections to all other processes. @return whether it serves again. */
bool restartedEntryServes(ProcessFleet &fleet)
{
    fleet.processes.at("entry-0")->signal(SIGKILL);
    fleet.processes.at("entry-0")->wait();
    fleet.startEntry(0);
    return waitUntil([&]() {
        return fleet.ask(0, "POST", "/v1/programs", "{}").status == 201;
    });
}

} // namespace

BOOST_AUTO_TEST_CASE(tls_requires_a_fleet_certificate_and_certificates_can_be_replaced)
{
    const TemporaryFolder folder;
    const std::string authority = folder.path + "/authority";
    const std::string member = folder.path + "/member";
    writeCertificate(authority, "authority of the fleet");
    writeCertificate(member, FleetSecurity::FleetServerName, authority);
    const std::string other = folder.path + "/other";
    writeCertificate(other, "another authority");
    writeCertificate(folder.path + "/stranger", FleetSecurity::FleetServerName, other);
    FleetOptions size;
    size.entries = 2;
    size.entryFlags = size.controlFlags = size.ctlFlags = tlsFlags(member, authority);
    ProcessFleet fleet(size);
    BOOST_TEST(fleet.createProgram(0) != "");
    BOOST_TEST(fleet.ctl({"keys", "list"}).exitCode == 0);
    const CommandResult plain = listKeys(fleet, {});
    BOOST_TEST(plain.exitCode != 0, plain.output);
    const CommandResult foreignCertificate = listKeys(fleet, tlsFlags(folder.path + "/stranger", authority));
    BOOST_TEST(foreignCertificate.exitCode != 0, foreignCertificate.output);
    const CommandResult wrongAuthority = listKeys(fleet, tlsFlags(member, other));
    BOOST_TEST(wrongAuthority.exitCode != 0, wrongAuthority.output);
    // Running processes load a new certificate of a second authority; in the end only the second authority is trusted.
    const std::string second = folder.path + "/second";
    writeCertificate(second, "second authority of the fleet");
    replaceFile(authority + ".crt", readFile(authority + ".crt") + readFile(second + ".crt"));
    BOOST_TEST(restartedEntryServes(fleet));
    writeCertificate(folder.path + "/next", FleetSecurity::FleetServerName, second);
    replaceFile(member + ".key", readFile(folder.path + "/next.key"));
    replaceFile(member + ".crt", readFile(folder.path + "/next.crt"));
    BOOST_TEST(restartedEntryServes(fleet));
    BOOST_TEST(waitUntil([&]() {
        return listKeys(fleet, tlsFlags(folder.path + "/next", second)).exitCode == 0;
    }));
}

BOOST_AUTO_TEST_CASE(secret_can_be_replaced_in_three_steps_while_serving)
{
    ProcessFleet fleet;
    const std::string path = fleet.folder + "/secret";
    const std::vector<std::vector<std::string>> steps = {
        {FirstSecret, SecondSecret}, {SecondSecret, FirstSecret}, {SecondSecret}};
    for (const std::vector<std::string> &step : steps) {
        replaceFile(path, step.front() + (step.size() > 1 ? "\n" + step.back() : ""));
        BOOST_TEST(restartedEntryServes(fleet));
        BOOST_TEST(fleet.ctl({"keys", "list"}).exitCode == 0);
    }
    BOOST_TEST(waitUntil([&]() {
        return listKeys(fleet, {}).exitCode != 0;
    }));
    BOOST_TEST(fleet.ctl({"keys", "list"}).exitCode == 0);
}
