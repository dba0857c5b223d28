/** @file program_mix.h  Workload mixes of both deployments, generated from a seed: long sessions with helper
 * sub-agents, and order desks with tool calls where one customer sends five times its share. */
#pragma once

#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

#include "policy/random_func.h"

namespace Chestnuthook::Model
{

/** One model call and the pause after it. */
struct Turn
{
    double newTokens = 0; ///< Tokens added to the prompt.
    double outputTokens = 0; ///< Tokens of the answer.
    double pauseSeconds = 0; ///< Length of the pause after the call; 0 for the last turn.
    int service = 0; ///< Service that causes the pause; 0 for a person.
    int helper = -1; ///< Helper program that has to end before the next turn; -1 for none.
};

/** A program of the workload. */
struct ModelProgram
{
    double arrival = 0; ///< Arrival time in seconds; below zero for a helper, which its parent starts.
    int customer = 0; ///< Index into the mix's customers.
    int parent = -1; ///< Parent of a helper; -1 for none.
    std::vector<Turn> turns; ///< Turns, which run one after the other.
};

/** A customer of the workload. */
struct ModelCustomer
{
    std::string name; ///< Name as in deploy/.
    double weight = 1; ///< Declared weight.
    double arrivalShare = 1; ///< Relative share of all arriving programs.
};

/** A workload. */
struct Mix
{
    std::string name; ///< kortagatt, derwent or fault.
    std::vector<ModelCustomer> customers; ///< Customers with their shares.
    std::vector<ModelProgram> programs; ///< Programs; helpers follow their parents.
    double burstBegin = 0; ///< Start of the burst in seconds; during the burst arrivals are twice the capacity.
    double burstEnd = 0; ///< End of the burst in seconds; arrivals go on until HorizonSeconds.
};

constexpr double HorizonSeconds = 300; ///< Programs arrive until this time.

/** Draws from an exponential distribution. */
inline double exponential(std::uint64_t &random, double mean)
{
    return -mean * std::log(1 - nextUniform(random));
}

/** Draws from a uniform distribution over [low, high). */
inline double uniform(std::uint64_t &random, double low, double high)
{
    return low + (high - low) * nextUniform(random);
}

/** Distributions of one deployment's programs. */
struct MixShape
{
    double programsPerSecond = 1; ///< Arrival rate outside the burst.
    double burstFactor = 4; ///< Factor on the arrival rate in the burst, which gives twice the capacity of ten engines.
    double firstPrompt = 1500; ///< Mean tokens of the first prompt.
    double minTurns = 4; ///< Minimum turns of a program.
    double maxTurns = 20; ///< Maximum turns of a program.
    double newTokens = 250; ///< Mean tokens that each later turn adds.
    double outputTokens = 160; ///< Mean tokens of an answer.
    double servicePause = 1; ///< Mean seconds of a tool call.
    double personPause = 12; ///< Mean seconds of a pause for a person.
    double personShare = 0.4; ///< Share of pauses that wait for a person.
    double helperShare = 0.25; ///< Share of turns after which a helper runs.
};

/** Generates one program or, with @p helper, a helper of two turns. */
inline ModelProgram makeProgram(std::uint64_t &random, const MixShape &shape, bool helper)
{
    ModelProgram program;
    const double turns = helper ? 2 : std::floor(uniform(random, shape.minTurns, shape.maxTurns + 1));
    for (int i = 0; i < static_cast<int>(turns); ++i) {
        Turn turn;
        turn.newTokens = (i == 0 ? shape.firstPrompt : shape.newTokens) * uniform(random, 0.5, 1.5);
        turn.outputTokens = std::max(16.0, exponential(random, shape.outputTokens));
        const bool person = nextUniform(random) < shape.personShare && !helper;
        turn.service = person ? 0 : 1;
        turn.pauseSeconds = exponential(random, person ? shape.personPause : shape.servicePause);
        program.turns.push_back(turn);
    }
    program.turns.back().pauseSeconds = 0;
    return program;
}

/** Generates a workload with Poisson arrivals. */
inline Mix makeMix(
    const std::string &name, const std::vector<ModelCustomer> &customers, const MixShape &shape, std::uint64_t random)
{
    Mix mix{name, customers, {}, 90, 180};
    double shares = 0;
    for (const ModelCustomer &customer : customers) {
        shares += customer.arrivalShare;
    }
    double now = 0;
    while (true) {
        const bool burst = now >= mix.burstBegin && now < mix.burstEnd;
        now += exponential(random, 1 / (shape.programsPerSecond * (burst ? shape.burstFactor : 1)));
        if (now >= HorizonSeconds) {
            return mix;
        }
        ModelProgram program = makeProgram(random, shape, false);
        program.arrival = now;
        double pick = nextUniform(random) * shares;
        while (pick >= customers[static_cast<std::size_t>(program.customer)].arrivalShare) {
            pick -= customers[static_cast<std::size_t>(program.customer++)].arrivalShare;
        }
        const int parent = static_cast<int>(mix.programs.size());
        std::vector<ModelProgram> helpers;
        for (Turn &turn : program.turns) {
            if (turn.pauseSeconds > 0 && nextUniform(random) < shape.helperShare) {
                turn.helper = parent + 1 + static_cast<int>(helpers.size());
                helpers.push_back(makeProgram(random, shape, true));
                helpers.back().arrival = -1;
                helpers.back().parent = parent;
                helpers.back().customer = program.customer;
            }
        }
        mix.programs.push_back(std::move(program));
        mix.programs.insert(mix.programs.end(), helpers.begin(), helpers.end());
    }
}

/** Long sessions of editors, with helper sub-agents that check grammar and metre. */
inline Mix kortagattMix(std::uint64_t seed)
{
    return makeMix("kortagatt",
        {{"bjarkaprent", 4, 4}, {"korthusid", 3, 3}, {"ljodakort", 2, 2}, {"vetrarkort", 1, 1}, {"heklukort", 1, 1},
            {"fjallaprent", 1, 1}, {"sumarkort", 1, 1}, {"nordurkort", 1, 1}},
        MixShape{}, seed);
}

/** Order desks with tool calls; the customer packer-hobart sends five times its share. */
inline Mix derwentMix(std::uint64_t seed)
{
    MixShape shape;
    shape.programsPerSecond = 5.5;
    shape.firstPrompt = 800;
    shape.minTurns = 3;
    shape.maxTurns = 8;
    shape.newTokens = 120;
    shape.outputTokens = 80;
    shape.servicePause = 0.8;
    shape.personPause = 6;
    shape.personShare = 0.3;
    shape.helperShare = 0.1;
    return makeMix("derwent",
        {{"tamarbond", 2, 2}, {"huonglue", 2, 2}, {"derwentmelt", 2, 2}, {"packer-hobart", 1, 5},
            {"packer-launceston", 1, 1}, {"packer-devonport", 1, 1}, {"packer-burnie", 1, 1}, {"packer-sorell", 1, 1}},
        shape, seed);
}

} // namespace Chestnuthook::Model
