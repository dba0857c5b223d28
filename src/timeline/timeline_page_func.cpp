/** @file timeline_page_func.cpp  Renders the HTML page by inserting the events as JSON into a template. */
#include "timeline/timeline_type.h"

#include "observe/event_ring_base.h"
#include "timeline/timeline_page_template.h"

namespace Chestnuthook
{

namespace
{

/** Escapes `<` in @p json, which could otherwise start the end tag of the enclosing script element. */
std::string escapeForScript(const std::string &json)
{
    std::string escaped;
    for (const char c : json) {
        if (c == '<') {
            escaped += "\\u003c";
        } else {
            escaped += c;
        }
    }
    return escaped;
}

std::string eventJson(const TimelineEvent &event)
{
    std::string json = "[" + jsonQuoted(event.time.toText()) + "," + std::to_string(event.wallMs) + ","
        + jsonQuoted(event.process) + "," + jsonQuoted(event.kind) + "," + jsonQuoted(event.level) + ",{";
    std::string separator;
    for (const auto &[name, value] : event.fields) {
        json += separator + jsonQuoted(name) + ":" + jsonQuoted(value);
        separator = ",";
    }
    return json + "}]";
}

void replaceFirst(std::string &text, std::string_view placeholder, const std::string &replacement)
{
    text.replace(text.find(placeholder), placeholder.size(), replacement);
}

} // namespace

std::string timelinePage(const Timeline &timeline)
{
    std::string events;
    for (const TimelineEvent &event : timeline.events) {
        events += (events.empty() ? "" : ",\n") + eventJson(event);
    }
    std::string notes;
    for (const std::string &note : timeline.notes) {
        notes += (notes.empty() ? "" : ",") + jsonQuoted(note);
    }
    std::string page(TimelinePageTemplate);
    replaceFirst(page, "/*NOTES*/", escapeForScript(notes));
    replaceFirst(page, "/*EVENTS*/", escapeForScript(events));
    return page;
}

} // namespace Chestnuthook
