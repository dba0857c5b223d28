/** @file record_id_func.cpp  Shortens ids for the index. */
#include "history/record_id_func.h"

#include "core/hash_func.h"

namespace Chestnuthook
{

std::string indexedId(const std::string &id)
{
    return id.size() <= MaxIndexedIdBytes ? id : "sha256-" + sha256Hex(id);
}

} // namespace Chestnuthook
