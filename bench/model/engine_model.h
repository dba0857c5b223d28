/** @file engine_model.h  A model engine in virtual time: continuous batch, prefill and decode rate, prefix cache with
 * eviction, late events with gaps. Only to measure policies. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/random_func.h"

namespace Chestnuthook::Model
{

/** Speeds and sizes of one engine. */
struct EngineShape
{
    std::size_t batch = 16; ///< Calls that run at the same time.
    double stepMs = 20; ///< Of one decoded token for all running calls.
    double stepMsPerCall = 0.3; ///< Added by each running call.
    double prefillMsPerToken = 0.08; ///< Added by each prompt token that isn't cached.
    double cacheTokens = 120'000; ///< Size of the prefix cache.
    int stepTokens = 8; ///< Tokens that the model decodes in one event, to bound the number of events.
};

/** A call at an engine. */
struct EngineCall
{
    std::uint64_t id = 0; ///< Unique.
    int program = 0; ///< Whose prefix it has.
    double promptTokens = 0; ///< History included.
    double outputTokens = 0; ///< To decode.
    double prefillLeft = 0; ///< Set by the engine.
    double decodeLeft = 0; ///< Set by the engine.
};

/** One engine; driven by `step`. */
class Engine
{
public:
    explicit Engine(EngineShape given = {})
        : shape(given)
    {
    }

    /** Begins @p call; the engine is never given more than its batch. @return tokens taken from the cache. */
    double start(EngineCall call)
    {
        const double hit = std::min(this->cachedTokens(call.program), call.promptTokens);
        call.prefillLeft = call.promptTokens - hit;
        call.decodeLeft = call.outputTokens;
        this->running.push_back(call);
        this->store(call.program, call.promptTokens + call.outputTokens);
        return hit;
    }

    /** Advances by one step. @return its length in milliseconds; ended calls are appended to @p ended. */
    double step(std::vector<EngineCall> &ended)
    {
        double prefill = 0;
        std::size_t decoding = 0;
        for (EngineCall &call : this->running) {
            const double chunk = std::min(call.prefillLeft, PrefillChunk - std::min(prefill, PrefillChunk));
            call.prefillLeft -= chunk;
            prefill += chunk;
            if (call.prefillLeft <= 0) {
                call.decodeLeft -= this->shape.stepTokens;
                ++decoding;
            }
        }
        const auto done = std::stable_partition(this->running.begin(), this->running.end(), [](const auto &call) {
            return call.decodeLeft > 0 || call.prefillLeft > 0;
        });
        ended.insert(ended.end(), done, this->running.end());
        this->running.erase(done, this->running.end());
        const double perToken = this->shape.stepMs + this->shape.stepMsPerCall * static_cast<double>(decoding);
        return perToken * (decoding > 0 ? this->shape.stepTokens : 0) + this->shape.prefillMsPerToken * prefill + 0.1;
    }

    [[nodiscard]] double cachedTokens(int program) const
    {
        const auto found = this->blocks.find(program);
        return found == this->blocks.end() ? 0 : found->second.tokens;
    }

    /** Keeps a program's blocks out of eviction while it pauses, unless there is nothing else. */
    void pin(int program, bool pinned)
    {
        const auto found = this->blocks.find(program);
        if (found != this->blocks.end()) {
            found->second.pinned = pinned;
        }
    }

    void drop(int program)
    {
        const auto found = this->blocks.find(program);
        if (found != this->blocks.end()) {
            this->used -= found->second.tokens;
            this->recent.erase(found->second.place);
            this->blocks.erase(found);
        }
    }

    /** Imports exported blocks. */
    void load(int program, double tokens)
    {
        this->store(program, tokens);
    }

    /** All is lost. @return the calls that ran. */
    std::vector<EngineCall> crash()
    {
        this->blocks.clear();
        this->recent.clear();
        this->used = 0;
        return std::exchange(this->running, {});
    }

    std::function<void(int)> onEvict; ///< Called with each evicted program.
    EngineShape shape; ///< Speeds and sizes.
    std::vector<EngineCall> running; ///< The batch.
    double used = 0; ///< Tokens in the cache.
    double evicted = 0; ///< Tokens evicted in all.

private:
    static constexpr double PrefillChunk = 2048;

    struct Block
    {
        double tokens = 0; ///< Of the program's prefix.
        bool pinned = false; ///< Held during a pause.
        std::list<int>::iterator place; ///< In `recent`.
    };

    void store(int program, double tokens)
    {
        this->drop(program);
        this->recent.push_back(program);
        this->blocks[program] = Block{tokens, false, std::prev(this->recent.end())};
        this->used += tokens;
        for (const bool pinnedToo : {false, true}) {
            auto next = this->recent.begin();
            while (this->used > this->shape.cacheTokens && next != this->recent.end()) {
                const int victim = *next++;
                if (victim != program && (pinnedToo || !this->blocks[victim].pinned)) {
                    this->evicted += this->blocks[victim].tokens;
                    this->drop(victim);
                    this->onEvict(victim);
                }
            }
        }
    }

    std::unordered_map<int, Block> blocks; ///< By program.
    std::list<int> recent; ///< Used longest ago first.
};

} // namespace Chestnuthook::Model
