/** @file stream_resumption_func.h  Decides from the answers of history members which events of a stream its client has.
 * Pure functions without I/O. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "core/name_table_type.h"
#include "history/stream_progress_type.h"

namespace Chestnuthook
{

/** Why the events that a client has are not known for certain. */
enum class ResumptionDoubt : std::uint8_t {
    TooFewMembers, ///< Fewer than a majority of the members that were told of the beginning still hold the stream.
    AnotherTurn, ///< The stream began with another input, or after another turn.
    UnknownEvent, ///< No member holds the events up to the client's last one.
    SeveralWriters, ///< The client's events may be those of either of two requests.
    WithoutIds, ///< Events without an id, or with the same one, can't be told apart.
};

template<>
struct NameTable<ResumptionDoubt>
{
    static constexpr auto Rows = std::to_array<NameRow<ResumptionDoubt>>({
        {ResumptionDoubt::TooFewMembers, "too few history members hold the beginning of the stream"},
        {ResumptionDoubt::AnotherTurn, "the stream began with another input or after another turn"},
        {ResumptionDoubt::UnknownEvent, "no history member holds the client's last event"},
        {ResumptionDoubt::SeveralWriters, "two requests may have brought the client's events"},
        {ResumptionDoubt::WithoutIds, "events of the stream have no ids of their own"},
    });
};

/** What one request has brought of a stream. */
struct StreamShare
{
    std::string request; ///< Id of the request.
    unsigned events = 0; ///< Number of events with data that the client has got from it.
    bool operator==(const StreamShare &) const = default;
};

/** The part of a stream that a client has. */
struct StreamBeginning
{
    std::string parent; ///< Request that brought its last event.
    std::vector<StreamPiece> pieces; ///< All its events.
    std::vector<StreamShare> shares; ///< Of each request that brought some of them, the last one first.
    unsigned members = 0; ///< Number of members that were told of the beginning of the stream.
};

/** Finds the events that a client has whose last one is @p lastEventId.
 *
 * A client takes a stream up in one request after the other, each of which a majority of the members accepts before it
 * brings an event. A resumption after an event shows that its client has no later event of the request before; two
 * resumptions of the same request leave open which one the client still reads.
 * @param answers of the members that hold the stream.
 * @param turn see `turnHash`. */
[[nodiscard]] tl::expected<StreamBeginning, ResumptionDoubt> findStreamBeginning(
    const std::vector<StreamProgress> &answers, std::uint64_t turn, const std::string &lastEventId);

} // namespace Chestnuthook
