/** @file main.cpp  chestnuthook-control: one member of the replicated control state; needs durable storage. */
#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "control/control_service_base.h"
#include "core/settings_func.h"
#include "observe/log_func.h"
#include "rpc/control_loop_base.h"
#include "rpc/fleet_security_base.h"
#include "supervisor/supervisor_base.h"
#include "table/error_table.h"

DEFINE_string(listen, "127.0.0.1:7600", "Address of the control port, ip:port.");
DEFINE_string(data, "", "Data folder; everything durable lives below it.");
DEFINE_string(member, "control-1", "Name of this member.");
DEFINE_string(data_centre, "local", "Data centre of this instance.");
DEFINE_string(members, "", "Members of a new group, NAME=ip:port, comma-separated; empty: this one alone.");
DEFINE_bool(join, false, "Never found a group: wait to be added by chestnuthook-ctl members add.");
DEFINE_uint64(snapshot_entries, 10000, "Log entries between snapshots.");
DEFINE_bool(test_hooks, false, "Serve the hooks that tests use to drop this member's traffic.");
DEFINE_string(secret_file, "", "File with the fleet's secret; else CHESTNUTHOOK_SECRET.");
DEFINE_string(log_file, "", "File that gets the log lines besides standard output.");
DEFINE_string(log_level, "info", "Lowest level of events that are logged: debug, info, warning or error.");

namespace
{

using namespace Chestnuthook;

/** Parses `NAME=ip:port,…` into addresses by name; empty if @p list is malformed or empty. */
std::map<std::string, std::string> parseMembers(const std::string &list)
{
    std::map<std::string, std::string> members;
    for (const std::string &word : splitList(list)) {
        const std::size_t at = word.find('=');
        if (at == std::string::npos || at == 0 || addressCheck()(word.substr(at + 1))) {
            return {};
        }
        members[word.substr(0, at)] = word.substr(at + 1);
    }
    return members;
}

SettingCheckFunction memberListCheck()
{
    return [](const std::string &list) -> std::optional<std::string> {
        if (!list.empty() && parseMembers(list).empty()) {
            return "it is not a list of NAME=ip:port";
        }
        return std::nullopt;
    };
}

const std::vector<SettingCheck> Settings = {
    {"listen", "network", addressCheck(), "give an IPv4 address and a free port, such as 127.0.0.1:7600"},
    {"data", "storage", nonEmptyCheck(), "name a folder that this user may write, such as /var/lib/chestnuthook"},
    {"member", "identity", nonEmptyCheck(), "give a name that no other control member has"},
    {"members", "identity", memberListCheck(), "list the first members as NAME=ip:port, the same list at each of them"},
    {"join", "identity", {}, "set it at a member that is added to a running group"},
    {"snapshot_entries", "storage", rangeCheck(10, 10000000), "give a number such as 10000"},
    {"test_hooks", "testing", {}, "set it in tests only"},
    {"data_centre", "identity", nonEmptyCheck(), "name the data centre of this instance"},
    {"secret_file", "security", {}, "name a readable file, or set CHESTNUTHOOK_SECRET"},
    {"log_file", "logging", {}, "name a file that this user may write"},
    {"log_level", "logging", oneOfCheck({"debug", "info", "warning", "error"}), "use debug, info, warning or error"},
};

int reportFault(const Error &error)
{
    logEvent(EventKind::StorageFault, {{"error", errorText(error)}});
    return errorRow(error.kind).exitCode;
}

ReplicaSettings replicaSettings()
{
    ReplicaSettings replica;
    replica.name = FLAGS_member;
    replica.address = FLAGS_listen;
    replica.initialMembers = parseMembers(FLAGS_members);
    replica.join = FLAGS_join;
    replica.snapshotEntries = FLAGS_snapshot_entries;
    return replica;
}

/** Process of one control member. */
class MemberDaemon
{
public:
    explicit MemberDaemon(const std::string &secret)
        : loop(secret, FLAGS_member)
        , member(this->loop, replicaSettings(), FLAGS_test_hooks)
    {
    }

    /** Runs until SIGTERM or SIGINT. @return the exit code. */
    int run()
    {
        Supervisor root("control", RestartStrategy::RestForOne, {}, this->loop.timers(), this->children());
        const Result<void> started = root.start();
        if (!started) {
            return reportFault(started.error());
        }
        this->loop.onTerminate([this]() {
            logEvent(EventKind::ProcessStopping, {});
            this->loop.stop();
        });
        logEvent(EventKind::ProcessStarted, {{"listen", FLAGS_listen}, {"data", FLAGS_data}});
        this->loop.run();
        root.stop();
        return this->exitCode;
    }

private:
    /** Children of the supervisor in start order; each depends on those before it. */
    std::vector<ChildSpecification> children()
    {
        using Daemon = MemberDaemon;
        return {
            makeChildSpecification("state", *this, &Daemon::openState),
            makeChildSpecification("replication", *this, &Daemon::startReplication),
            makeChildSpecification("port", *this, &Daemon::startPort),
        };
    }

    Result<void> openState()
    {
        return this->member.open(FLAGS_data);
    }

    Result<void> startReplication()
    {
        this->member.start();
        return {};
    }

    Result<void> startPort()
    {
        OfferedServices services{makeControlService(this->member), this->member.node.makeService()};
        auto port = serveRpc(this->loop.rpc(), FLAGS_listen, kj::mv(services));
        this->loop.detach(port.catch_([this](kj::Exception &&exception) {
            this->exitCode = reportFault(Error{ErrorKind::AddressInUse, exception.getDescription().cStr(), Ran::No, 0});
            this->loop.stop();
        }));
        return {};
    }

    ControlLoop loop; ///< Event loop of the control thread.
    ControlMember member; ///< Replicated state and its service.
    int exitCode = EXIT_SUCCESS; ///< Set when the daemon stops because of an error.
};

} // namespace

int main(int argc, char **argv)
{
    ControlLoop::captureSignals();
    const DaemonSettings start = loadDaemonSettings(argc, argv, withFleetSecuritySettings(Settings));
    if (start.exitCode) {
        return *start.exitCode;
    }
    initObserve("control", FLAGS_member, FLAGS_log_file);
    setLogLevel(*parseName<EventLevel>(FLAGS_log_level));
    const int code = MemberDaemon(start.secret).run();
    flushObserve();
    return code;
}
