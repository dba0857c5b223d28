/** @file response_owner_func.h  Which request on a connection a response belongs to. Endpoints may send a response late
 * or twice, so that it arrives where the response to a later request is expected. */
#pragma once

#include <cstdint>
#include <string_view>

#include "core/name_table_type.h"
#include "gateway/header_codec_type.h"

namespace Chestnuthook
{

/** The request that a response belongs to. */
enum class ResponseOwner : std::uint8_t {
    Awaited, ///< The request whose response is awaited.
    Earlier, ///< Another request on the same connection. The awaited response may still follow.
    Unknown, ///< Can't be told, so that nothing may be concluded from the response.
};

template<>
struct NameTable<ResponseOwner>
{
    static constexpr auto Rows = std::to_array<NameRow<ResponseOwner>>({{ResponseOwner::Awaited, "awaited"},
        {ResponseOwner::Earlier, "earlier"}, {ResponseOwner::Unknown, "unknown"}});
};
static_assert(isNameTableWhole(ResponseOwner::Unknown));

/** A request whose response is awaited. */
struct AwaitedRequest
{
    std::string_view id; ///< Request id; empty if the client sent none.
    bool followsResponseWithoutId = false; ///< A response without an id was received on its connection before.
};

/** Whether a response with @p metadata and @p status says that its request was not executed and never will be. */
[[nodiscard]] bool isRejection(const ResponseMetadata &metadata, unsigned status);
/** Whether @p status promises a client that its request has not run. A gateway may send it only if it knows that. */
[[nodiscard]] bool promisesNotExecuted(unsigned status);

/** @return the owner of a response with @p metadata and @p status that arrives while the one to @p awaited is due. An
 * endpoint may reject a request without an id, as it can't read it. A second copy of such a rejection can't be told
 * from one of the next request, so it is believed only once on a connection. */
[[nodiscard]] ResponseOwner ownerOf(const ResponseMetadata &metadata, unsigned status, const AwaitedRequest &awaited);

} // namespace Chestnuthook
