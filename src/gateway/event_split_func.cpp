/** @file event_split_func.cpp  Parser for server-sent events. */
#include "gateway/event_split_func.h"

namespace Chestnuthook
{

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

bool EventSplitter::isInsideEvent() const
{
    if (this->lineStart != this->pending.size()) {
        return true;
    }
    for (std::size_t at = 0; at < this->pending.size(); at = this->pending.find('\n', at) + 1) {
        if (this->pending[at] != ':') { // Comments are no part of an event.
            return true;
        }
    }
    return false;
}

std::string EventSplitter::append(std::string_view bytes, std::vector<StreamEvent> &events)
{
    std::size_t searched = this->pending.size();
    this->pending += bytes;
    const std::string_view text = this->pending;
    std::size_t whole = 0;
    for (std::size_t end = text.find('\n', searched); end != std::string::npos; end = text.find('\n', searched)) {
        const bool isBlank = end == this->lineStart || (end == this->lineStart + 1 && text[this->lineStart] == '\r');
        searched = end + 1;
        this->lineStart = searched;
        if (isBlank) {
            events.push_back(parseEvent(text.substr(whole, searched - whole)));
            whole = searched;
        }
    }
    std::string ready = this->pending.substr(0, whole);
    this->pending.erase(0, whole);
    this->lineStart -= whole;
    return ready;
}

} // namespace Chestnuthook
