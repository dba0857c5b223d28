/** @file event_ring_base.cpp  Ring buffer of events and its JSON representation. */
#include "observe/event_ring_base.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace Chestnuthook
{

namespace
{

/** Length in bytes of the UTF-8 sequence at the start of @p text; 0 if it is not valid. */
std::size_t utf8SequenceLength(std::string_view text)
{
    const auto byteAt = [text](std::size_t i) {
        return static_cast<unsigned char>(text[i]);
    };
    const unsigned char lead = byteAt(0);
    std::size_t length = 0;
    unsigned char minSecondByte = 0x80;
    unsigned char maxSecondByte = 0xbf;
    if (lead < 0x80) {
        return 1;
    }
    if (lead >= 0xc2 && lead <= 0xdf) {
        length = 2;
    } else if (lead >= 0xe0 && lead <= 0xef) {
        length = 3;
        minSecondByte = lead == 0xe0 ? 0xa0 : minSecondByte;
        maxSecondByte = lead == 0xed ? 0x9f : maxSecondByte;
    } else if (lead >= 0xf0 && lead <= 0xf4) {
        length = 4;
        minSecondByte = lead == 0xf0 ? 0x90 : minSecondByte;
        maxSecondByte = lead == 0xf4 ? 0x8f : maxSecondByte;
    }
    if (length == 0 || text.size() < length || byteAt(1) < minSecondByte || byteAt(1) > maxSecondByte) {
        return 0;
    }
    for (std::size_t i = 2; i < length; ++i) {
        if ((byteAt(i) & 0xc0U) != 0x80U) {
            return 0;
        }
    }
    return length;
}

} // namespace

std::string jsonQuoted(std::string_view text)
{
    std::string quoted = "\"";
    while (!text.empty()) {
        const std::size_t length = utf8SequenceLength(text);
        const auto byte = static_cast<unsigned char>(text.front());
        if (length == 0) {
            quoted += "\\ufffd";
        } else if (byte == '"' || byte == '\\') {
            quoted += '\\';
            quoted += text.front();
        } else if (byte < 0x20 || byte == 0x7f) {
            std::array<char, 8> escape{};
            std::snprintf(escape.data(), escape.size(), "\\u%04x", static_cast<unsigned int>(byte));
            quoted += escape.data();
        } else {
            quoted += text.substr(0, length);
        }
        text.remove_prefix(std::max<std::size_t>(length, 1));
    }
    quoted += '"';
    return quoted;
}

EventRing::EventRing(std::size_t eventCapacity)
    : capacity(std::max<std::size_t>(eventCapacity, 1))
{
}

std::uint64_t EventRing::append(Event event)
{
    Event oldest; // Destroyed only after the mutex is unlocked.
    const std::lock_guard lock(this->mutex);
    event.sequence = ++this->lastSequence;
    if (this->events.size() == this->capacity) {
        oldest = std::move(this->events.front());
        this->events.pop_front();
    }
    this->events.push_back(std::move(event));
    return this->lastSequence;
}

std::vector<Event> EventRing::since(std::uint64_t sinceSequence, std::size_t limit) const
{
    const std::lock_guard lock(this->mutex);
    if (this->events.empty() || sinceSequence >= this->lastSequence) {
        return {};
    }
    const std::uint64_t oldest = this->events.front().sequence;
    const std::size_t skip = sinceSequence < oldest ? 0 : static_cast<std::size_t>(sinceSequence - oldest + 1);
    const std::size_t count = std::min(limit, this->events.size() - skip);
    const auto begin = this->events.begin() + static_cast<std::ptrdiff_t>(skip);
    return std::vector<Event>(begin, begin + static_cast<std::ptrdiff_t>(count));
}

std::string EventRing::toJson(std::uint64_t sinceSequence, std::size_t limit) const
{
    std::uint64_t oldest = 0;
    {
        const std::lock_guard lock(this->mutex);
        oldest = this->events.empty() ? this->lastSequence + 1 : this->events.front().sequence;
    }
    const std::vector<Event> found = this->since(sinceSequence, limit);
    if (!found.empty()) {
        // Events may have been dropped between the two times the mutex was held.
        oldest = found.front().sequence > sinceSequence + 1 ? found.front().sequence : oldest;
    }
    const std::uint64_t next = found.empty() ? sinceSequence : found.back().sequence;
    std::string json = "{\"oldest\":" + std::to_string(oldest) + ",\"next_since\":" + std::to_string(next)
        + ",\"lost\":" + (oldest > sinceSequence + 1 ? "true" : "false") + ",\"events\":[";
    bool firstEvent = true;
    for (const Event &event : found) {
        json += firstEvent ? "" : ",";
        firstEvent = false;
        json += "{\"sequence\":" + std::to_string(event.sequence) + ",\"hlc\":" + jsonQuoted(event.hybridTime.toText())
            + ",\"wall_ms\":" + std::to_string(event.wallMs) + ",\"process\":" + jsonQuoted(event.process)
            + ",\"kind\":" + jsonQuoted(nameOf(event.kind)) + ",\"level\":" + jsonQuoted(nameOf(eventLevel(event.kind)))
            + ",\"fields\":{";
        bool firstField = true;
        for (const auto &[name, value] : event.fields) {
            json += firstField ? "" : ",";
            firstField = false;
            json += jsonQuoted(name) + ":" + jsonQuoted(value);
        }
        json += "}}";
    }
    json += "]}";
    return json;
}

} // namespace Chestnuthook
