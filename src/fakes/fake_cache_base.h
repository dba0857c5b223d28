/** @file fake_cache_base.h  Prefix cache of the fake engine: blocks identified by chained hashes, with LRU eviction. */
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

/** A block that was stored or evicted. */
struct FakeCacheEvent
{
    std::uint64_t sequence = 0; ///< Starts at 1 and rises by 1; a gap fault skips a number.
    bool stored = true; ///< Whether the block was stored; otherwise it was evicted.
    std::uint64_t block = 0; ///< Hash of all tokens up to the end of the block.
    std::string program; ///< Program that stored it or, for an eviction, one of those that used it.
};

/** A prefix cache; not thread-safe. */
class FakeCache
{
public:
    static constexpr std::size_t MaxEvents = 65536; ///< When there are more events, the oldest are dropped.

    /** Creates a cache of @p maxBlocks blocks of @p blockWords words. If @p takeGap is set, it is called once for each
     * event, and the event is lost if it returns true. */
    FakeCache(std::size_t maxBlocks, std::size_t blockWords, std::function<bool()> takeGap);
    /** The number of words in the longest cached prefix of a prompt. */
    [[nodiscard]] std::size_t cachedWords(const std::string &model, const std::vector<std::string> &words) const;
    /** Stores the complete blocks of @p words for @p program. */
    void store(const std::string &model, const std::vector<std::string> &words, const std::string &program);
    /** Evicts the blocks that only @p program uses. @return their number. */
    std::size_t release(const std::string &program);
    /** The first events with a sequence number of at least @p since, at most @p bound. */
    [[nodiscard]] std::vector<FakeCacheEvent> eventsSince(std::uint64_t since, std::size_t bound) const;
    /** Sequence number of the next event. */
    [[nodiscard]] std::uint64_t nextSequence() const;
    [[nodiscard]] std::size_t size() const;
    /** The programs that use at least one block, without the empty name. */
    [[nodiscard]] std::vector<std::string> programs() const;

private:
    struct Block
    {
        std::list<std::uint64_t>::iterator lruPosition; ///< Position in `lruOrder`.
        std::set<std::string> users; ///< Programs that used it; the empty name stands for requests without a program.
    };

    [[nodiscard]] std::vector<std::uint64_t> blockHashes(
        const std::string &model, const std::vector<std::string> &words) const;
    void touch(std::uint64_t hash, const std::string &program);
    void addUser(Block &block, const std::string &program);
    void removeUser(const std::string &program);
    void evict(std::uint64_t hash);
    void recordEvent(bool stored, std::uint64_t hash, const std::string &program);

    std::size_t maxBlocks; ///< Constant.
    std::size_t blockWords; ///< Constant; at least 1.
    std::function<bool()> takeGap; ///< Called once for each event; true loses the event.
    std::unordered_map<std::uint64_t, Block> blocks; ///< Cached blocks by hash; at most maxBlocks.
    std::list<std::uint64_t> lruOrder; ///< Hashes of all blocks, the least recently used first.
    std::map<std::string, std::size_t> blockCounts; ///< Number of blocks that each program uses; never 0.
    std::deque<FakeCacheEvent> events; ///< Oldest first; at most MaxEvents.
    std::uint64_t next = 1; ///< Sequence number of the next event.
};

} // namespace Chestnuthook
