/** @file event_split_func.h  Finds whole events in the bytes of an event stream, and their data. Pure. */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Chestnuthook
{

struct StreamEvent
{
    std::string id; ///< Empty where it has none.
    std::string data; ///< Lines of data, joined by line feeds.
    bool hasData = false; ///< Else a comment or a field of its own.
};

/** Cuts the bytes of a stream into events as they come. */
class EventSplitter
{
public:
    /** Takes @p bytes. @return all bytes up to the end of the last whole event; the rest waits. The events in them are
     * added to @p events. */
    [[nodiscard]] std::string take(std::string_view bytes, std::vector<StreamEvent> &events);
    /** Bytes after the last whole event. */
    [[nodiscard]] const std::string &rest() const
    {
        return this->pending;
    }
    void clearRest()
    {
        this->pending.clear();
    }

private:
    std::string pending; ///< An event that isn't whole yet.
};

[[nodiscard]] StreamEvent parseEvent(std::string_view text);

} // namespace Chestnuthook
