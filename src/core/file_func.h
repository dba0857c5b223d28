/** @file file_func.h  Errors and syncs of files, shared by all that write into a data folder. */
#pragma once

#include <string>

#include "core/error_type.h"

namespace Chestnuthook
{

/** Rights of files in a data folder: they belong to its user alone. */
constexpr int DataFileMode = 0600;

/** StorageFailed with what `errno` says; @p doing names what failed. */
[[nodiscard]] tl::unexpected<Error> failErrno(const std::string &doing);

/** Makes new, renamed and removed names in @p folder last. Errors: StorageFailed. */
[[nodiscard]] Result<void> syncFolder(const std::string &folder);

} // namespace Chestnuthook
