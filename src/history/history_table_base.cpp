/** @file history_table_base.cpp  Encoding of history records, and the table that they build. */
#include "history/history_table_base.h"

#include <algorithm>
#include <utility>

#include <capnp/message.h>

#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

/** A turn that is written again within this share of its time is a repetition, which isn't kept for longer. */
constexpr std::uint64_t RepetitionShare = 8;
constexpr std::size_t RecordOverheadBytes = 100; ///< Of a record in memory or in a message, besides its texts.

std::size_t bytesOfTurn(const KeptTurn &turn)
{
    return turn.input.size() + turn.output.size() + RecordOverheadBytes;
}

} // namespace

KeptTurn readTurn(Wire::KeptTurn::Reader reader)
{
    return {textOf(reader.getId()), textOf(reader.getPrevious()), textOf(reader.getCustomer()),
        bytesOf(reader.getInput()), bytesOf(reader.getOutput()), reader.getExpiresMs(), reader.getKeepMs()};
}

void writeTurn(Wire::KeptTurn::Builder builder, const KeptTurn &turn)
{
    builder.setId(wireText(turn.id));
    builder.setPrevious(wireText(turn.previous));
    builder.setCustomer(wireText(turn.customer));
    builder.setInput(dataOf(turn.input));
    builder.setOutput(dataOf(turn.output));
    builder.setExpiresMs(turn.expiresMs);
    builder.setKeepMs(turn.keepMs);
}

HistoryRecord readRecord(Wire::HistoryRecord::Reader reader)
{
    switch (reader.which()) {
    case Wire::HistoryRecord::TURN:
        return readTurn(reader.getTurn());
    case Wire::HistoryRecord::VIEW:
        return SeenView{reader.getView()};
    case Wire::HistoryRecord::CLAIM:
        break;
    }
    const auto group = reader.getClaim();
    const auto claim = group.getClaim();
    return ProgramClaim{textOf(group.getProgram()),
        TokenClaim{textOf(claim.getTurn()), claim.getTokens(), claim.getSettled()}, group.getExpiresMs(),
        group.getKeepMs()};
}

void writeRecord(Wire::HistoryRecord::Builder builder, const HistoryRecord &record)
{
    if (const auto *turn = std::get_if<KeptTurn>(&record)) {
        writeTurn(builder.initTurn(), *turn);
    } else if (const auto *seen = std::get_if<SeenView>(&record)) {
        builder.setView(seen->version);
    } else if (const auto *claim = std::get_if<ProgramClaim>(&record)) {
        auto group = builder.initClaim();
        group.setProgram(wireText(claim->program));
        group.setExpiresMs(claim->expiresMs);
        group.setKeepMs(claim->keepMs);
        auto tokens = group.initClaim();
        tokens.setTurn(wireText(claim->claim.turn));
        tokens.setTokens(claim->claim.tokens);
        tokens.setSettled(claim->claim.settled);
    }
}

std::string encodeRecord(const HistoryRecord &record)
{
    capnp::MallocMessageBuilder message;
    writeRecord(message.initRoot<Wire::HistoryRecord>(), record);
    return flatBytes(message);
}

HistoryRecord decodeRecord(std::string_view bytes)
{
    FlatMessage message(bytes);
    return readRecord(message.root<Wire::HistoryRecord>());
}

bool HistoryTable::apply(const HistoryRecord &record)
{
    if (const auto *turn = std::get_if<KeptTurn>(&record)) {
        auto [at, isNew] = this->turns.try_emplace(turn->id);
        TurnEntry &entry = at->second;
        if (!isNew && turn->expiresMs <= entry.loggedMs + turn->keepMs / RepetitionShare) {
            return false;
        }
        if (isNew) {
            entry.turn = std::make_shared<KeptTurn>(*turn);
            entry.previous = turn->previous;
            entry.customer = &*this->customers.insert(turn->customer).first;
            this->arrivals.emplace(this->nextPosition++, RecordKey{nullptr, &at->first});
            const auto expected = this->absent.extract(turn->id);
            entry.expiresMs = expected.empty() ? 0 : expected.mapped();
        }
        entry.loggedMs = turn->expiresMs;
        entry.expiresMs = std::max(entry.expiresMs, turn->expiresMs);
        this->keepChain(turn->previous, turn->customer, entry.expiresMs);
        return true;
    }
    if (const auto *seen = std::get_if<SeenView>(&record)) {
        return seen->version > std::exchange(this->view, std::max(this->view, seen->version));
    }
    const auto &claim = std::get<ProgramClaim>(record);
    if (claim.program.empty()) { // A begin call of a turn without a budget.
        return false;
    }
    const auto program = this->claims.try_emplace(claim.program).first;
    auto [entry, isNew] = program->second.try_emplace(claim.claim.turn);
    if (isNew) {
        this->arrivals.emplace(this->nextPosition++, RecordKey{&program->first, &entry->first});
    }
    if (!isNew && (!claim.claim.settled || entry->second.claim == claim.claim)) {
        return false;
    }
    entry->second = ClaimEntry{claim.claim, claim.expiresMs, claim.keepMs};
    return true;
}

void HistoryTable::keepChain(std::string id, const std::string &customer, std::uint64_t expiresMs)
{
    while (!id.empty()) {
        const auto known = this->turns.find(id);
        if (known == this->turns.end()) {
            std::uint64_t &expected = this->absent[id];
            expected = std::max(expected, expiresMs);
            return;
        }
        TurnEntry &entry = known->second;
        // The turns before an entry are kept as long as the entry.
        if (*entry.customer != customer || entry.expiresMs >= expiresMs) {
            return;
        }
        entry.expiresMs = expiresMs;
        id = entry.previous;
    }
}

void HistoryTable::place(const std::string &turn, const RecordLocation &location)
{
    const auto known = this->turns.find(turn);
    if (known == this->turns.end() || this->reader == nullptr) {
        return;
    }
    TurnEntry &entry = known->second;
    const bool wasPlaced = entry.isPlaced();
    entry.location = location;
    if (!wasPlaced) {
        this->cacheTurn(entry);
    }
}

void HistoryTable::cacheTurn(TurnEntry &entry)
{
    entry.cached = this->cache.insert(this->cache.begin(), &entry);
    this->cacheSize += bytesOfTurn(*entry.turn);
    while (this->cacheSize > this->cacheBytes && !this->cache.empty()) {
        TurnEntry &oldest = *this->cache.back();
        this->dropFromCache(oldest);
        oldest.turn.reset();
    }
}

void HistoryTable::dropFromCache(TurnEntry &entry)
{
    this->cacheSize -= bytesOfTurn(*entry.turn);
    this->cache.erase(entry.cached);
}

std::shared_ptr<const KeptTurn> HistoryTable::load(TurnEntry &entry)
{
    if (entry.turn == nullptr) {
        Result<KeptTurn> read = this->reader(entry.location);
        if (!read) {
            ++this->readFailures;
            return nullptr;
        }
        auto turn = std::make_shared<const KeptTurn>(std::move(*read));
        entry.turn = turn;
        this->cacheTurn(entry);
        return turn;
    }
    if (entry.isCached()) {
        this->cache.splice(this->cache.begin(), this->cache, entry.cached);
    }
    return entry.turn;
}

std::vector<KeptTurn> HistoryTable::takeRenewals(std::uint64_t beforeMs, std::size_t maxBytes)
{
    std::vector<KeptTurn> renewals;
    std::size_t size = 0;
    for (auto &[id, entry] : this->turns) {
        if (entry.loggedMs >= beforeMs || entry.loggedMs >= entry.expiresMs) {
            continue;
        }
        if (size >= maxBytes) {
            break;
        }
        if (const auto turn = this->load(entry)) {
            renewals.push_back(*turn);
            renewals.back().expiresMs = entry.expiresMs;
            size += bytesOfTurn(*turn);
        }
        entry.loggedMs = entry.expiresMs;
    }
    return renewals;
}

void HistoryTable::expire(std::uint64_t nowMs)
{
    std::erase_if(this->absent, [nowMs](const auto &expected) {
        return expected.second < nowMs;
    });
    for (auto at = this->arrivals.begin(); at != this->arrivals.end();) {
        const RecordKey &key = at->second;
        bool expired = false;
        if (key.program == nullptr) {
            const auto turn = this->turns.find(*key.turn);
            expired = turn->second.expiresMs < nowMs;
            if (expired) {
                if (turn->second.isCached()) {
                    this->dropFromCache(turn->second);
                }
                this->turns.erase(turn);
            }
        } else {
            const auto program = this->claims.find(*key.program);
            const auto claim = program->second.find(*key.turn);
            expired = claim->second.expiresMs < nowMs;
            if (expired) {
                program->second.erase(claim);
            }
            if (program->second.empty()) {
                this->claims.erase(program);
            }
        }
        at = expired ? this->arrivals.erase(at) : std::next(at);
    }
}

std::vector<TokenClaim> HistoryTable::claimsOf(const std::string &program) const
{
    std::vector<TokenClaim> list;
    const auto known = this->claims.find(program);
    if (known != this->claims.end()) {
        for (const auto &[turn, entry] : known->second) {
            list.push_back(entry.claim);
        }
    }
    return list;
}

TurnChain HistoryTable::chain(const std::string &turn, const std::string &customer)
{
    TurnChain chain;
    std::string next = turn;
    while (!next.empty()) {
        const auto known = this->turns.find(next);
        const bool isKnown = known != this->turns.end() && *known->second.customer == customer;
        const auto loaded = isKnown ? this->load(known->second) : nullptr;
        if (loaded == nullptr) {
            chain.missing = next;
            chain.isUnreadable = isKnown;
            return chain;
        }
        chain.turns.push_back(loaded);
        next = loaded->previous;
    }
    return chain;
}

std::string HistoryTable::missingInChain(const std::string &turn, const std::string &customer) const
{
    std::string next = turn;
    while (!next.empty()) {
        const auto known = this->turns.find(next);
        if (known == this->turns.end() || *known->second.customer != customer) {
            return next;
        }
        next = known->second.previous;
    }
    return {};
}

std::vector<HistoryRecord> HistoryTable::readFrom(std::uint64_t &position, std::size_t bytes)
{
    std::vector<HistoryRecord> records;
    std::size_t size = 0;
    for (auto at = this->arrivals.lower_bound(position); at != this->arrivals.end() && size < bytes; ++at) {
        const RecordKey &key = at->second;
        if (key.program == nullptr) {
            TurnEntry &entry = this->turns.at(*key.turn);
            if (const auto loaded = this->load(entry)) {
                KeptTurn turn = *loaded;
                turn.expiresMs = entry.expiresMs;
                size += bytesOfTurn(turn);
                records.emplace_back(std::move(turn));
            }
        } else {
            const ClaimEntry &entry = this->claims.at(*key.program).at(*key.turn);
            records.emplace_back(ProgramClaim{*key.program, entry.claim, entry.expiresMs, entry.keepMs});
            size += RecordOverheadBytes;
        }
        position = at->first + 1;
    }
    return records;
}

std::uint64_t claimedTokens(const std::vector<std::vector<TokenClaim>> &answers, const std::string &excludedTurn)
{
    std::unordered_map<std::string, TokenClaim> byTurn;
    for (const auto &answer : answers) {
        for (const TokenClaim &claim : answer) {
            TokenClaim &known = byTurn.try_emplace(claim.turn, claim).first->second;
            if (claim.settled && !known.settled) {
                known = claim;
            }
        }
    }
    std::uint64_t sum = 0;
    for (const auto &[turn, claim] : byTurn) {
        sum += turn == excludedTurn ? 0 : claim.tokens;
    }
    return sum;
}

} // namespace Chestnuthook
