/** @file response_owner_func.cpp  Compares the request ids of responses and requests. */
#include "gateway/response_owner_func.h"

#include "http/http_message_type.h"

namespace Chestnuthook
{

bool isRejection(const ResponseMetadata &metadata, unsigned status)
{
    return metadata.notExecuted || status == HttpStatus::Misdirected;
}

bool promisesNotExecuted(unsigned status)
{
    return status == HttpStatus::RequestTimeout || status == HttpStatus::Misdirected
        || status == HttpStatus::TooManyRequests || status == HttpStatus::Unavailable;
}

ResponseOwner ownerOf(const ResponseMetadata &metadata, unsigned status, const AwaitedRequest &awaited)
{
    if (metadata.hasConflictingIds) {
        return ResponseOwner::Unknown;
    }
    if (!metadata.requestId.empty()) {
        return metadata.requestId == awaited.id ? ResponseOwner::Awaited : ResponseOwner::Earlier;
    }
    const bool mayLackId = awaited.id.empty() || isRejection(metadata, status);
    if (!mayLackId) {
        return ResponseOwner::Earlier;
    }
    return awaited.followsResponseWithoutId ? ResponseOwner::Unknown : ResponseOwner::Awaited;
}

} // namespace Chestnuthook
