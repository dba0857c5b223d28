/** @file fake_fault_base.h  Fault injection for the fake servers. */
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chestnuthook
{

/** Kinds of faults. */
enum class FakeFaultKind : std::uint8_t { Crash, Hang, Slow, Truncate, Refuse, Late, Crossed, Gap };

/** The kind named @p name, if there is one. */
[[nodiscard]] std::optional<FakeFaultKind> fakeFaultKind(std::string_view name);

/** A fault to inject into matching requests. */
struct FakeFaultSpec
{
    FakeFaultKind kind = FakeFaultKind::Refuse; ///< Kind of fault.
    std::string match; ///< Text that the request body must contain; empty matches every body.
    std::string path; ///< Prefix of the request path; empty matches the work paths of the server.
    std::uint64_t count = 1; ///< Number of requests that it still affects.
    std::int64_t delayMs = 0; ///< Delay in milliseconds; what is delayed depends on the kind.
    std::uint64_t afterTokens = 0; ///< Crash and truncate: tokens sent before the fault; 0 for the default of the kind.
};

/** The faults that are still to be injected; thread-safe. */
class FakeFaultQueue
{
public:
    /** Appends @p spec to the queue; ignored if its count is 0. */
    void add(FakeFaultSpec spec);
    /** Takes the first fault that matches a request and decrements its count.
     * @param work whether @p path is a work path of the server */
    std::optional<FakeFaultSpec> take(std::string_view path, bool work, std::string_view body);
    /** Takes one gap in the cache events. @return false if none is queued. */
    bool takeGap();
    /** Removes all faults. */
    void clear();

private:
    FakeFaultSpec takeOne(std::vector<FakeFaultSpec>::iterator spec);

    std::mutex mutex; ///< Guards the queue.
    std::vector<FakeFaultSpec> specs; ///< Queued faults, the oldest first; each has a count of at least 1.
};

} // namespace Chestnuthook
