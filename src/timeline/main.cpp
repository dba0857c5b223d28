/** @file main.cpp  chestnuthook-timeline: merges the events of all processes and writes them as text, as trace event
 * JSON and as an HTML page. */
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "core/settings_func.h"
#include "table/error_table.h"
#include "timeline/timeline_source_func.h"
#include "timeline/timeline_type.h"

DEFINE_string(sources, "", "Addresses of entries for callers, comma-separated.");
DEFINE_string(controls, "", "Addresses of the control members, comma-separated; they need the secret.");
DEFINE_string(logs, "", "Log files, comma-separated, for processes that have died.");
DEFINE_string(secret_file, "", "File with the fleet's secret; else CHESTNUTHOOK_SECRET.");
DEFINE_string(program, "", "Follow this program, its attempts and its sub-agents.");
DEFINE_string(tenant, "", "Follow this tenant and its programs.");
DEFINE_string(endpoint, "", "Follow this endpoint, ip:port.");
DEFINE_string(key_id, "", "Follow the key of this id.");
DEFINE_string(html, "", "File for the page; its text goes to standard output in any case.");
DEFINE_string(trace, "", "File for the trace JSON.");

namespace
{

using namespace Chestnuthook;

const std::vector<SettingCheck> Settings = {
    {"sources", "sources", addressListCheck(true), "give ip:port of each entry, comma-separated"},
    {"controls", "sources", addressListCheck(true), "give ip:port of each control member, comma-separated"},
    {"logs", "sources", {}, "name readable files, comma-separated"},
    {"secret_file", "security", {}, "name a readable file, or set CHESTNUTHOOK_SECRET"},
    {"program", "filter", {}, "give the id of a program"},
    {"tenant", "filter", {}, "give the name of a tenant"},
    {"endpoint", "filter", {}, "give ip:port of an endpoint"},
    {"key_id", "filter", {}, "give the id that keys list shows, never the key"},
    {"html", "output", {}, "name a file that this user may write"},
    {"trace", "output", {}, "name a file that this user may write"},
};

std::vector<std::string> splitOptionalList(const std::string &text)
{
    return text.empty() ? std::vector<std::string>() : splitList(text);
}

bool writeFile(const std::string &path, const std::string &text)
{
    if (path.empty()) {
        return true;
    }
    std::ofstream file(path, std::ios::binary);
    file << text;
    file.close();
    if (!file) {
        std::cerr << path << " can't be written; remedy: name a file that this user may write\n";
        return false;
    }
    return true;
}

Result<Timeline> readTimeline()
{
    Timeline timeline;
    for (const std::string &address : splitOptionalList(FLAGS_sources)) {
        readEntryEvents(address, timeline);
    }
    if (!FLAGS_controls.empty()) {
        const Result<std::string> secret = loadSecret("secret", FLAGS_secret_file);
        if (!secret) {
            return tl::unexpected(secret.error());
        }
        readControlEvents(*secret, splitOptionalList(FLAGS_controls), timeline);
    }
    for (const std::string &path : splitOptionalList(FLAGS_logs)) {
        readLogFile(path, timeline);
    }
    mergeEvents(timeline.events);
    timeline.events = filterEvents(timeline.events, {FLAGS_program, FLAGS_tenant, FLAGS_endpoint, FLAGS_key_id});
    return timeline;
}

} // namespace

int main(int argc, char **argv)
{
    SettingsOutcome outcome = loadSettings(argc, argv, Settings, {"CHESTNUTHOOK_SECRET"});
    rejectPositionalArguments(outcome, argc, argv);
    if (const auto code = reportSettings(outcome)) {
        return *code;
    }
    if (FLAGS_sources.empty() && FLAGS_controls.empty() && FLAGS_logs.empty()) {
        std::cerr << "bad_setting: no event sources are configured; give --sources, --controls or --logs\n";
        return errorRow(ErrorKind::BadSetting).exitCode;
    }
    const Result<Timeline> timeline = readTimeline();
    if (!timeline) {
        std::cerr << errorText(timeline.error()) << '\n';
        return errorRow(timeline.error().kind).exitCode;
    }
    std::cout << timelineText(*timeline);
    const bool written =
        writeFile(FLAGS_html, timelinePage(*timeline)) && writeFile(FLAGS_trace, timelineTrace(*timeline));
    for (const std::string &note : timeline->notes) {
        std::cerr << "note: " << note << '\n';
    }
    return written && !timeline->partial ? EXIT_SUCCESS : EXIT_FAILURE;
}
