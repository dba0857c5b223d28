/** @file file_func.cpp  Error and sync helpers for files. */
#include "core/file_func.h"

#include <cerrno>
#include <cstring>

#include <fcntl.h>
#include <unistd.h>

namespace Chestnuthook
{

tl::unexpected<Error> failErrno(const std::string &operation)
{
    return fail(ErrorKind::StorageFailed, operation + ": " + std::strerror(errno));
}

Result<void> syncFolder(const std::string &folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool synced = descriptor >= 0 && ::fsync(descriptor) == 0;
    if (descriptor >= 0) {
        ::close(descriptor);
    }
    return synced ? Result<void>() : Result<void>(failErrno("syncing " + folder));
}

} // namespace Chestnuthook
