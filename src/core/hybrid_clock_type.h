/** @file hybrid_clock_type.h  Hybrid logical clock: wall-clock milliseconds with a counter. */
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace Chestnuthook
{

/** A timestamp. Text forms sort like their timestamps while wall times have 13 digits (years 2001 to 2286). */
struct HybridTime
{
    std::int64_t wallMs = 0; ///< Milliseconds since 1970 UTC, or the wall time of a later timestamp observed.
    std::uint32_t counter = 0; ///< Orders events within one millisecond; at most MaxCounter.

    static constexpr std::uint32_t MaxCounter = 9999; ///< Largest four-digit value; after it, wallMs is incremented.

    friend constexpr bool operator==(const HybridTime &, const HybridTime &) = default;
    friend constexpr std::strong_ordering operator<=>(const HybridTime &left, const HybridTime &right)
    {
        return std::tie(left.wallMs, left.counter) <=> std::tie(right.wallMs, right.counter);
    }
    /** Formats the timestamp, e.g. as `1700000000000.0003`. */
    [[nodiscard]] std::string toText() const;
    /** Parses the text form; empty if @p text is malformed. */
    [[nodiscard]] static std::optional<HybridTime> parse(std::string_view text);
};

/** Issues increasing timestamps, each later than all timestamps observed before. Not thread-safe. */
class HybridClock
{
public:
    /** Issues the timestamp of a local event or of a message to be sent. */
    HybridTime tick(std::int64_t wallMs);
    /** Issues the timestamp of the receipt of a message that carries @p remote; it is later than @p remote. */
    HybridTime observe(const HybridTime &remote, std::int64_t wallMs);
    [[nodiscard]] HybridTime last() const;

private:
    HybridTime latest; ///< The last timestamp issued; never decreases.
};

} // namespace Chestnuthook
