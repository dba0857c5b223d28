/** @file event_split_func.h  Splits a text/event-stream into events and parses them. Pure functions without I/O. */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Chestnuthook
{

struct StreamEvent
{
    std::string id; ///< Empty if the event has none.
    std::string data; ///< Values of the data lines, joined with line feeds.
    bool hasData = false; ///< False for comments and for events that have only other fields.
};

/** Incrementally splits the bytes of a stream into events. */
class EventSplitter
{
public:
    /** Appends @p bytes to the buffer. @return the buffered bytes up to the end of the last complete event, which are
     * removed from the buffer; the events in them are added to @p events. */
    [[nodiscard]] std::string append(std::string_view bytes, std::vector<StreamEvent> &events);
    /** Buffered bytes after the last complete event. */
    [[nodiscard]] const std::string &remainder() const
    {
        return this->pending;
    }
    /** Whether an event or a line has begun and not ended, so that a stream that ends here has been broken off. */
    [[nodiscard]] bool isInsideEvent() const;

private:
    std::string pending; ///< Start of an incomplete event.
    std::size_t lineStart = 0; ///< Start of the incomplete line at the end of `pending`.
};

[[nodiscard]] StreamEvent parseEvent(std::string_view text);

} // namespace Chestnuthook
