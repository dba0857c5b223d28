/** @file fake_cache_base.h  The engine's prefix cache: hash chains of blocks, least recently used out first. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chestnuthook
{

/** One change of the cache. */
struct FakeCacheEvent
{
    std::uint64_t sequence = 0; ///< From 1, by steps of 1 unless a gap was ordered.
    bool stored = true; ///< Stored, else evicted.
    std::uint64_t block = 0; ///< Hash of the chain up to and with the block.
    std::string program; ///< Who stored it, or who used it when it went.
};

/** A prefix cache; not thread-safe. */
class FakeCache
{
public:
    static constexpr std::size_t EventBound = 65536; ///< Older events are dropped.

    /** Holds @p maxBlocks blocks of @p blockWords words; @p takeGap tells whether an event is to be lost. */
    FakeCache(std::size_t maxBlocks, std::size_t blockWords, std::function<bool()> takeGap);
    /** How many of the first words of a prompt are held. */
    [[nodiscard]] std::size_t cachedWords(const std::string &model, const std::vector<std::string> &words) const;
    /** Stores the whole blocks of @p words for @p program. */
    void store(const std::string &model, const std::vector<std::string> &words, const std::string &program);
    /** Frees the blocks that only @p program used; their number. */
    std::size_t release(const std::string &program);
    /** The events from @p since on, at most @p bound. */
    [[nodiscard]] std::vector<FakeCacheEvent> eventsSince(std::uint64_t since, std::size_t bound) const;
    /** The sequence of the event to come. */
    [[nodiscard]] std::uint64_t nextSequence() const;
    [[nodiscard]] std::size_t size() const;
    /** The programs that use a block. */
    [[nodiscard]] std::vector<std::string> programs() const;

private:
    struct Block
    {
        std::list<std::uint64_t>::iterator place; ///< Its place in `order`.
        std::set<std::string> users; ///< Programs that used it; the empty name for requests without one.
    };

    [[nodiscard]] std::vector<std::uint64_t> chainOf(
        const std::string &model, const std::vector<std::string> &words) const;
    void touch(std::uint64_t hash, const std::string &program);
    void use(Block &block, const std::string &program);
    void leave(const std::string &program);
    void evict(std::uint64_t hash);
    void note(bool stored, std::uint64_t hash, const std::string &program);

    std::size_t maxBlocks; ///< Never changes.
    std::size_t blockWords; ///< Never changes; at least 1.
    std::function<bool()> takeGap; ///< Asked once for each event.
    std::unordered_map<std::uint64_t, Block> blocks; ///< At most maxBlocks, by hash.
    std::list<std::uint64_t> order; ///< All hashes of `blocks`, the least recently used first.
    std::map<std::string, std::size_t> held; ///< Blocks that each program uses; never 0.
    std::deque<FakeCacheEvent> events; ///< At most EventBound, oldest first.
    std::uint64_t next = 1; ///< Sequence of the event to come.
};

} // namespace Chestnuthook
