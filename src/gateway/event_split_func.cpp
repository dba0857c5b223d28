/** @file event_split_func.cpp  Parser for server-sent events. */
#include "gateway/event_split_func.h"

namespace Chestnuthook
{

namespace
{

/** Position after the blank line that ends the event starting at @p from; npos if the event is incomplete. */
std::size_t findEventEnd(std::string_view text, std::size_t from)
{
    std::size_t line = from;
    while (true) {
        const std::size_t end = text.find('\n', line);
        if (end == std::string_view::npos) {
            return std::string_view::npos;
        }
        const bool blank = end == line || (end == line + 1 && text[line] == '\r');
        if (blank) {
            return end + 1;
        }
        line = end + 1;
    }
}

} // namespace

StreamEvent parseEvent(std::string_view text)
{
    StreamEvent event;
    std::size_t at = 0;
    while (at < text.size()) {
        const std::size_t end = std::min(text.find('\n', at), text.size());
        std::string_view line = text.substr(at, end - at);
        at = end + 1;
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || colon == 0) {
            continue;
        }
        std::string_view value = line.substr(colon + 1);
        if (value.starts_with(' ')) {
            value.remove_prefix(1);
        }
        if (line.starts_with("data:")) {
            event.data += event.hasData ? "\n" : "";
            event.data += value;
            event.hasData = true;
        } else if (line.starts_with("id:")) {
            event.id = value;
        }
    }
    return event;
}

std::string EventSplitter::append(std::string_view bytes, std::vector<StreamEvent> &events)
{
    this->pending += bytes;
    std::size_t whole = 0;
    for (std::size_t end = findEventEnd(this->pending, 0); end != std::string::npos;
         end = findEventEnd(this->pending, whole)) {
        events.push_back(parseEvent(std::string_view(this->pending).substr(whole, end - whole)));
        whole = end;
    }
    std::string ready = this->pending.substr(0, whole);
    this->pending.erase(0, whole);
    return ready;
}

} // namespace Chestnuthook
