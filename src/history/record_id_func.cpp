/** @file record_id_func.cpp  Shortens ids for the index. */
#include "history/record_id_func.h"

#include "core/hash_func.h"

namespace Chestnuthook
{

std::string indexedId(const std::string &id)
{
    return id.size() <= MaxIndexedIdBytes ? id : "sha256-" + sha256Hex(id);
}

std::string programKey(const std::string &customer, const std::string &program)
{
    std::string key;
    for (const char c : customer) {
        key += c == '/' ? "%2F" : c == '%' ? "%25" : std::string(1, c);
    }
    return key + "/" + program;
}

} // namespace Chestnuthook
