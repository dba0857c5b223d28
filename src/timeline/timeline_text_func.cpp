/** @file timeline_text_func.cpp  Text and trace event JSON. */
#include "timeline/timeline_type.h"

#include <map>

#include "observe/event_ring_base.h"
#include "observe/log_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::int64_t UsPerMs = 1000;

std::map<std::string, int> processNumbers(const Timeline &timeline)
{
    std::map<std::string, int> numbers;
    for (const TimelineEvent &event : timeline.events) {
        numbers.emplace(event.process, 0);
    }
    int next = 1;
    for (auto &[process, number] : numbers) {
        number = next++;
    }
    return numbers;
}

std::string fieldsJson(const TimelineEvent &event)
{
    std::string json = "{\"hlc\":" + jsonQuoted(event.time.toText()) + ",\"level\":" + jsonQuoted(event.level);
    for (const auto &[name, value] : event.fields) {
        json += "," + jsonQuoted(name) + ":" + jsonQuoted(value);
    }
    return json + "}";
}

/** The begin (`b`) or end (`e`) of a span, or an instant (`i`). */
std::string phaseOf(const TimelineEvent &event)
{
    if (event.kind == "call_accepted" || event.kind == "program_created") {
        return "b";
    }
    return event.kind == "call_ended" || event.kind == "program_ended" ? "e" : "i";
}

std::string traceEvent(const TimelineEvent &event, int process)
{
    const std::string phase = phaseOf(event);
    const std::string call = event.field("call");
    const std::string spanName = call.empty() ? "program" : "call " + call;
    const std::int64_t us = event.time.wallMs * UsPerMs + std::min<std::int64_t>(event.time.counter, UsPerMs - 1);
    std::string json = "{\"name\":" + jsonQuoted(phase == "i" ? event.kind : spanName)
        + ",\"cat\":" + jsonQuoted(phase == "i" ? event.level : "program") + ",\"ph\":\"" + phase
        + "\",\"ts\":" + std::to_string(us) + ",\"pid\":" + std::to_string(process) + ",\"tid\":1";
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
    const std::map<std::string, int> numbers = processNumbers(timeline);
    std::string json = "{\"displayTimeUnit\":\"ms\",\"traceEvents\":[";
    std::string separator;
    for (const auto &[process, number] : numbers) {
        json += separator + R"({"name":"process_name","ph":"M","pid":)" + std::to_string(number)
            + R"(,"tid":1,"args":{"name":)" + jsonQuoted(process) + "}}";
        separator = ",\n";
    }
    for (const TimelineEvent &event : timeline.events) {
        json += separator + traceEvent(event, numbers.at(event.process));
        separator = ",\n";
    }
    return json + "]}\n";
}

} // namespace Chestnuthook
