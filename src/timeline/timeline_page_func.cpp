/** @file timeline_page_func.cpp  The page: a template with the events as JSON in it. */
#include "timeline/timeline_type.h"

#include "observe/event_ring_base.h"
#include "timeline/timeline_page_template.h"

namespace Chestnuthook
{

namespace
{

/** JSON that may stand in a script element: `<` could begin its end tag. */
std::string scriptSafe(const std::string &json)
{
    std::string safe;
    for (const char c : json) {
        if (c == '<') {
            safe += "\\u003c";
        } else {
            safe += c;
        }
    }
    return safe;
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

void replaceOnce(std::string &text, std::string_view mark, const std::string &by)
{
    text.replace(text.find(mark), mark.size(), by);
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
    replaceOnce(page, "/*NOTES*/", scriptSafe(notes));
    replaceOnce(page, "/*EVENTS*/", scriptSafe(events));
    return page;
}

} // namespace Chestnuthook
