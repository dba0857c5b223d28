/** @file stream_message_func.cpp  Reads and writes streams. */
#include "history/stream_message_func.h"

#include "rpc/message_func.h"

namespace Chestnuthook
{

std::vector<StreamPiece> readPieces(capnp::List<Wire::StreamPiece>::Reader reader)
{
    std::vector<StreamPiece> pieces;
    pieces.reserve(reader.size());
    for (const auto piece : reader) {
        pieces.push_back({textOf(piece.getId()), bytesOf(piece.getOutput())});
    }
    return pieces;
}

void writePieces(capnp::List<Wire::StreamPiece>::Builder builder, const std::vector<StreamPiece> &pieces)
{
    for (unsigned i = 0; i < builder.size(); ++i) {
        builder[i].setId(wireText(pieces[i].id));
        builder[i].setOutput(dataOf(pieces[i].output));
    }
}

StreamBranch readBranch(Wire::StreamBranch::Reader reader)
{
    return {textOf(reader.getRequest()), textOf(reader.getParent()), reader.getResumedFrom(),
        readPieces(reader.getPieces())};
}

void writeBranch(Wire::StreamBranch::Builder builder, const StreamBranch &branch)
{
    builder.setRequest(wireText(branch.request));
    builder.setParent(wireText(branch.parent));
    builder.setResumedFrom(static_cast<std::uint32_t>(branch.resumedFrom));
    writePieces(builder.initPieces(static_cast<unsigned>(branch.pieces.size())), branch.pieces);
}

} // namespace Chestnuthook
