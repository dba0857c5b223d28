/** @file file_func.h  Error and sync helpers for code that writes files in a data folder. */
#pragma once

#include <string>

#include "core/error_type.h"

namespace Chestnuthook
{

/** Permissions of files in a data folder: only their owner may read and write them. */
constexpr int DataFileMode = 0600;

/** Makes a StorageFailed error from `errno`; @p operation names what failed. */
[[nodiscard]] tl::unexpected<Error> failErrno(const std::string &operation);

/** Makes the creation, renaming and removal of files in @p folder durable. Errors: StorageFailed. */
[[nodiscard]] Result<void> syncFolder(const std::string &folder);

} // namespace Chestnuthook
