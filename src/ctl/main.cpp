/** @file main.cpp  chestnuthook-ctl: the operators' command line. */
#include <iostream>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "core/settings_func.h"
#include "ctl/ctl_command_func.h"
#include "table/error_table.h"

DEFINE_string(controls, "127.0.0.1:7600", "Addresses of the control members, comma-separated.");
DEFINE_string(secret_file, "", "File with the fleet's secret; else CHESTNUTHOOK_SECRET.");

namespace
{

using namespace Chestnuthook;

const std::vector<SettingCheck> Settings = {
    {"controls", "network", addressListCheck(), "give ip:port of each control member, comma-separated"},
    {"secret_file", "security", {}, "name a readable file, or set CHESTNUTHOOK_SECRET"},
};

} // namespace

int main(int argc, char **argv)
{
    const SettingsOutcome outcome = loadSettings(argc, argv, Settings, {"CHESTNUTHOOK_SECRET"});
    if (const auto code = reportSettings(outcome)) {
        return *code;
    }
    const std::vector<std::string> words(argv + 1, argv + argc);
    const bool offline = !words.empty() && words[0] == "validate";
    const Result<std::string> secret = offline ? Result<std::string>("none") : loadSecret("secret", FLAGS_secret_file);
    if (!secret) {
        std::cerr << errorText(secret.error()) << '\n';
        return errorRow(secret.error().kind).exitCode;
    }
    CtlSession session(*secret, splitList(FLAGS_controls));
    return static_cast<int>(runCtlCommand(session, words));
}
