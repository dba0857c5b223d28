/** @file stream_origin_table_base.h  Services and software versions at which streams began, in memory. A stream may go
 * on only at an endpoint of that service and version. No I/O, no clock. */
#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** Identifies a stream. */
struct StreamKey
{
    std::string request; ///< Request id of the attempt that received the first event.
    std::string customer; ///< Customer that owns the stream; empty on open routes without a key.
    auto operator<=>(const StreamKey &) const = default;
};

/** The endpoint that sent the first event of a stream. */
struct StreamOrigin
{
    std::string service; ///< Its service.
    std::string version; ///< Its software version; never empty.
    bool operator==(const StreamOrigin &) const = default;
};

class StreamOriginTable
{
public:
    /** A full table drops the entry that expires first. */
    static constexpr std::size_t MaxEntries = 50000;
    /** Bounds the memory of a full table; streams with longer request ids can't be resumed. */
    static constexpr std::size_t MaxRequestIdBytes = 128;

    /** Ignores an empty request id, which identifies no stream, and one that is too long.
     * @param ttl time after which the stream isn't resumed any more. */
    void add(Instant now, const StreamKey &stream, const StreamOrigin &origin, Duration ttl);
    /** Empty if the origin isn't known, or if several were added for the stream. */
    [[nodiscard]] std::optional<StreamOrigin> find(Instant now, const StreamKey &stream) const;
    [[nodiscard]] std::size_t size() const
    {
        return this->entries.size();
    }

private:
    struct Entry
    {
        StreamOrigin origin; ///< The version is empty if several origins were added.
        Instant expiresAt{0}; ///< Key of this entry in `expiries`.
    };

    std::map<StreamKey, Entry> entries;
    std::multimap<Instant, StreamKey> expiries; ///< Keys of all entries by expiry.
};

} // namespace Chestnuthook
