/** @file history_table_base.cpp  Encoding of history records, and the table that they build. */
#include "history/history_table_base.h"

#include <algorithm>
#include <utility>

#include <capnp/message.h>

#include "history/record_id_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

/** A turn that is written again within this share of its time is a repetition, which isn't kept for longer. */
constexpr std::uint64_t RepetitionShare = 8;
constexpr std::size_t RecordOverheadBytes = 100; ///< Of a record in memory or in a message, besides its texts.

/** Sizes of entries on a 64-bit machine, with the overhead of the heap but without the ids. */
constexpr std::size_t IndexBytesPerRecord = 300;
constexpr std::size_t IndexBytesPerProgram = 160;
constexpr std::size_t IndexBytesPerAbsentTurn = 80;

std::size_t bytesOfTurn(const KeptTurn &turn)
{
    return turn.id.size() + turn.previous.size() + turn.input.size() + turn.output.size() + RecordOverheadBytes;
}

/** What @p text takes on the heap. Short strings take nothing. */
std::size_t heapBytes(const std::string &text)
{
    static const std::size_t ShortCapacity = std::string().capacity();
    constexpr std::size_t BlockOverheadBytes = 16;
    return text.capacity() <= ShortCapacity ? 0 : text.capacity() + BlockOverheadBytes;
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
        auto [at, isNew] = this->turns.try_emplace(indexedId(turn->id));
        TurnEntry &entry = at->second;
        if (!isNew && turn->expiresMs <= entry.loggedMs + turn->keepMs / RepetitionShare) {
            return false;
        }
        if (isNew) {
            entry.turn = std::make_shared<KeptTurn>(*turn);
            entry.previous = indexedId(turn->previous);
            entry.customer = &*this->customers.insert(turn->customer).first;
            this->arrivals.emplace(this->nextPosition++, RecordKey{nullptr, &at->first});
            const auto expected = this->absent.extract(at->first);
            entry.expiresMs = expected.empty() ? 0 : expected.mapped();
            this->indexSize -= expected.empty() ? 0 : IndexBytesPerAbsentTurn + heapBytes(expected.key());
            this->addTurnSize(at->first, entry);
        }
        entry.loggedMs = turn->expiresMs;
        entry.expiresMs = std::max(entry.expiresMs, turn->expiresMs);
        this->keepChain(entry.previous, turn->customer, entry.expiresMs);
        return true;
    }
    if (const auto *seen = std::get_if<SeenView>(&record)) {
        return seen->version > std::exchange(this->view, std::max(this->view, seen->version));
    }
    const auto &claim = std::get<ProgramClaim>(record);
    if (claim.program.empty()) { // A begin call of a turn without a budget.
        return false;
    }
    const auto [program, isNewProgram] = this->claims.try_emplace(indexedId(claim.program));
    this->indexSize += isNewProgram ? IndexBytesPerProgram + heapBytes(program->first) : 0;
    auto [at, isNew] = program->second.try_emplace(indexedId(claim.claim.turn));
    ClaimEntry &entry = at->second;
    const bool isKnown = entry.claim.settled == claim.claim.settled && entry.claim.tokens == claim.claim.tokens;
    if (!isNew && (!claim.claim.settled || isKnown)) {
        return false;
    }
    entry.claim.tokens = claim.claim.tokens;
    entry.claim.settled = claim.claim.settled;
    entry.expiresMs = claim.expiresMs;
    entry.keepMs = claim.keepMs;
    if (isNew) {
        entry.claim.turn = at->first;
        this->arrivals.emplace(this->nextPosition++, RecordKey{&program->first, &at->first});
        this->addClaimSize(at->first, entry);
    }
    return true;
}

void HistoryTable::addTurnSize(const std::string &id, const TurnEntry &entry)
{
    this->indexSize += IndexBytesPerRecord + heapBytes(id) + heapBytes(entry.previous);
}

void HistoryTable::removeTurnSize(const std::string &id, const TurnEntry &entry)
{
    this->indexSize -= IndexBytesPerRecord + heapBytes(id) + heapBytes(entry.previous);
}

void HistoryTable::addClaimSize(const std::string &id, const ClaimEntry &entry)
{
    this->indexSize += IndexBytesPerRecord + heapBytes(id) + heapBytes(entry.claim.turn);
}

void HistoryTable::removeClaimSize(const std::string &id, const ClaimEntry &entry)
{
    this->indexSize -= IndexBytesPerRecord + heapBytes(id) + heapBytes(entry.claim.turn);
}

void HistoryTable::keepChain(std::string id, const std::string &customer, std::uint64_t expiresMs)
{
    while (!id.empty()) {
        const auto known = this->turns.find(id);
        if (known == this->turns.end()) {
            const auto [expected, isNew] = this->absent.try_emplace(id);
            expected->second = std::max(expected->second, expiresMs);
            this->indexSize += isNew ? IndexBytesPerAbsentTurn + heapBytes(expected->first) : 0;
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
    const auto known = this->turns.find(indexedId(turn));
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
    std::erase_if(this->absent, [this, nowMs](const auto &expected) {
        const bool expired = expected.second < nowMs;
        this->indexSize -= expired ? IndexBytesPerAbsentTurn + heapBytes(expected.first) : 0;
        return expired;
    });
    std::erase_if(this->arrivals, [this, nowMs](const auto &arrival) {
        const RecordKey &key = arrival.second;
        if (key.program == nullptr) {
            const bool expired = this->turns.at(*key.turn).expiresMs < nowMs;
            if (expired) {
                this->eraseTurn(*key.turn);
            }
            return expired;
        }
        const bool expired = this->claims.at(*key.program).at(*key.turn).expiresMs < nowMs;
        if (expired) {
            this->eraseClaim(key);
        }
        return expired;
    });
}

void HistoryTable::clear()
{
    this->expire(std::numeric_limits<std::uint64_t>::max());
}

void HistoryTable::eraseTurn(const std::string &id)
{
    const auto turn = this->turns.find(id);
    if (turn->second.isCached()) {
        this->dropFromCache(turn->second);
    }
    this->removeTurnSize(turn->first, turn->second);
    this->turns.erase(turn);
}

void HistoryTable::eraseClaim(const RecordKey &key)
{
    const auto program = this->claims.find(*key.program);
    const auto claim = program->second.find(*key.turn);
    this->removeClaimSize(claim->first, claim->second);
    program->second.erase(claim);
    if (program->second.empty()) {
        this->indexSize -= IndexBytesPerProgram + heapBytes(program->first);
        this->claims.erase(program);
    }
}

bool HistoryTable::hasClaims(const std::string &program) const
{
    return this->claims.contains(indexedId(program));
}

std::vector<TokenClaim> HistoryTable::claimsOf(const std::string &program) const
{
    std::vector<TokenClaim> list;
    const auto known = this->claims.find(indexedId(program));
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
    std::string next = turn; // As it was sent: members of older builds know no other form.
    while (!next.empty()) {
        const auto known = this->turns.find(indexedId(next));
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
    std::string next = indexedId(turn);
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
