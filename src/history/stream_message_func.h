/** @file stream_message_func.h  Conversions between streams and Cap'n Proto messages. */
#pragma once

#include <vector>

#include "history/stream_progress_type.h"
#include "rpc/history.capnp.h"

namespace Chestnuthook
{

[[nodiscard]] std::vector<StreamPiece> readPieces(capnp::List<Wire::StreamPiece>::Reader reader);
/** Writes @p pieces to a list of the same length. */
void writePieces(capnp::List<Wire::StreamPiece>::Builder builder, const std::vector<StreamPiece> &pieces);
[[nodiscard]] StreamBranch readBranch(Wire::StreamBranch::Reader reader);
void writeBranch(Wire::StreamBranch::Builder builder, const StreamBranch &branch);

} // namespace Chestnuthook
