/** @file timeline_text_func.cpp  Formats a timeline as text and as trace event JSON. */
#include "timeline/timeline_type.h"

#include <map>

#include "observe/event_ring_base.h"
#include "observe/log_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::int64_t UsPerMs = 1000;

std::map<std::string, int> assignTracePids(const Timeline &timeline)
{
    std::map<std::string, int> pids;
    for (const TimelineEvent &event : timeline.events) {
        pids.emplace(event.process, 0);
    }
    int nextPid = 1;
    for (auto &[process, pid] : pids) {
        pid = nextPid++;
    }
    return pids;
}

std::string fieldsJson(const TimelineEvent &event)
{
    std::string json = "{\"hlc\":" + jsonQuoted(event.time.toText()) + ",\"level\":" + jsonQuoted(event.level);
    for (const auto &[name, value] : event.fields) {
        json += "," + jsonQuoted(name) + ":" + jsonQuoted(value);
    }
    return json + "}";
}

/** Trace event phase of @p event: begin (`b`) or end (`e`) of an asynchronous span, or instant (`i`). */
std::string tracePhase(const TimelineEvent &event)
{
    if (event.kind == "call_accepted" || event.kind == "program_created") {
        return "b";
    }
    return event.kind == "call_ended" || event.kind == "program_ended" ? "e" : "i";
}

std::string traceEventJson(const TimelineEvent &event, int pid)
{
    const std::string phase = tracePhase(event);
    const std::string call = event.field("call");
    const std::string spanName = call.empty() ? "program" : "call " + call;
    const std::int64_t us = event.time.wallMs * UsPerMs + std::min<std::int64_t>(event.time.counter, UsPerMs - 1);
    std::string json = "{\"name\":" + jsonQuoted(phase == "i" ? event.kind : spanName)
        + ",\"cat\":" + jsonQuoted(phase == "i" ? event.level : "program") + ",\"ph\":\"" + phase
        + "\",\"ts\":" + std::to_string(us) + ",\"pid\":" + std::to_string(pid) + ",\"tid\":1";
    if (phase == "i") {
        json += ",\"s\":\"p\"";
    } else {
        json += ",\"id\":" + jsonQuoted(event.field("program"));
    }
    return json + ",\"args\":" + fieldsJson(event) + "}";
}

} // namespace

std::string timelineText(const Timeline &timeline)
{
    std::string text;
    for (const TimelineEvent &event : timeline.events) {
        text += isoTime(event.wallMs) + " " + event.time.toText() + " " + event.process + " " + event.kind;
        for (const auto &[name, value] : event.fields) {
            text += " " + name + "=" + logValue(value);
        }
        text += "\n";
    }
    for (const std::string &note : timeline.notes) {
        text += "# " + note + "\n";
    }
    return text;
}

std::string timelineTrace(const Timeline &timeline)
{
    const std::map<std::string, int> pids = assignTracePids(timeline);
    std::string json = "{\"displayTimeUnit\":\"ms\",\"traceEvents\":[";
    std::string separator;
    for (const auto &[process, pid] : pids) {
        json += separator + R"({"name":"process_name","ph":"M","pid":)" + std::to_string(pid)
            + R"(,"tid":1,"args":{"name":)" + jsonQuoted(process) + "}}";
        separator = ",\n";
    }
    for (const TimelineEvent &event : timeline.events) {
        json += separator + traceEventJson(event, pids.at(event.process));
        separator = ",\n";
    }
    return json + "]}\n";
}

} // namespace Chestnuthook
