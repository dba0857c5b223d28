/** @file fake_cache_base.cpp  Prefix cache of the fake engine. */
#include "fakes/fake_cache_base.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace Chestnuthook
{

FakeCache::FakeCache(std::size_t blockLimit, std::size_t wordsPerBlock, std::function<bool()> gapSource)
    : maxBlocks(blockLimit)
    , blockWords(std::max<std::size_t>(wordsPerBlock, 1))
    , takeGap(std::move(gapSource))
{
}

std::vector<std::uint64_t> FakeCache::blockHashes(const std::string &model, const std::vector<std::string> &words) const
{
    std::vector<std::uint64_t> chain;
    std::uint64_t hash = XXH3_64bits(model.data(), model.size());
    for (std::size_t index = 0; index < words.size(); ++index) {
        hash = XXH3_64bits_withSeed(words[index].data(), words[index].size(), hash);
        if ((index + 1) % this->blockWords == 0) {
            chain.push_back(hash);
        }
    }
    return chain;
}

std::size_t FakeCache::cachedWords(const std::string &model, const std::vector<std::string> &words) const
{
    const auto chain = this->blockHashes(model, words);
    const auto missing = std::find_if(chain.begin(), chain.end(), [this](std::uint64_t hash) {
        return !this->blocks.contains(hash);
    });
    return static_cast<std::size_t>(missing - chain.begin()) * this->blockWords;
}

void FakeCache::store(const std::string &model, const std::vector<std::string> &words, const std::string &program)
{
    auto chain = this->blockHashes(model, words);
    if (chain.size() > this->maxBlocks) {
        chain.resize(this->maxBlocks);
    }
    for (const std::uint64_t hash : chain) {
        this->touch(hash, program);
    }
    // Evict the end of the prompt first: a block is of no use without all blocks before it.
    for (auto hash = chain.rbegin(); hash != chain.rend(); ++hash) {
        this->lruOrder.splice(this->lruOrder.end(), this->lruOrder, this->blocks.at(*hash).lruPosition);
    }
}

void FakeCache::touch(std::uint64_t hash, const std::string &program)
{
    if (const auto found = this->blocks.find(hash); found != this->blocks.end()) {
        this->lruOrder.splice(this->lruOrder.end(), this->lruOrder, found->second.lruPosition);
        this->addUser(found->second, program);
        return;
    }
    if (this->blocks.size() >= this->maxBlocks) {
        this->evict(this->lruOrder.front());
    }
    Block &block = this->blocks[hash];
    block.lruPosition = this->lruOrder.insert(this->lruOrder.end(), hash);
    this->addUser(block, program);
    this->recordEvent(true, hash, program);
}

void FakeCache::addUser(Block &block, const std::string &program)
{
    if (block.users.insert(program).second) {
        this->blockCounts[program] += 1;
    }
}

void FakeCache::removeUser(const std::string &program)
{
    const auto found = this->blockCounts.find(program);
    if (found != this->blockCounts.end() && --found->second == 0) {
        this->blockCounts.erase(found);
    }
}

void FakeCache::evict(std::uint64_t hash)
{
    const auto found = this->blocks.find(hash);
    const std::set<std::string> users = std::move(found->second.users);
    this->lruOrder.erase(found->second.lruPosition);
    this->blocks.erase(found);
    for (const std::string &user : users) {
        this->removeUser(user);
    }
    this->recordEvent(false, hash, users.empty() ? std::string() : *users.begin());
}

std::size_t FakeCache::release(const std::string &program)
{
    std::vector<std::uint64_t> own;
    for (auto &[hash, block] : this->blocks) {
        if (!block.users.contains(program)) {
            continue;
        }
        if (block.users.size() == 1) {
            own.push_back(hash);
        } else {
            block.users.erase(program);
            this->removeUser(program);
        }
    }
    std::sort(own.begin(), own.end());
    for (const std::uint64_t hash : own) {
        this->evict(hash);
    }
    return own.size();
}

void FakeCache::recordEvent(bool stored, std::uint64_t hash, const std::string &program)
{
    const std::uint64_t sequence = this->next++;
    if (this->takeGap && this->takeGap()) {
        return;
    }
    this->events.push_back({sequence, stored, hash, program});
    if (this->events.size() > MaxEvents) {
        this->events.pop_front();
    }
}

std::vector<FakeCacheEvent> FakeCache::eventsSince(std::uint64_t since, std::size_t bound) const
{
    const auto first = std::lower_bound(
        this->events.begin(), this->events.end(), since, [](const FakeCacheEvent &event, std::uint64_t sequence) {
            return event.sequence < sequence;
        });
    const auto count = std::min<std::ptrdiff_t>(this->events.end() - first, static_cast<std::ptrdiff_t>(bound));
    return {first, first + count};
}

std::uint64_t FakeCache::nextSequence() const
{
    return this->next;
}

std::size_t FakeCache::size() const
{
    return this->blocks.size();
}

std::vector<std::string> FakeCache::programs() const
{
    std::vector<std::string> names;
    for (const auto &[program, count] : this->blockCounts) {
        if (!program.empty()) {
            names.push_back(program);
        }
    }
    return names;
}

} // namespace Chestnuthook
