/** @file pool_simulation.h  Simulation of endpoints, programs and customers, with turns placed by an EndpointPool or by
 * hash. No network; time advances in steps of 1 ms; all randomness comes from a seed. */
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <ctime>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/endpoint_pool_base.h"

namespace Chestnuthook
{

/** What is simulated. */
struct PoolScenario
{
    std::vector<double> speeds; ///< Factor of the work time of each endpoint.
    double load = 0.5; ///< Offered turns relative to what the endpoints can serve.
    std::uint64_t seed = 1; ///< Of all randomness.
    bool usesPool = true; ///< Placement by EndpointPool; otherwise by hash.
    unsigned slots = 6; ///< Of each endpoint.
    std::uint64_t memoryTokens = 69635; ///< Of each endpoint.
    double longPart = 0; ///< Part of the turns whose prompt is long.
    double disturbedPart = 0.15; ///< Part of the time in which an endpoint has a busy neighbour.
    double floodFactor = 1; ///< Rate of customer 0 relative to the others.
    int maxReleaseDelayMs = 20; ///< Outcomes are sent in batches; the delay is uniform from 1 ms.
    bool reportsPace = false; ///< Outcomes carry the endpoint's load and pace.
    std::int64_t runMs = 12000; ///< Time for which programs start.
    std::int64_t restartMs = 0; ///< Time at which another owner takes over with an empty pool; 0 for never.
    double lostPart = 0; ///< Part of the outcomes that never arrive.
};

/** What the callers got. */
struct PoolResult
{
    int programs = 0; ///< Programs that started after the warm-up.
    int inTime = 0; ///< Ended by their target.
    int late = 0; ///< Ended by twice their time.
    int refused = 0; ///< Refused at their first turn.
    int refusedLater = 0; ///< Refused at a later turn.
    double worstCustomer = 1; ///< Least share in time among customers other than the flooding one.
    double floodingCustomer = 0; ///< Share in time of customer 0.
    int shortTurns = 0; ///< Turns with short prompts.
    int shortInTime = 0; ///< Of these, ended within 1.3 times their idle time and 150 ms.
    int longTurns = 0; ///< Turns with long prompts.
    int longInTime = 0; ///< Of these, ended within 1.3 times their idle time and 150 ms.
    int preemptions = 0; ///< Turns that endpoints have preempted.
    std::vector<int> turnsAt; ///< Turns granted to each endpoint.
    double slotUse = 0; ///< Mean part of all slots in use.
    double submitUs = 0; ///< Mean processor time of submit().
    double otherUs = 0; ///< Mean processor time of release() and takeGrants().

    [[nodiscard]] double inTimePart() const
    {
        return this->programs == 0 ? 0 : static_cast<double>(this->inTime) / this->programs;
    }
    [[nodiscard]] double shortPart() const
    {
        return this->shortTurns == 0 ? 1 : static_cast<double>(this->shortInTime) / this->shortTurns;
    }
    [[nodiscard]] double longPart() const
    {
        return this->longTurns == 0 ? 1 : static_cast<double>(this->longInTime) / this->longTurns;
    }
};

class PoolSimulation
{
public:
    explicit PoolSimulation(PoolScenario given)
        : scenario(std::move(given))
        , random(this->scenario.seed)
    {
        for (std::size_t i = 0; i < this->scenario.speeds.size(); ++i) {
            this->engines.push_back(std::make_unique<Engine>());
            this->engines.back()->speed = this->scenario.speeds[i];
            list.push_back(
                {"endpoint-" + std::to_string(i), this->scenario.slots, this->scenario.memoryTokens, "", true});
            this->indexOf[this->list.back().id] = i;
        }
        this->startOwner();
        this->result.turnsAt.resize(this->engines.size());
    }

    PoolSimulation(const PoolSimulation &) = delete;
    PoolSimulation &operator=(const PoolSimulation &) = delete;
    ~PoolSimulation()
    {
        for (const auto &program : this->programs) {
            program->turns.clear(); // Turns refer to their program.
        }
    }

    PoolResult run()
    {
        const std::int64_t endMs = this->scenario.runMs + DrainMs;
        const double programsPerMs = this->scenario.load * this->capacityPerMs() / MeanTurns;
        double nextProgramMs = this->exponential(1 / programsPerMs);
        for (this->nowMs = 0; this->nowMs < endMs; ++this->nowMs) {
            while (nextProgramMs <= this->nowMs && this->nowMs < this->scenario.runMs) {
                this->startProgram();
                nextProgramMs += this->exponential(1 / programsPerMs);
            }
            for (auto due = this->events.begin(); due != this->events.end() && due->first <= this->nowMs;) {
                const auto action = std::move(due->second);
                this->events.erase(due);
                action();
                due = this->events.begin();
            }
            for (const auto &engine : this->engines) {
                this->step(*engine);
            }
            if (this->scenario.restartMs > 0 && this->nowMs == this->scenario.restartMs) {
                this->replaceOwner();
            }
            if (this->scenario.usesPool && this->nowMs % TimerMs == 0) {
                this->takeGrants();
            }
        }
        return this->summary();
    }

private:
    static constexpr std::uint32_t EventTokens = 17; ///< Output tokens of each event.
    static constexpr double StepMs = 2.27; ///< Time of an output token.
    static constexpr double StepMsPerNeighbour = 0.09; ///< Additional time for each other running turn.
    static constexpr double FirstEventMs = 45; ///< Time to the first event, which includes its tokens.
    static constexpr double StartMs = FirstEventMs - EventTokens * StepMs; ///< Part of it before the first token.
    static constexpr double ReadTokensPerMs = 123; ///< Prompt tokens read in a millisecond; other turns stand still.
    static constexpr double DisturbedFactor = 2.5; ///< Factor of the work time beside a busy neighbour.
    static constexpr double DisturbedMs = 600; ///< Duration of a disturbance.
    static constexpr double HashBound = 1.8; ///< Turns at an endpoint relative to its slots, for placement by hash.
    static constexpr int ShortProgramTurns = 3;
    static constexpr int LongProgramTurns = 11;
    static constexpr double MeanTurns = (ShortProgramTurns + LongProgramTurns) / 2.0;
    static constexpr std::uint64_t Customers = 8;
    static constexpr std::int64_t WarmUpMs = 2000; ///< Programs that start earlier aren't counted.
    static constexpr std::int64_t DrainMs = 8000; ///< Time for programs to end after the last start.
    static constexpr std::int64_t TurnTimeoutMs = 6000; ///< Deadline of a turn.
    static constexpr std::int64_t TimerMs = 5; ///< Interval of the owner's timer.
    static constexpr std::int64_t MessageMs = 1; ///< Time of a message between gateways.
    static constexpr double TargetFactor = 1.3; ///< Target of programs relative to their time on idle endpoints.
    static constexpr double TargetMs = 250; ///< Time that the target allows beyond that.
    static constexpr double TurnTargetMs = 150; ///< Time that a turn may take beyond TargetFactor times its idle time.
    static constexpr std::uint32_t MaxOutput = 256;
    static constexpr double UsualPrompt = 1000; ///< Median of short prompts; their mean is 1,200.

    struct Program;
    struct Turn
    {
        std::shared_ptr<Program> program;
        std::uint64_t ticket = 0;
        std::uint32_t prompt = 0;
        std::uint32_t output = 0;
        std::uint32_t hint = 0;
        bool isLong = false;
        std::int64_t sentMs = 0;
        std::int64_t startedMs = 0; ///< When it was sent to the endpoint.
        std::size_t engine = 0;
        bool isGranted = false;
        double readMs = 0; ///< Left to be read.
        double startMs = 0; ///< Left until the first token.
        double produced = 0;
        std::int64_t firstEventMs = 0; ///< When the first event was sent; 0 before.
    };
    struct Program
    {
        std::uint64_t id = 0;
        std::uint64_t customer = 0;
        std::vector<std::shared_ptr<Turn>> turns;
        std::vector<std::int64_t> pauses;
        std::size_t next = 0; ///< Turn to be sent next.
        std::int64_t beganMs = 0;
        double totalMs = 0; ///< Time of its target.
        double idleMs = 0;
        bool isCounted = false;
    };
    struct Engine
    {
        double speed = 1;
        std::deque<std::shared_ptr<Turn>> queue;
        std::vector<std::shared_ptr<Turn>> running; ///< In the order in which they started.
        std::unordered_map<std::uint64_t, std::uint32_t> cached; ///< Tokens by program.
        double disturbedUntilMs = -1; ///< End of the last disturbance; negative before the first step.
        double nextDisturbanceMs = 0;
        std::int64_t inFlight = 0; ///< Turns placed here.
        double used = 0; ///< Tokens in memory.

        [[nodiscard]] double factor(double now) const
        {
            return this->speed * (now < this->disturbedUntilMs ? DisturbedFactor : 1);
        }
    };

    [[nodiscard]] Instant now() const
    {
        return Instant(this->nowMs * 1000 + 1000000);
    }
    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(this->random);
    }
    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(this->random);
    }
    double logNormal(double median, double spread)
    {
        return median * std::exp(std::normal_distribution<double>(0, std::log(spread))(this->random));
    }
    void after(std::int64_t ms, std::function<void()> action)
    {
        this->events.emplace(this->nowMs + ms, std::move(action));
    }

    /** Turns that all endpoints serve in a millisecond with all slots in use; prompts of other turns are read
     * meanwhile. */
    [[nodiscard]] double capacityPerMs() const
    {
        const double neighbours = this->scenario.slots - 1;
        const double readMs =
            (1 - this->scenario.longPart) * 1200 / ReadTokensPerMs + this->scenario.longPart * 15000 / ReadTokensPerMs;
        const double turnMs =
            readMs * this->scenario.slots + StartMs + 4 * EventTokens * (StepMs + neighbours * StepMsPerNeighbour);
        double rate = 0;
        for (const double speed : this->scenario.speeds) {
            const double disturbed = this->scenario.disturbedPart;
            rate += this->scenario.slots / (turnMs * speed) * (1 - disturbed + disturbed / DisturbedFactor);
        }
        return rate;
    }

    static double idleMs(const Turn &turn)
    {
        return turn.prompt / ReadTokensPerMs + StartMs + turn.output * StepMs;
    }

    void startProgram()
    {
        auto program = std::make_shared<Program>();
        this->programs.push_back(program);
        program->id = ++this->lastProgram;
        const double others = Customers - 1;
        program->customer = this->uniform(0, others + this->scenario.floodFactor) < this->scenario.floodFactor
            ? 0
            : 1 + this->random() % (Customers - 1);
        program->beganMs = this->nowMs;
        program->isCounted = this->nowMs >= WarmUpMs;
        const int count = this->random() % 2 == 0 ? ShortProgramTurns : LongProgramTurns;
        for (int i = 0; i < count; ++i) {
            auto turn = std::make_shared<Turn>();
            turn->program = program;
            turn->ticket = ++this->lastTicket;
            turn->isLong = this->uniform(0, 1) < this->scenario.longPart;
            turn->prompt = turn->isLong
                ? static_cast<std::uint32_t>(this->uniform(12000, 18000))
                : static_cast<std::uint32_t>(std::clamp(this->logNormal(UsualPrompt, 1.8), 500.0, 4000.0));
            turn->output = static_cast<std::uint32_t>(std::clamp(this->logNormal(4 * EventTokens, 1.4), 17.0, 255.0));
            turn->hint = static_cast<std::uint32_t>(std::clamp(this->logNormal(turn->output, 1.4), 10.0, 255.0));
            program->idleMs += idleMs(*turn);
            program->turns.push_back(std::move(turn));
            program->pauses.push_back(i + 1 < count ? static_cast<std::int64_t>(this->uniform(60, 150)) : 0);
            program->idleMs += static_cast<double>(program->pauses.back());
        }
        program->totalMs = program->idleMs * TargetFactor + TargetMs;
        if (program->isCounted) {
            ++this->result.programs;
            ++this->programsOf[program->customer];
        }
        this->sendTurn(program);
    }

    void sendTurn(const std::shared_ptr<Program> &program)
    {
        const auto turn = program->turns[program->next];
        turn->sentMs = this->nowMs;
        if (!this->scenario.usesPool) {
            this->placeByHash(turn);
            return;
        }
        this->after(MessageMs, [this, turn] {
            this->submit(turn);
        });
    }

    [[nodiscard]] TurnRequest requestOf(const Turn &turn) const
    {
        TurnRequest request;
        request.ticket = turn.ticket;
        request.holder = "gateway-" + std::to_string(turn.program->id % 7);
        request.program = turn.program->id;
        request.customer = turn.program->customer + 1;
        request.promptTokens = turn.prompt;
        request.outputTokens = MaxOutput;
        request.expectedTokens = turn.hint;
        request.deadline = Instant(turn.sentMs * 1000 + 1000000) + std::chrono::milliseconds(TurnTimeoutMs);
        request.programTotal = std::chrono::milliseconds(static_cast<std::int64_t>(turn.program->totalMs));
        request.programDeadline = Instant(turn.program->beganMs * 1000 + 1000000) + *request.programTotal;
        return request;
    }

    void startOwner()
    {
        this->pool = std::make_unique<EndpointPool>();
        PoolParameters parameters;
        parameters.strideTokens = EventTokens;
        this->pool->setParameters(parameters);
        this->pool->setEndpoints(this->now(), this->list);
    }

    /** The gateways tell a new owner the turns that they have in flight. */
    void replaceOwner()
    {
        this->startOwner();
        const auto before = this->known;
        for (const auto &[key, turn] : before) {
            if (turn->isGranted) {
                this->pool->adopt(this->now(), this->requestOf(*turn), this->list[turn->engine].id);
            } else {
                this->submit(turn);
            }
        }
    }

    /** Processor time that this thread has used; unlike the clock it doesn't depend on other processes. */
    static std::chrono::nanoseconds processorTime()
    {
        timespec spec{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spec);
        return std::chrono::seconds(spec.tv_sec) + std::chrono::nanoseconds(spec.tv_nsec);
    }

    void submit(const std::shared_ptr<Turn> &turn)
    {
        this->known[{requestOf(*turn).holder, turn->ticket}] = turn;
        const auto began = processorTime();
        const TurnDecision decision = this->pool->submit(this->now(), this->requestOf(*turn));
        this->submitTime += processorTime() - began;
        ++this->submits;
        this->handle(decision);
    }

    void handle(const TurnDecision &decision)
    {
        if (decision.verdict == TurnVerdict::Waiting) {
            return;
        }
        const auto found = this->known.find({decision.holder, decision.ticket});
        const auto turn = found->second;
        if (decision.verdict == TurnVerdict::Refused) {
            this->known.erase(found);
            if (turn->program->isCounted) {
                ++(turn->program->next == 0 ? this->result.refused : this->result.refusedLater);
            }
            return;
        }
        const std::size_t engine = this->indexOf.at(decision.endpoint);
        turn->isGranted = true;
        turn->engine = engine;
        this->after(MessageMs, [this, turn, engine] {
            this->place(turn, engine);
        });
    }

    void takeGrants()
    {
        const auto began = processorTime();
        const std::vector<TurnDecision> decisions = this->pool->takeGrants(this->now());
        this->otherTime += processorTime() - began;
        for (const TurnDecision &decision : decisions) {
            this->handle(decision);
        }
    }

    void placeByHash(const std::shared_ptr<Turn> &turn)
    {
        std::vector<std::pair<std::uint64_t, std::size_t>> order;
        for (std::size_t i = 0; i < this->engines.size(); ++i) {
            std::uint64_t hash = (turn->program->id * 0x9e3779b97f4a7c15ULL) ^ ((i + 1) * 0xbf58476d1ce4e5b9ULL);
            hash = (hash ^ (hash >> 29)) * 0x94d049bb133111ebULL;
            order.emplace_back(hash ^ (hash >> 32), i);
        }
        std::sort(order.begin(), order.end());
        std::size_t chosen = order.front().second;
        for (const auto &[hash, i] : order) {
            if (static_cast<double>(this->engines[i]->inFlight) < HashBound * this->scenario.slots) {
                chosen = i;
                break;
            }
        }
        this->place(turn, chosen);
    }

    void place(const std::shared_ptr<Turn> &turn, std::size_t index)
    {
        Engine &engine = *this->engines[index];
        turn->engine = index;
        turn->startedMs = this->nowMs;
        ++engine.inFlight;
        ++this->result.turnsAt[index];
        engine.queue.push_back(turn);
    }

    void admit(Engine &engine)
    {
        while (!engine.queue.empty() && engine.running.size() < this->scenario.slots) {
            const auto turn = engine.queue.front();
            if (!engine.running.empty()
                && engine.used + turn->prompt > static_cast<double>(this->scenario.memoryTokens)) {
                return;
            }
            engine.queue.pop_front();
            const auto cached = engine.cached.find(turn->program->id);
            const std::uint32_t tokens = cached == engine.cached.end() ? 0 : std::min(cached->second, turn->prompt);
            turn->readMs = (turn->prompt - tokens) / ReadTokensPerMs;
            turn->startMs = StartMs;
            turn->produced = 0;
            engine.used += turn->prompt;
            engine.running.push_back(turn);
        }
    }

    /** Advances one endpoint by a millisecond. */
    void step(Engine &engine)
    {
        const double now = static_cast<double>(this->nowMs);
        const double gapMs =
            DisturbedMs * (1 - this->scenario.disturbedPart) / std::max(this->scenario.disturbedPart, 1e-9);
        if (engine.disturbedUntilMs < 0) {
            engine.disturbedUntilMs = 0;
            engine.nextDisturbanceMs = this->exponential(gapMs);
        }
        if (now >= engine.nextDisturbanceMs && this->scenario.disturbedPart > 0) {
            engine.disturbedUntilMs = now + DisturbedMs;
            engine.nextDisturbanceMs = engine.disturbedUntilMs + this->exponential(gapMs);
        }
        this->admit(engine);
        if (this->nowMs < this->scenario.runMs) {
            this->slotsInUse += static_cast<double>(engine.running.size());
        }
        if (engine.running.empty()) {
            return;
        }
        double budget = 1 / engine.factor(now);
        for (const auto &turn : engine.running) { // Prompts are read one after another; nothing else runs meanwhile.
            const double read = std::min(budget, turn->readMs);
            turn->readMs -= read;
            budget -= read;
        }
        const double stepMs = StepMs + static_cast<double>(engine.running.size() - 1) * StepMsPerNeighbour;
        std::vector<std::shared_ptr<Turn>> ended;
        for (const auto &turn : engine.running) {
            if (turn->readMs > 0) {
                continue;
            }
            const double starting = std::min(budget, turn->startMs);
            turn->startMs -= starting;
            const double tokens = (budget - starting) / stepMs;
            turn->produced += tokens;
            engine.used += tokens;
            if (turn->firstEventMs == 0 && turn->produced >= EventTokens) {
                turn->firstEventMs = this->nowMs + 1;
            }
            if (turn->produced >= turn->output) {
                ended.push_back(turn);
            }
        }
        for (const auto &turn : ended) {
            std::erase(engine.running, turn);
            engine.used -= turn->prompt + turn->produced;
            --engine.inFlight;
            engine.cached[turn->program->id] = turn->prompt + turn->output;
            this->endTurn(turn);
        }
        while (engine.used > static_cast<double>(this->scenario.memoryTokens) && engine.running.size() > 1) {
            const auto newest = engine.running.back();
            engine.running.pop_back();
            engine.used -= newest->prompt + newest->produced;
            engine.queue.push_front(newest);
            ++this->result.preemptions;
        }
    }

    void endTurn(const std::shared_ptr<Turn> &turn)
    {
        const auto program = turn->program;
        const double tookMs = static_cast<double>(this->nowMs + 1 - turn->sentMs);
        if (program->isCounted) {
            const bool isInTime = tookMs <= idleMs(*turn) * TargetFactor + TurnTargetMs;
            ++(turn->isLong ? this->result.longTurns : this->result.shortTurns);
            (turn->isLong ? this->result.longInTime : this->result.shortInTime) += isInTime ? 1 : 0;
        }
        if (this->scenario.usesPool) {
            TurnOutcome outcome;
            outcome.ticket = turn->ticket;
            outcome.holder = requestOf(*turn).holder;
            outcome.tokens = turn->output;
            const std::int64_t firstMs = turn->firstEventMs == 0 ? this->nowMs + 1 : turn->firstEventMs;
            outcome.firstEvent = std::chrono::milliseconds(firstMs - turn->startedMs);
            outcome.total = std::chrono::milliseconds(this->nowMs + 1 - turn->startedMs);
            if (this->scenario.reportsPace) {
                const Engine &engine = *this->engines[turn->engine];
                const bool isDisturbed = engine.disturbedUntilMs > static_cast<double>(this->nowMs);
                outcome.load = ReportedLoad{static_cast<unsigned>(engine.running.size()),
                    static_cast<unsigned>(engine.queue.size()), this->scenario.slots, isDisturbed ? 250U : 100U};
            }
            const bool isLost = this->uniform(0, 1) < this->scenario.lostPart;
            const std::int64_t delayMs =
                1 + static_cast<std::int64_t>(this->random() % static_cast<unsigned>(this->scenario.maxReleaseDelayMs));
            this->after(delayMs, [this, outcome, isLost] {
                this->known.erase({outcome.holder, outcome.ticket});
                if (isLost) {
                    return;
                }
                const auto began = processorTime();
                this->pool->release(this->now(), outcome);
                this->otherTime += processorTime() - began;
                ++this->releases;
                this->takeGrants();
            });
        }
        const std::int64_t pauseMs = program->pauses[program->next];
        if (++program->next < program->turns.size()) {
            this->after(pauseMs, [this, program] {
                this->sendTurn(program);
            });
            return;
        }
        if (!program->isCounted) {
            return;
        }
        const double programMs = static_cast<double>(this->nowMs + 1 - program->beganMs);
        if (programMs <= program->totalMs) {
            ++this->result.inTime;
            ++this->inTimeOf[program->customer];
        } else if (programMs <= 2 * program->totalMs) {
            ++this->result.late;
        }
    }

    PoolResult summary()
    {
        this->result.worstCustomer = 1;
        for (const auto &[customer, count] : this->programsOf) {
            const double part = static_cast<double>(this->inTimeOf[customer]) / count;
            if (customer == 0) {
                this->result.floodingCustomer = part;
            }
            if (customer != 0 || this->scenario.floodFactor == 1) {
                this->result.worstCustomer = std::min(this->result.worstCustomer, part);
            }
        }
        this->result.slotUse = this->slotsInUse
            / (static_cast<double>(this->scenario.runMs) * static_cast<double>(this->engines.size())
                * this->scenario.slots);
        const auto us = [](std::chrono::nanoseconds time, std::int64_t count) {
            return count == 0 ? 0
                              : std::chrono::duration<double, std::micro>(time).count() / static_cast<double>(count);
        };
        this->result.submitUs = us(this->submitTime, this->submits);
        this->result.otherUs = us(this->otherTime, this->releases);
        return this->result;
    }

    PoolScenario scenario; ///< What is simulated.
    std::mt19937_64 random; ///< Source of all randomness.
    std::vector<PoolEndpoint> list; ///< Endpoints as the pool knows them.
    std::unique_ptr<EndpointPool> pool; ///< Under test.
    std::vector<std::unique_ptr<Engine>> engines; ///< Simulated endpoints.
    std::map<std::string, std::size_t> indexOf; ///< Endpoints by id.
    std::multimap<std::int64_t, std::function<void()>> events; ///< Messages and pauses by their time.
    std::map<std::pair<std::string, std::uint64_t>, std::shared_ptr<Turn>> known; ///< Turns at the pool.
    std::vector<std::shared_ptr<Program>> programs; ///< All programs.
    std::int64_t nowMs = 0; ///< Simulated time.
    std::uint64_t lastProgram = 0; ///< Id of the last program.
    std::uint64_t lastTicket = 0; ///< Last ticket.
    std::map<std::uint64_t, int> programsOf; ///< Programs by customer.
    std::map<std::uint64_t, int> inTimeOf; ///< Programs in time by customer.
    double slotsInUse = 0; ///< Sum over all steps.
    std::chrono::nanoseconds submitTime{0}; ///< Processor time of submits.
    std::chrono::nanoseconds otherTime{0}; ///< Processor time of releases and takeGrants().
    std::int64_t submits = 0; ///< Count of submits.
    std::int64_t releases = 0; ///< Count of releases.
    PoolResult result; ///< Filled while running.
};

} // namespace Chestnuthook
