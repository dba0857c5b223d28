/** @file history_table_base.h  Index of the turns that one history member stores, and its token claims. The index is in
 * memory; of the turns' texts only those used last are. No I/O, no clock. */
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "history/history_log_base.h"
#include "rpc/history.capnp.h"

namespace Chestnuthook
{

/** Tokens that one turn takes from the budget of its program. */
struct TokenClaim
{
    std::string turn; ///< Request id of the turn.
    std::uint32_t tokens = 0; ///< Most tokens it may generate; once settled, the number it generated.
    bool settled = false; ///< The turn has ended.
    bool operator==(const TokenClaim &) const = default;
};

/** A turn whose response was completed. */
struct KeptTurn
{
    std::string id; ///< Request id of the turn.
    std::string previous; ///< Id of the turn that it continues; empty at the start of a chain.
    std::string customer; ///< Customer that owns the turn.
    std::string input; ///< Request body.
    std::string output; ///< Data of the response events, each followed by a line feed.
    std::uint64_t expiresMs = 0; ///< Wall clock, milliseconds since 1970.
    std::uint64_t keepMs = 0; ///< Time for which a member keeps it from its arrival on; 0 if not known.
    bool operator==(const KeptTurn &) const = default;
};

/** A token claim with its program. */
struct ProgramClaim
{
    std::string program; ///< Customer and program id.
    TokenClaim claim; ///< Claim of one turn.
    std::uint64_t expiresMs = 0; ///< Wall clock, milliseconds since 1970.
    std::uint64_t keepMs = 0; ///< Time for which a member keeps it from its arrival on; 0 if not known.
    bool operator==(const ProgramClaim &) const = default;
};

/** Records that a member has accepted a call under this view; calls under older views are rejected. */
struct SeenView
{
    std::uint64_t version = 0; ///< Version of the view.
    bool operator==(const SeenView &) const = default;
};

using HistoryRecord = std::variant<ProgramClaim, KeptTurn, SeenView>;

[[nodiscard]] HistoryRecord readRecord(Wire::HistoryRecord::Reader reader);
void writeRecord(Wire::HistoryRecord::Builder builder, const HistoryRecord &record);
[[nodiscard]] std::string encodeRecord(const HistoryRecord &record);
[[nodiscard]] HistoryRecord decodeRecord(std::string_view bytes);
void writeTurn(Wire::KeptTurn::Builder builder, const KeptTurn &turn);
[[nodiscard]] KeptTurn readTurn(Wire::KeptTurn::Reader reader);

/** A turn and the turns that it continues, back to the first one. */
struct TurnChain
{
    std::vector<std::shared_ptr<const KeptTurn>> turns; ///< Newest first.
    std::string missing; ///< Id of the first turn that isn't stored here; empty if the chain is complete.
    bool isUnreadable = false; ///< The turn `missing` is stored here, but the log can't be read.
};

/** Reads a turn that was placed in the log. Errors: StorageFailed, StorageCorrupt. */
using TurnReader = std::function<Result<KeptTurn>(const RecordLocation &)>;

/** All times are those of one clock of its owner. Ids are those of `indexedId`, whatever ids are passed in. */
class HistoryTable
{
public:
    HistoryTable() = default;
    /** Turns that the log holds are read by @p reader when they are needed again. About @p cacheBytes of them stay in
     * memory. */
    HistoryTable(TurnReader reader, std::size_t cacheBytes)
        : reader(std::move(reader))
        , cacheBytes(cacheBytes)
    {
    }

    /** @return whether the record has changed the table. */
    bool apply(const HistoryRecord &record);
    /** Records that the log holds the newest record of @p turn at @p location, so that it needn't stay in memory. */
    void place(const std::string &turn, const RecordLocation &location);
    /** Deletes records that expired before @p nowMs, in milliseconds since 1970. */
    void expire(std::uint64_t nowMs);
    /** Deletes all records but the highest seen view. */
    void clear();

    [[nodiscard]] std::vector<TokenClaim> claimsOf(const std::string &program) const;
    /** Whether the program has a claim of any turn. */
    [[nodiscard]] bool hasClaims(const std::string &program) const;
    /** The chain that ends at @p turn. Turns of other customers count as missing. */
    [[nodiscard]] TurnChain chain(const std::string &turn, const std::string &customer);
    /** The first turn of that chain, from its end, that isn't stored here; empty if the chain is complete. */
    [[nodiscard]] std::string missingInChain(const std::string &turn, const std::string &customer) const;
    /** Records from @p position on, about @p bytes of them. Advances @p position past them. Empty at the end of the
     * table. Turns that can't be read are left out and counted. */
    [[nodiscard]] std::vector<HistoryRecord> readFrom(std::uint64_t &position, std::size_t bytes);
    /** Position after the last record. */
    [[nodiscard]] std::uint64_t endPosition() const
    {
        return this->nextPosition;
    }

    /** Turns whose last record in the log expires before @p beforeMs although they are kept for longer, each with its
     * new expiry; about @p maxBytes of them. The caller must append them to the log. Turns that can't be read are left
     * out and counted. */
    [[nodiscard]] std::vector<KeptTurn> takeRenewals(
        std::uint64_t beforeMs, std::size_t maxBytes = std::numeric_limits<std::size_t>::max());

    [[nodiscard]] std::size_t turnCount() const
    {
        return this->turns.size();
    }
    /** Number of reads of turns that have failed. */
    [[nodiscard]] std::uint64_t failedReads() const
    {
        return this->readFailures;
    }
    /** Bytes of the turns in memory that the log holds, too. */
    [[nodiscard]] std::size_t cachedBytes() const
    {
        return this->cacheSize;
    }
    /** Size of the index without the turns' texts, in bytes: what its entries and their ids take on the heap. */
    [[nodiscard]] std::size_t indexBytes() const
    {
        return this->indexSize;
    }
    [[nodiscard]] std::uint64_t highestSeenView() const
    {
        return this->view;
    }

private:
    struct ClaimEntry
    {
        TokenClaim claim; ///< Latest state; a settled claim never becomes unsettled.
        std::uint64_t expiresMs = 0; ///< Milliseconds since 1970.
        std::uint64_t keepMs = 0; ///< See ProgramClaim.
    };
    struct TurnEntry;
    using TurnCache = std::list<TurnEntry *>; ///< The turn that was used last comes first.
    /** A turn is kept until all turns that continue it have expired. */
    struct TurnEntry
    {
        /** Never changes; its `expiresMs` is that of one of its records. Null if only the log holds it. */
        std::shared_ptr<const KeptTurn> turn;
        std::string previous; ///< Id of the turn that it continues; empty at the start of a chain.
        const std::string *customer = nullptr; ///< Customer that owns it, in `customers`.
        RecordLocation location; ///< Its newest record in the log, if it was placed.
        TurnCache::iterator cached; ///< Position in `cache`, if it is in memory and was placed.
        std::uint64_t expiresMs = 0; ///< Not earlier than that of any turn that continues it.
        std::uint64_t loggedMs = 0; ///< Latest expiry of its records in the log.

        [[nodiscard]] bool isPlaced() const
        {
            return this->location.segment != 0;
        }
        [[nodiscard]] bool isCached() const
        {
            return this->turn != nullptr && this->isPlaced();
        }
    };
    /** Identifies a turn or a claim. Points to the keys of `turns` and `claims`. */
    struct RecordKey
    {
        const std::string *program = nullptr; ///< Program of a claim; null for a turn.
        const std::string *turn = nullptr; ///< Request id of the turn.
    };

    /** Adds the size of an entry to `indexSize`, or subtracts it. */
    void addTurnSize(const std::string &id, const TurnEntry &entry);
    void removeTurnSize(const std::string &id, const TurnEntry &entry);
    void addClaimSize(const std::string &id, const ClaimEntry &entry);
    void removeClaimSize(const std::string &id, const ClaimEntry &entry);
    /** Deletes a turn or claim that has expired. */
    void eraseTurn(const std::string &id);
    void eraseClaim(const RecordKey &key);

    /** The turn of @p entry, read from the log if it isn't in memory; null if that fails. */
    std::shared_ptr<const KeptTurn> load(TurnEntry &entry);
    /** Adds a placed turn to the cache and drops others from memory if that is too large. */
    void cacheTurn(TurnEntry &entry);
    void dropFromCache(TurnEntry &entry);

    /** Keeps the chain of @p customer that ends at @p id until @p expiresMs. */
    void keepChain(std::string id, const std::string &customer, std::uint64_t expiresMs);

    TurnReader reader; ///< Reads turns that aren't in memory. Without one, all turns stay in memory.
    std::size_t cacheBytes = 0; ///< Limit of `cacheSize`.
    std::size_t cacheSize = 0; ///< Bytes of the turns in `cache`.
    TurnCache cache; ///< Turns in memory that the log holds, too.
    std::uint64_t readFailures = 0; ///< See `failedReads`.
    std::size_t indexSize = 0; ///< See `indexBytes`.
    std::set<std::string> customers; ///< All customers that have owned turns.
    std::unordered_map<std::string, TurnEntry> turns; ///< By id.
    std::unordered_map<std::string, std::uint64_t>
        absent; ///< Expiry of turns that others continue, but that aren't here.
    std::unordered_map<std::string, std::map<std::string, ClaimEntry>> claims; ///< By program, then by turn.
    std::map<std::uint64_t, RecordKey> arrivals; ///< Records by order of arrival, which is the order of copies.
    std::uint64_t nextPosition = 1; ///< Next key of `arrivals`.
    std::uint64_t view = 0; ///< Highest version of a SeenView; never decreases.
};

/** Sum of the tokens that a program's turns have claimed, without @p excludedTurn. @p answers are the claims that each
 * member returned; where they differ, the settled claim counts. */
[[nodiscard]] std::uint64_t claimedTokens(
    const std::vector<std::vector<TokenClaim>> &answers, const std::string &excludedTurn);

} // namespace Chestnuthook
