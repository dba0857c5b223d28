/** @file fake_cache_base.cpp  The engine's prefix cache. */
#include "fakes/fake_cache_base.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace Chestnuthook
{

FakeCache::FakeCache(std::size_t blockBound, std::size_t wordsPerBlock, std::function<bool()> gapTaker)
    : maxBlocks(blockBound)
    , blockWords(std::max<std::size_t>(wordsPerBlock, 1))
    , takeGap(std::move(gapTaker))
{
}

std::vector<std::uint64_t> FakeCache::chainOf(const std::string &model, const std::vector<std::string> &words) const
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
    const auto chain = this->chainOf(model, words);
    const auto missing = std::find_if(chain.begin(), chain.end(), [this](std::uint64_t hash) {
        return !this->blocks.contains(hash);
    });
    return static_cast<std::size_t>(missing - chain.begin()) * this->blockWords;
}

void FakeCache::store(const std::string &model, const std::vector<std::string> &words, const std::string &program)
{
    auto chain = this->chainOf(model, words);
    if (chain.size() > this->maxBlocks) {
        chain.resize(this->maxBlocks);
    }
    for (const std::uint64_t hash : chain) {
        this->touch(hash, program);
    }
    // The beginning of the chain goes out last, since the rest is of no use without it.
    for (auto hash = chain.rbegin(); hash != chain.rend(); ++hash) {
        this->order.splice(this->order.end(), this->order, this->blocks.at(*hash).place);
    }
}

void FakeCache::touch(std::uint64_t hash, const std::string &program)
{
    if (const auto found = this->blocks.find(hash); found != this->blocks.end()) {
        this->order.splice(this->order.end(), this->order, found->second.place);
        this->use(found->second, program);
        return;
    }
    if (this->blocks.size() >= this->maxBlocks) {
        this->evict(this->order.front());
    }
    Block &block = this->blocks[hash];
    block.place = this->order.insert(this->order.end(), hash);
    this->use(block, program);
    this->note(true, hash, program);
}

void FakeCache::use(Block &block, const std::string &program)
{
    if (block.users.insert(program).second) {
        this->held[program] += 1;
    }
}

void FakeCache::leave(const std::string &program)
{
    const auto found = this->held.find(program);
    if (found != this->held.end() && --found->second == 0) {
        this->held.erase(found);
    }
}

void FakeCache::evict(std::uint64_t hash)
{
    const auto found = this->blocks.find(hash);
    const std::set<std::string> users = std::move(found->second.users);
    this->order.erase(found->second.place);
    this->blocks.erase(found);
    for (const std::string &user : users) {
        this->leave(user);
    }
    this->note(false, hash, users.empty() ? std::string() : *users.begin());
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
            this->leave(program);
        }
    }
    std::sort(own.begin(), own.end());
    for (const std::uint64_t hash : own) {
        this->evict(hash);
    }
    return own.size();
}

void FakeCache::note(bool stored, std::uint64_t hash, const std::string &program)
{
    const std::uint64_t sequence = this->next++;
    if (this->takeGap && this->takeGap()) {
        return;
    }
    this->events.push_back({sequence, stored, hash, program});
    if (this->events.size() > EventBound) {
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
    for (const auto &[program, count] : this->held) {
        if (!program.empty()) {
            names.push_back(program);
        }
    }
    return names;
}

} // namespace Chestnuthook
