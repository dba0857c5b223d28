/** @file request_waits_base.cpp  Sums of the waits of requests. */
#include "gateway/request_waits_base.h"

#include <algorithm>
#include <utility>

#include "observe/metrics_base.h"

namespace Chestnuthook
{

namespace
{

constexpr Duration SummaryInterval = std::chrono::seconds(1);

std::string msText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

std::string waitText(const WaitTimes &times)
{
    std::string text;
    for (const auto &row : NameTable<WaitCause>::Rows) {
        const Duration waited = times.at(static_cast<std::size_t>(row.value));
        if (waited >= std::chrono::milliseconds(1)) {
            text += text.empty() ? "" : " ";
            text += row.name;
            text += '=';
            text += msText(waited);
        }
    }
    return text.empty() ? "none" : text;
}

RequestWaits::Scope::Scope(RequestWaits &owner, WaitTimes &times, WaitCause cause)
    : owner(owner)
    , times(times)
    , cause(cause)
    , start(owner.timers.now())
{
}

RequestWaits::Scope::~Scope()
{
    const Duration waited = this->owner.timers.now() - this->start;
    this->times.at(static_cast<std::size_t>(this->cause)) += waited;
    this->owner.record(this->cause, waited);
}

RequestWaits::RequestWaits(TimerService &timers)
    : timers(timers)
    , summaryTimer(timers.every(SummaryInterval, [this]() {
        const std::vector<Field> fields = this->takeSummary();
        if (!fields.empty()) {
            logEvent(EventKind::RequestWaits, fields);
        }
    }))
{
}

void RequestWaits::record(WaitCause cause, Duration waited)
{
    Sum &sum = this->sums.at(static_cast<std::size_t>(cause));
    ++sum.count;
    sum.total += waited;
    sum.longest = std::max(sum.longest, waited);
    metrics().record(
        MetricKind::RequestWaitMs, std::chrono::duration<double, std::milli>(waited).count(), nameOf(cause));
}

std::vector<Field> RequestWaits::takeSummary()
{
    const auto taken = std::exchange(this->sums, {});
    std::vector<Field> fields;
    for (const auto &row : NameTable<WaitCause>::Rows) {
        const Sum &sum = taken.at(static_cast<std::size_t>(row.value));
        if (sum.longest >= SummaryThreshold) {
            const auto count = static_cast<std::int64_t>(sum.count);
            fields.push_back({row.name,
                "requests " + std::to_string(count) + ", mean " + msText(sum.total / count) + " ms, longest "
                    + msText(sum.longest) + " ms"});
        }
    }
    return fields;
}

} // namespace Chestnuthook
