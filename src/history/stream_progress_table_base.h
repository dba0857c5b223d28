/** @file stream_progress_table_base.h  Events of streams whose turns will be kept, in the memory of a history member.
 * No I/O, no clock. */
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/timer_type.h"
#include "history/stream_origin_table_base.h"
#include "history/stream_progress_type.h"

namespace Chestnuthook
{

/** A stream is known only to members that have held it since it began: after a restart a member never learns of it
 * again. So the members that know it know all resumptions that a majority has accepted. */
class StreamProgressTable
{
public:
    /** Most bytes of all streams together. */
    static constexpr std::size_t DefaultMaxBytes = 12U << 20U;
    /** Most bytes of one stream with all its resumptions. Bounds what a gateway gets to read. */
    static constexpr std::size_t MaxStreamBytes = 1U << 20U;

    explicit StreamProgressTable(std::size_t maxBytes = DefaultMaxBytes)
        : maxBytes(maxBytes)
    {
    }

    /** Adds the stream that the request `stream.request` begins. A full table refuses it.
     * @param members number of members that are told.
     * @param ttl time after which the stream isn't resumed any more. @return whether it is held. */
    bool begin(Instant now, const StreamKey &stream, std::uint64_t turn, unsigned members, Duration ttl);
    /** Adds events at the end of those of the branch @p request. @param position number of events before them.
     * @return whether they are held; false if events before them are missing or the table is full. */
    bool add(
        const StreamKey &stream, const std::string &request, std::size_t position, std::vector<StreamPiece> pieces);
    /** Adds a resumption. @return whether it is held; false if the stream or its request id can't be used. */
    bool resume(const StreamKey &stream, StreamBranch branch);
    /** Removes a resumption that has brought its client no event. */
    void withdraw(const StreamKey &stream, const std::string &request);
    /** Empty if the stream isn't held from its beginning on. */
    [[nodiscard]] std::optional<StreamProgress> find(Instant now, const StreamKey &stream);
    [[nodiscard]] std::size_t bytes() const
    {
        return this->usedBytes;
    }

private:
    struct Entry
    {
        StreamProgress progress; ///< The stream.
        std::size_t bytes = 0; ///< Its share of `usedBytes`.
    };

    void expire(Instant now);
    /** @return whether there is room for @p count further bytes of @p entry, which are then used. */
    [[nodiscard]] bool reserve(Entry &entry, std::size_t count);

    std::size_t maxBytes; ///< Limit of `usedBytes`.
    std::size_t usedBytes = 0; ///< Sum of the bytes of all entries.
    std::map<StreamKey, Entry> entries;
    std::multimap<Instant, StreamKey> expiries; ///< Keys of all entries by expiry.
};

} // namespace Chestnuthook
