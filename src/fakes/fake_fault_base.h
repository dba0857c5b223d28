/** @file fake_fault_base.h  Faults that a test orders from a stand-in. */
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chestnuthook
{

/** What goes wrong. */
enum class FakeFaultKind : std::uint8_t { Crash, Hang, Slow, Truncate, Refuse, Late, Crossed, Gap };

/** The kind called @p name, if there is one. */
[[nodiscard]] std::optional<FakeFaultKind> fakeFaultKind(std::string_view name);

/** One order for faults. */
struct FakeFaultSpec
{
    FakeFaultKind kind = FakeFaultKind::Refuse; ///< What goes wrong.
    std::string match; ///< Text that the body must hold; empty for any.
    std::string path; ///< Prefix of the path; empty for the stand-in's work paths.
    std::uint64_t count = 1; ///< How many requests it still strikes.
    std::int64_t delayMs = 0; ///< Milliseconds; its meaning depends on the kind.
    std::uint64_t afterTokens = 0; ///< Crash and truncate: tokens streamed before it strikes; 0 for the kind's own.
};

/** The faults that are still to strike; thread-safe. */
class FakeFault
{
public:
    /** Queues @p spec behind the others. */
    void add(FakeFaultSpec spec);
    /** Takes one strike for a request; @p work tells whether @p path is one of the stand-in's work paths. */
    std::optional<FakeFaultSpec> take(std::string_view path, bool work, std::string_view body);
    /** Takes one strike of a gap in the cache events. */
    bool takeGap();
    /** Withdraws all faults. */
    void clear();

private:
    FakeFaultSpec strike(std::vector<FakeFaultSpec>::iterator spec);

    std::mutex mutex; ///< Guards all below.
    std::vector<FakeFaultSpec> specs; ///< In order of arrival; each has a count of at least 1.
};

} // namespace Chestnuthook
