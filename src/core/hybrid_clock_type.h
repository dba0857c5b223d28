/** @file hybrid_clock_type.h  Hybrid logical clock: wall milliseconds with a counter, ordered after all it has seen. */
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace Chestnuthook
{

/** One reading; text order equals this order while wall times have 13 digits (years 2001 to 2286). */
struct HybridTime
{
    std::int64_t wallMs = 0; ///< Milliseconds since 1970 UTC, or of the latest event seen if that is later.
    std::uint32_t counter = 0; ///< Orders events of one millisecond; at most MaxCounter.

    static constexpr std::uint32_t MaxCounter = 9999; ///< What four digits hold; then the wall part moves on.

    friend constexpr bool operator==(const HybridTime &, const HybridTime &) = default;
    friend constexpr std::strong_ordering operator<=>(const HybridTime &left, const HybridTime &right)
    {
        return std::tie(left.wallMs, left.counter) <=> std::tie(right.wallMs, right.counter);
    }
    /** `1700000000000.0003`. */
    [[nodiscard]] std::string toText() const;
    /** Reads the text form; empty where it is not one. */
    [[nodiscard]] static std::optional<HybridTime> parse(std::string_view text);
};

/** Gives readings that grow and come after every reading observed. Not thread-safe. */
class HybridClock
{
public:
    /** The reading of a local event or of a message that is sent. */
    HybridTime tick(std::int64_t wallMs);
    /** The reading of a message's receipt; comes after @p remote. */
    HybridTime observe(const HybridTime &remote, std::int64_t wallMs);
    [[nodiscard]] HybridTime last() const;

private:
    HybridTime latest; ///< The last reading given; never goes back.
};

} // namespace Chestnuthook
