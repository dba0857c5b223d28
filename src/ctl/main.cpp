/** @file main.cpp  Entry point of chestnuthook-ctl, the command-line tool for operators. */
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <gflags/gflags.h>
#include <unistd.h>

#include "core/settings_func.h"
#include "ctl/ctl_command_func.h"
#include "rpc/fleet_security_base.h"
#include "table/error_table.h"

DEFINE_string(controls, "127.0.0.1:7600", "Addresses of the control members, comma-separated.");
DEFINE_string(secret_file, "", "File with the fleet's secret; else CHESTNUTHOOK_SECRET.");
DEFINE_string(output, "text", "Form of the output: text or json.");
DEFINE_int64(expect, -1, "Revision that apply expects to replace; -1 for the one that it reads.");
DEFINE_string(request_id, "", "Id of the change; a resend under the same id gets the first answer.");
DEFINE_int64(wait_ms, 5000, "How long a change waits until it is in force on all entries.");
DEFINE_string(note, "", "Note kept with an issued key; never the key itself.");
DEFINE_int64(limit, 100, "Most programs that are listed.");

namespace
{

using namespace Chestnuthook;

constexpr std::int64_t MaxWaitMs = 600'000;
constexpr std::int64_t MaxListed = 1'000'000;

const std::vector<SettingCheck> Settings = {
    {"controls", "network", addressListCheck(), "give ip:port of each control member, comma-separated"},
    {"secret_file", "security", {}, "name a readable file, or set CHESTNUTHOOK_SECRET"},
    {"output", "output", oneOfCheck({"text", "json"}), "say text or json"},
    {"limit", "output", rangeCheck(1, MaxListed), "give a number of programs"},
    {"expect", "changes", rangeCheck(-1, INT64_MAX), "give the revision that diff showed"},
    {"request_id", "changes", {}, "give any text that names this change only"},
    {"wait_ms", "changes", rangeCheck(0, MaxWaitMs), "give milliseconds, at most 600000"},
    {"note", "changes", {}, "give a short text"},
};

CtlOptions readOptions()
{
    CtlOptions options;
    options.controls = splitList(FLAGS_controls);
    if (FLAGS_expect >= 0) {
        options.expectedRevision = static_cast<std::uint64_t>(FLAGS_expect);
    }
    options.requestId = FLAGS_request_id;
    options.wait = std::chrono::milliseconds(FLAGS_wait_ms);
    options.note = FLAGS_note;
    options.limit = static_cast<std::size_t>(FLAGS_limit);
    options.json = FLAGS_output == "json";
    options.colour = isatty(STDOUT_FILENO) == 1 && std::getenv("NO_COLOR") == nullptr;
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    SettingsOutcome outcome = loadSettings(argc, argv, withFleetSecuritySettings(Settings), {"CHESTNUTHOOK_SECRET"});
    if (!outcome.help.empty()) {
        outcome.help.insert(0, ctlVerbsHelp());
    }
    if (const auto code = reportSettings(outcome)) {
        return *code;
    }
    const Words words(argv + 1, argv + argc);
    const Result<std::string> secret =
        isOfflineCommand(words) ? Result<std::string>("none") : loadSecret("secret", FLAGS_secret_file);
    if (!secret) {
        std::cerr << errorText(secret.error()) << '\n';
        return errorRow(secret.error().kind).exitCode;
    }
    CtlSession session(*secret, splitList(FLAGS_controls));
    return static_cast<int>(runCtlCommand(session, readOptions(), words));
}
