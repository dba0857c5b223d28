/** @file turn_cost_base.h  Model of the time that a turn takes at an endpoint of usual speed, learnt from outcomes. */
#pragma once

#include <algorithm>
#include <cstdint>

#include "dispatch/endpoint_pool_type.h"

namespace Chestnuthook
{

/** A straight line fitted to weighted observations; older ones count less. Two fixed points of the prior line keep it
 * defined until there are observations, and where these all have nearly the same x. */
class FittedLine
{
public:
    /** The prior is represented by its values at @p lowX and @p highX. */
    void setPrior(double intercept, double slope, double lowX, double highX)
    {
        this->priorIntercept = intercept;
        this->priorSlope = slope;
        this->low = lowX;
        this->high = highX;
        this->fit();
    }

    /** Adds an observation; one that is far from the line is moved towards it, so that a single outlier changes little.
     */
    void observe(double x, double y)
    {
        const double expected = this->at(x);
        const double bounded = std::clamp(y, expected / MaxRatio, expected * MaxRatio);
        this->weight = this->weight * Retention + 1;
        this->sumX = this->sumX * Retention + x;
        this->sumY = this->sumY * Retention + bounded;
        this->sumXX = this->sumXX * Retention + x * x;
        this->sumXY = this->sumXY * Retention + x * bounded;
        this->fit();
    }

    [[nodiscard]] double at(double x) const
    {
        return this->intercept + this->slope * x;
    }
    [[nodiscard]] double slopeValue() const
    {
        return this->slope;
    }

private:
    static constexpr double Retention = 0.998; ///< Weight kept at each observation; about the last 500 count.
    static constexpr double PriorWeight = 4; ///< Observations that each point of the prior counts for.
    static constexpr double MaxRatio = 2; ///< Largest factor between an observation and the line that counts in full.
    static constexpr double SlopeRange = 5; ///< Largest factor between the slope and that of the prior.
    static constexpr double InterceptRange = 10; ///< Largest factor between the intercept and that of the prior.

    void fit()
    {
        double w = this->weight;
        double x = this->sumX;
        double y = this->sumY;
        double xx = this->sumXX;
        double xy = this->sumXY;
        for (const double point : {this->low, this->high}) {
            const double value = this->priorIntercept + this->priorSlope * point;
            w += PriorWeight;
            x += PriorWeight * point;
            y += PriorWeight * value;
            xx += PriorWeight * point * point;
            xy += PriorWeight * point * value;
        }
        const double spread = xx - x * x / w;
        const double fitted = spread > 0 ? (xy - x * y / w) / spread : this->priorSlope;
        this->slope = std::clamp(fitted, this->priorSlope / SlopeRange, this->priorSlope * SlopeRange);
        this->intercept = std::clamp(
            (y - this->slope * x) / w, this->priorIntercept / InterceptRange, this->priorIntercept * InterceptRange);
    }

    double priorIntercept = 1; ///< Of the prior line.
    double priorSlope = 1; ///< Of the prior line.
    double low = 0; ///< First point of the prior.
    double high = 1; ///< Second point of the prior.
    double weight = 0; ///< Sum of the weights of observations.
    double sumX = 0; ///< Weighted sum of x.
    double sumY = 0; ///< Weighted sum of y.
    double sumXX = 0; ///< Weighted sum of the squares of x.
    double sumXY = 0; ///< Weighted sum of x times y.
    double intercept = 1; ///< Of the fitted line.
    double slope = 1; ///< Of the fitted line.
};

/** Times at an endpoint of usual speed, in milliseconds: until the first event as a line over the prompt tokens that
 * are read before it, then for each token as a line over the other running turns. */
class TurnCostModel
{
public:
    TurnCostModel()
    {
        this->setParameters(PoolParameters());
    }

    void setParameters(const PoolParameters &given)
    {
        this->stride = std::max<std::uint32_t>(given.strideTokens, 1);
        this->usualOutput = std::max<std::uint32_t>(given.usualOutputTokens, 1);
        this->firstEvent.setPrior(std::max(given.firstEventMs, MinMs), 1 / std::max(given.readTokensPerMs, MinMs),
            UsualPromptTokens, LongPromptTokens);
        this->step.setPrior(std::max(given.stepMs, MinMs), std::max(given.stepMsPerNeighbour, MinMs), 0, 6);
    }

    /** Time until the first event if @p readTokens of prompts are read before it. */
    [[nodiscard]] double firstEventMs(double readTokens) const
    {
        return this->firstEvent.at(readTokens);
    }
    /** Time that reading @p tokens keeps an endpoint busy. */
    [[nodiscard]] double readMs(double tokens) const
    {
        return tokens * this->firstEvent.slopeValue();
    }
    /** Tokens that are read in @p ms. */
    [[nodiscard]] double tokensReadIn(double ms) const
    {
        return ms / this->firstEvent.slopeValue();
    }
    /** Time of a whole turn that runs beside @p neighbours. */
    [[nodiscard]] double totalMs(double readTokens, double outputTokens, double neighbours) const
    {
        return this->firstEventMs(readTokens) + this->outputMs(outputTokens, neighbours);
    }
    /** Time by which a turn delays each other one at its endpoint: reading its prompt, and longer steps. */
    [[nodiscard]] double neighbourMs(double readTokens, double outputTokens) const
    {
        return this->readMs(readTokens) + outputTokens * this->step.slopeValue();
    }
    /** Time from the first event to the end. */
    [[nodiscard]] double outputMs(double outputTokens, double neighbours) const
    {
        return std::max(0.0, outputTokens - this->stride) * this->step.at(neighbours);
    }
    /** Likely output tokens of a turn. */
    [[nodiscard]] std::uint32_t expectedOutput(const TurnRequest &request) const
    {
        const std::uint32_t expected =
            request.expectedTokens > 0 ? request.expectedTokens : static_cast<std::uint32_t>(this->usualOutput);
        return request.outputTokens > 0 ? std::min(expected, request.outputTokens) : expected;
    }

    /** Adds a time to the first event, already divided by the endpoint's speed. */
    void observeFirstEvent(double readTokens, double ms)
    {
        this->firstEvent.observe(readTokens, ms);
    }
    /** Adds the time from the first event to the end of @p outputTokens, already divided by the endpoint's speed. */
    void observeOutput(double outputTokens, double neighbours, double ms)
    {
        this->usualOutput += (outputTokens - this->usualOutput) * OutputGain;
        if (outputTokens > this->stride) {
            this->step.observe(neighbours, ms / (outputTokens - this->stride));
        }
    }

private:
    static constexpr double MinMs = 1e-4; ///< Keeps priors positive.
    static constexpr double UsualPromptTokens = 1000; ///< First point of the prior of reading.
    static constexpr double LongPromptTokens = 12000; ///< Second point of the prior of reading.
    static constexpr double OutputGain = 0.02; ///< Part of an outcome in the usual output.

    FittedLine firstEvent; ///< Milliseconds until the first event, by prompt tokens to be read.
    FittedLine step; ///< Milliseconds for a token, by other running turns.
    double stride = 1; ///< Tokens that the first event has.
    double usualOutput = 1; ///< Mean output of recent turns.
};

} // namespace Chestnuthook
