/** @file history_table_base.h  Kept turns and programs' token claims of one history member. Pure: no I/O, no clock. */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "rpc/history.capnp.h"

namespace Chestnuthook
{

/** Tokens of one turn of a program. */
struct TokenClaim
{
    std::string turn; ///< Id of the request.
    std::uint32_t tokens = 0; ///< The most that it may generate; once settled, what it did generate.
    bool settled = false; ///< The turn has ended.
    bool operator==(const TokenClaim &) const = default;
};

/** A turn that was answered whole. */
struct KeptTurn
{
    std::string id; ///< Id of its request.
    std::string previous; ///< The turn that it continues; empty at the start of a chain.
    std::string customer; ///< Whose it is.
    std::string input; ///< Body of its request.
    std::string output; ///< Data of each event, each followed by a line feed.
    std::uint64_t expiresMs = 0; ///< Wall clock, milliseconds since 1970.
    bool operator==(const KeptTurn &) const = default;
};

/** A claim of a program. */
struct ProgramClaim
{
    std::string program; ///< Customer and program.
    TokenClaim claim; ///< Of one turn.
    std::uint64_t expiresMs = 0; ///< Wall clock, milliseconds since 1970.
    bool operator==(const ProgramClaim &) const = default;
};

/** Highest view that a member has taken notice of. */
struct SeenView
{
    std::uint64_t version = 0; ///< Of the view.
    bool operator==(const SeenView &) const = default;
};

using HistoryRecord = std::variant<ProgramClaim, KeptTurn, SeenView>;

[[nodiscard]] HistoryRecord readRecord(Wire::HistoryRecord::Reader reader);
void writeRecord(Wire::HistoryRecord::Builder builder, const HistoryRecord &record);
[[nodiscard]] std::string recordBytes(const HistoryRecord &record);
[[nodiscard]] HistoryRecord recordOf(std::string_view bytes);
void writeTurn(Wire::KeptTurn::Builder builder, const KeptTurn &turn);
[[nodiscard]] KeptTurn readTurn(Wire::KeptTurn::Reader reader);

/** Turns from one backwards. */
struct TurnChain
{
    std::vector<std::shared_ptr<const KeptTurn>> turns; ///< Newest first.
    std::string missing; ///< A turn of the chain that isn't here; empty where the chain is whole.
};

class HistoryTable
{
public:
    void apply(const HistoryRecord &record);
    /** Drops what has expired. */
    void expire(std::uint64_t nowMs);

    [[nodiscard]] std::vector<TokenClaim> claimsOf(const std::string &program) const;
    /** The chain that ends at @p turn; turns of other customers count as missing. */
    [[nodiscard]] TurnChain chain(const std::string &turn, const std::string &customer) const;
    /** Records from @p position on, up to about @p bytes; @p position becomes the place after them. Empty at the end.
     */
    [[nodiscard]] std::vector<HistoryRecord> copyFrom(std::uint64_t &position, std::size_t bytes) const;

    [[nodiscard]] std::size_t turnCount() const
    {
        return this->turns.size();
    }
    [[nodiscard]] std::uint64_t seenView() const
    {
        return this->view;
    }

private:
    struct ClaimEntry
    {
        TokenClaim claim; ///< Latest state; never goes back from settled.
        std::uint64_t expiresMs = 0; ///< Of the claim.
    };
    /** A turn, or a claim of a program, in the order in which they came. */
    struct Place
    {
        std::string program; ///< Empty for a turn.
        std::string turn; ///< Id.
    };

    std::unordered_map<std::string, std::shared_ptr<const KeptTurn>> turns; ///< By id. Never changed once there.
    std::unordered_map<std::string, std::map<std::string, ClaimEntry>> claims; ///< By program and turn.
    std::map<std::uint64_t, Place> order; ///< What came when; for copies.
    std::uint64_t nextPosition = 1; ///< Of `order`.
    std::uint64_t view = 0; ///< Never falls.
};

/** Tokens that a program's claims take up; where members differ, the settled state counts. */
[[nodiscard]] std::uint64_t claimedTokens(
    const std::vector<std::vector<TokenClaim>> &answers, const std::string &except);

} // namespace Chestnuthook
