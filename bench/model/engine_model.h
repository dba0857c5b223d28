/** @file engine_model.h  Simulated model engine for the benchmark of policies: continuous batching, prefill and decode
 * rates, and a prefix cache with eviction. */
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

/** Speed and capacity of one engine. */
struct EngineShape
{
    std::size_t batch = 16; ///< Maximum number of calls that run at the same time.
    double stepMs = 20; ///< Time to decode one token for all running calls, in ms.
    double stepMsPerCall = 0.3; ///< Additional time per running call, in ms.
    double prefillMsPerToken = 0.08; ///< Additional time per prompt token that is not cached, in ms.
    double cacheTokens = 120'000; ///< Size of the prefix cache in tokens.
    int stepTokens = 8; ///< Tokens decoded per simulated step, to limit the number of events.
};

/** A call that is sent to an engine. */
struct EngineCall
{
    std::uint64_t id = 0; ///< Unique.
    int program = 0; ///< Program whose prefix the prompt starts with.
    double promptTokens = 0; ///< Tokens of the prompt, including the history.
    double outputTokens = 0; ///< Tokens to decode.
    double prefillLeft = 0; ///< Tokens still to prefill; set by the engine.
    double decodeLeft = 0; ///< Tokens still to decode; set by the engine.
};

/** One engine; the simulation calls step() to advance it. */
class Engine
{
public:
    explicit Engine(EngineShape given = {})
        : shape(given)
    {
    }

    /** Starts @p call. The caller must not exceed the batch size. @return tokens of the prompt found in the cache. */
    double start(EngineCall call)
    {
        const double hit = std::min(this->cachedTokens(call.program), call.promptTokens);
        call.prefillLeft = call.promptTokens - hit;
        call.decodeLeft = call.outputTokens;
        this->running.push_back(call);
        this->store(call.program, call.promptTokens + call.outputTokens);
        return hit;
    }

    /** Advances the batch by one step. Calls that end are appended to @p ended. @return the length in milliseconds. */
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

    /** Protects a program's blocks from eviction while it pauses, unless only pinned blocks are left. */
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
            this->recent.erase(found->second.position);
            this->blocks.erase(found);
        }
    }

    /** Imports exported blocks. */
    void load(int program, double tokens)
    {
        this->store(program, tokens);
    }

    /** Loses the cache and all running calls. @return the calls that were running. */
    std::vector<EngineCall> crash()
    {
        this->blocks.clear();
        this->recent.clear();
        this->used = 0;
        return std::exchange(this->running, {});
    }

    std::function<void(int)> onEvict; ///< Called with the number of each evicted program.
    EngineShape shape; ///< Speed and capacity.
    std::vector<EngineCall> running; ///< Calls in the batch.
    double used = 0; ///< Tokens in the cache.
    double evicted = 0; ///< Total of evicted tokens.

private:
    static constexpr double PrefillChunk = 2048;

    struct Block
    {
        double tokens = 0; ///< Cached tokens of the program's prefix.
        bool pinned = false; ///< Protected during a pause.
        std::list<int>::iterator position; ///< Position in `recent`.
    };

    void store(int program, double tokens)
    {
        this->drop(program);
        this->recent.push_back(program);
        this->blocks[program] = Block{tokens, false, std::prev(this->recent.end())};
        this->used += tokens;
        for (const bool evictPinned : {false, true}) {
            auto next = this->recent.begin();
            while (this->used > this->shape.cacheTokens && next != this->recent.end()) {
                const int candidate = *next++;
                if (candidate != program && (evictPinned || !this->blocks[candidate].pinned)) {
                    this->evicted += this->blocks[candidate].tokens;
                    this->drop(candidate);
                    this->onEvict(candidate);
                }
            }
        }
    }

    std::unordered_map<int, Block> blocks; ///< Cached blocks by program.
    std::list<int> recent; ///< Programs, least recently used first.
};

} // namespace Chestnuthook::Model
