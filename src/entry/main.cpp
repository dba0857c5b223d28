/** @file main.cpp  chestnuthook-entry: serves client requests, runs programs and dispatches calls to endpoints. */
#include <cstdlib>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "core/hash_func.h"
#include "core/settings_func.h"
#include "entry/entry_daemon_base.h"
#include "observe/log_func.h"
#include "rpc/fleet_security_base.h"
#include "table/error_table.h"

DEFINE_string(listen, "127.0.0.1:8080", "Address for callers, ip:port.");
DEFINE_string(rpc_listen, "127.0.0.1:8081", "Address for the other entries, ip:port.");
DEFINE_string(controls, "127.0.0.1:7600", "Addresses of the control members, comma-separated.");
DEFINE_string(platform, "127.0.0.1:7700", "Address of the platform's instance list, ip:port.");
DEFINE_string(entry, "entry-1", "Name of this instance.");
DEFINE_string(data_centre, "local", "Data centre of this instance.");
DEFINE_string(secret_file, "", "File with the fleet's secret; else CHESTNUTHOOK_SECRET.");
DEFINE_string(tls_certificate, "", "PEM file with the certificate shown to callers; empty: no TLS.");
DEFINE_string(tls_key, "", "PEM file with the certificate's key.");
DEFINE_int64(max_connections, 1024, "Open connections of all callers.");
DEFINE_int64(max_connections_per_caller, 512, "Open connections from one address.");
DEFINE_int64(max_header_bytes, 32768, "Bytes of a request's header.");
DEFINE_int64(request_send_ms, 10000, "Time in which a caller must send a whole request, in milliseconds.");
DEFINE_string(log_file, "", "File that gets the log lines besides standard output.");
DEFINE_string(log_level, "info", "Lowest level of events that are logged: debug, info, warning or error.");

namespace
{

using namespace Chestnuthook;

const std::vector<SettingCheck> Settings = {
    {"listen", "network", addressCheck(), "give an IPv4 address and a free port, such as 127.0.0.1:8080"},
    {"rpc_listen", "network", addressCheck(), "give an IPv4 address and a free port, such as 127.0.0.1:8081"},
    {"controls", "network", addressListCheck(), "give ip:port of each control member, comma-separated"},
    {"platform", "network", addressCheck(), "give ip:port of the platform's instance list"},
    {"entry", "identity", nonEmptyCheck(), "give a name that no other entry has"},
    {"data_centre", "identity", nonEmptyCheck(), "name the data centre of this instance"},
    {"secret_file", "security", {}, "name a readable file, or set CHESTNUTHOOK_SECRET"},
    {"tls_certificate", "security", {}, "set this to a PEM file, and tls_key to its private key"},
    {"tls_key", "security", {}, "set this to a PEM file, and tls_certificate to its certificate"},
    {"max_connections", "limits", rangeCheck(1, 100000), "give a number from 1; each connection occupies a thread"},
    {"max_connections_per_caller", "limits", rangeCheck(1, 100000), "give a number from 1"},
    {"max_header_bytes", "limits", rangeCheck(1024, 1048576), "give a number of bytes from 1024 to 1048576"},
    {"request_send_ms", "limits", rangeCheck(100, 600000), "give milliseconds from 100 to 600000"},
    {"log_file", "logging", {}, "name a file that this user may write"},
    {"log_level", "logging", oneOfCheck({"debug", "info", "warning", "error"}), "use debug, info, warning or error"},
};

EntrySettings settingsOf(std::string secret)
{
    EntrySettings settings;
    settings.address = FLAGS_listen;
    settings.rpcAddress = FLAGS_rpc_listen;
    settings.controls = splitList(FLAGS_controls);
    settings.platform = FLAGS_platform;
    // A new id for each process: after a restart, an entry must not act on the lease of its previous incarnation.
    settings.id = EntryId{FLAGS_entry + "." + randomHex(4)};
    settings.dataCentre = DataCentreId{FLAGS_data_centre};
    settings.secret = std::move(secret);
    settings.clientPort.tlsCertificate = FLAGS_tls_certificate;
    settings.clientPort.tlsKey = FLAGS_tls_key;
    settings.clientPort.limits.maxConnections = static_cast<int>(FLAGS_max_connections);
    settings.clientPort.limits.maxConnectionsPerAddress = static_cast<int>(FLAGS_max_connections_per_caller);
    settings.clientPort.limits.maxHeaderBytes = static_cast<std::size_t>(FLAGS_max_header_bytes);
    settings.clientPort.limits.sendTimeout = std::chrono::milliseconds(FLAGS_request_send_ms);
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    ControlLoop::captureSignals();
    const DaemonSettings start = loadDaemonSettings(argc, argv, withFleetSecuritySettings(Settings));
    if (start.exitCode) {
        return *start.exitCode;
    }
    initObserve("entry", FLAGS_entry, FLAGS_log_file);
    setLogLevel(*parseName<EventLevel>(FLAGS_log_level));
    const Result<void> ran = EntryDaemon(settingsOf(start.secret)).run();
    if (!ran) {
        logEvent(EventKind::ChildFailed, {{"error", errorText(ran.error())}});
    }
    flushObserve();
    return ran ? EXIT_SUCCESS : errorRow(ran.error().kind).exitCode;
}
