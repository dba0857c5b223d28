/** @file file_func.cpp  Errors and syncs of files. */
#include "core/file_func.h"

#include <cerrno>
#include <cstring>

#include <fcntl.h>
#include <unistd.h>

namespace Chestnuthook
{

tl::unexpected<Error> failErrno(const std::string &doing)
{
    return fail(ErrorKind::StorageFailed, doing + ": " + std::strerror(errno));
}

Result<void> syncFolder(const std::string &folder)
{
    const int opened = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool synced = opened >= 0 && ::fsync(opened) == 0;
    if (opened >= 0) {
        ::close(opened);
    }
    return synced ? Result<void>() : Result<void>(failErrno("syncing " + folder));
}

} // namespace Chestnuthook
