/** @file endpoint_speed_base.h  Estimates how slow one endpoint is from the outcomes of its turns. */
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** Two estimates of one endpoint, both as logarithms of the factor between observed and predicted times: the speed,
 * which changes slowly, and the pace, which is forgotten after some hundred milliseconds. */
class EndpointSpeed
{
public:
    /** Adds the ratio of an observed time to that of an endpoint of usual speed, for a turn that began when the pace
     * was
     * @p logPaceAtStart. */
    void observe(Instant now, double ratio, double logPaceAtStart)
    {
        const double seen = std::log(std::clamp(ratio, 1 / MaxFactor, MaxFactor));
        const double pace = (logPaceAtStart + this->logPace(now)) / 2;
        const double residual = seen - this->logSpeedValue;
        const double passed = this->count == 0 ? 0 : seconds(now - this->observedAt);
        const double gain = std::max(1 / (this->count + PriorCount + 1), std::min(passed / SlowSeconds, MaxSlowGain));
        const double explained = this->hasReportedPace(now) ? pace : 0;
        this->logSpeedValue += gain * std::clamp(residual - explained, -MaxStep, MaxStep);
        this->count = std::min(this->count + 1, MaxCount);
        this->observedAt = now;
        if (!this->hasReportedPace(now) && this->count >= PaceCount) {
            const double before = this->logPace(now);
            this->setPace(now, before + PaceGain * (std::clamp(residual, -MaxStep, 2 * MaxStep) - before));
        }
    }

    /** Records a pace that the endpoint reports; 1 is usual. */
    void recordPace(Instant now, double pace)
    {
        this->setPace(now, std::log(std::clamp(pace, 1 / MaxFactor, MaxFactor)));
        this->reportedAt = now;
    }

    [[nodiscard]] bool isObserved() const
    {
        return this->count > 0;
    }
    [[nodiscard]] Instant lastObserved() const
    {
        return this->observedAt;
    }
    /** Logarithm of the slow estimate. */
    [[nodiscard]] double logSpeed() const
    {
        return this->logSpeedValue;
    }
    /** Logarithm of the short-lived factor; decays towards 0. */
    [[nodiscard]] double logPace(Instant now) const
    {
        return this->logPaceValue * std::exp2(-seconds(now - this->pacedAt) / PaceHalfLifeSeconds);
    }

private:
    static constexpr double MaxFactor = 8; ///< Largest factor that counts.
    static constexpr double PriorCount = 0.3; ///< Observations that the prior (usual speed) counts for.
    static constexpr double MaxCount = 12; ///< Observations after which the gain falls no further.
    static constexpr double SlowSeconds = 6; ///< Time constant of the slow estimate.
    static constexpr double MaxSlowGain = 0.3; ///< Gain of one observation after a long time without any.
    static constexpr double MaxStep = 0.6; ///< Residual that counts at most, so that one outlier doesn't decide.
    static constexpr double PaceGain = 0.5; ///< Part of one residual in the pace.
    static constexpr double PaceCount = 4; ///< Observations before residuals count as pace and not as speed.
    static constexpr double PaceHalfLifeSeconds = 0.3; ///< Neighbours disturb an endpoint for about 0.6 s at a time.
    static constexpr std::chrono::milliseconds ReportLife{1500}; ///< Time for which reports replace the derived pace.

    static double seconds(Duration duration)
    {
        return static_cast<double>(duration.count()) / 1e6;
    }
    [[nodiscard]] bool hasReportedPace(Instant now) const
    {
        return this->reportedAt && now - *this->reportedAt <= ReportLife;
    }
    void setPace(Instant now, double logPace)
    {
        this->logPaceValue = logPace;
        this->pacedAt = now;
    }

    double logSpeedValue = 0; ///< Slow estimate.
    double logPaceValue = 0; ///< Pace at pacedAt.
    double count = 0; ///< Observations, at most MaxCount.
    Instant observedAt; ///< Last observation.
    Instant pacedAt; ///< When logPaceValue was set.
    std::optional<Instant> reportedAt; ///< Last reported pace.
};

} // namespace Chestnuthook
