/** @file stream_progress_type.h  What history members hold of a stream whose turn will be kept, so that a gateway at
 * which its client resumes it can store the turn with the events before. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Chestnuthook
{

/** An event of a stream. */
struct StreamPiece
{
    std::string id; ///< Id of the event; empty if it has none.
    std::string output; ///< What it adds to the output of the turn; empty if the event has no data.
    bool operator==(const StreamPiece &) const = default;
};

/** The events of a stream as one request received them. The gateway of the request is the only writer. */
struct StreamBranch
{
    std::string request; ///< Id of the request.
    std::string parent; ///< Id of the request whose events it follows; empty if it began the stream.
    std::size_t resumedFrom = 0; ///< Number of `pieces` at the front that it shares with its parent.
    std::vector<StreamPiece> pieces; ///< All events of the stream from its beginning on; only grows.
    bool operator==(const StreamBranch &) const = default;
};

/** All that one member holds of a stream. */
struct StreamProgress
{
    std::uint64_t turn = 0; ///< Hash of the request that began the stream; see `turnHash`.
    unsigned members = 0; ///< Number of members that were told of the beginning of the stream.
    bool isAmbiguous = false; ///< Its request id began two streams.
    std::map<std::string, StreamBranch> branches; ///< By request id.
};

/** Hash of what a resumption has in common with the request that began the stream. */
[[nodiscard]] std::uint64_t turnHash(
    const std::string &target, const std::string &previousTurn, const std::string &body);

} // namespace Chestnuthook
