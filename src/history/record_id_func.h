/** @file record_id_func.h  Ids of turns and programs as the index of a history member holds them. Clients choose these
 * ids and only the size of a request's head limits them. */
#pragma once

#include <cstddef>
#include <string>

namespace Chestnuthook
{

/** Longer ids are replaced by a digest in the index. */
constexpr std::size_t MaxIndexedIdBytes = 128;

/** @p id, or a digest of it if it is longer than MaxIndexedIdBytes. A digest stays as it is. Throws std::runtime_error
 * if OpenSSL fails. */
[[nodiscard]] std::string indexedId(const std::string &id);

/** Id of a program among those of all customers: `customer/program`, where a slash or a percent sign in the name of the
 * customer is percent-encoded. */
[[nodiscard]] std::string programKey(const std::string &customer, const std::string &program);

} // namespace Chestnuthook
