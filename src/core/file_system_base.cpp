/** @file file_system_base.cpp  The file system of the machine, by POSIX calls. */
#include "core/file_system_base.h"

#include <array>
#include <cerrno>
#include <filesystem>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include "core/file_func.h"

namespace Chestnuthook
{

namespace
{

constexpr mode_t DataFolderMode = 0777; ///< Further restricted by the umask.
constexpr std::size_t ReadBytes = 64U << 10U;

class LocalFileSystem final : public FileSystem
{
public:
    Result<bool> makeFolder(const std::string &path) override
    {
        if (::mkdir(path.c_str(), DataFolderMode) == 0) {
            return true;
        }
        if (errno == EEXIST) {
            return false;
        }
        return failErrno("creating " + path);
    }

    bool exists(const std::string &path) override
    {
        return ::access(path.c_str(), F_OK) == 0;
    }

    bool isWritable(const std::string &folder) override
    {
        return ::access(folder.c_str(), W_OK) == 0;
    }

    Result<std::vector<std::string>> list(const std::string &folder) override
    {
        std::vector<std::string> names;
        std::error_code error;
        for (std::filesystem::directory_iterator at(folder, error), end; !error && at != end; at.increment(error)) {
            names.push_back(at->path().filename());
        }
        if (error) {
            return fail(ErrorKind::StorageFailed, "listing " + folder + ": " + error.message());
        }
        return names;
    }

    Result<std::optional<std::string>> read(const std::string &path) override
    {
        const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
        if (file < 0) {
            if (errno == ENOENT) {
                return std::optional<std::string>();
            }
            return failErrno("opening " + path);
        }
        std::string bytes;
        std::array<char, ReadBytes> part{};
        ssize_t count = 0;
        while ((count = ::read(file, part.data(), part.size())) != 0) {
            if (count > 0) {
                bytes.append(part.data(), static_cast<std::size_t>(count));
            } else if (errno != EINTR) {
                const auto failed = failErrno("reading " + path);
                ::close(file);
                return failed;
            }
        }
        ::close(file);
        return std::optional<std::string>(std::move(bytes));
    }

    Result<std::string> readRange(const std::string &path, std::uint64_t offset, std::size_t bytes) override
    {
        const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
        if (file < 0) {
            return failErrno("opening " + path);
        }
        std::string part(bytes, '\0');
        std::size_t size = 0;
        ssize_t count = 0;
        while (size < bytes
            && (count = ::pread(file, part.data() + size, bytes - size, static_cast<off_t>(offset + size))) != 0) {
            if (count > 0) {
                size += static_cast<std::size_t>(count);
            } else if (errno != EINTR) {
                const auto failed = failErrno("reading " + path);
                ::close(file);
                return failed;
            }
        }
        ::close(file);
        part.resize(size);
        return part;
    }

    Result<int> open(const std::string &path, OpenMode mode) override
    {
        const int modeFlag = mode == OpenMode::Append ? O_APPEND : O_TRUNC;
        const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC | modeFlag, DataFileMode);
        return file < 0 ? Result<int>(failWrite("opening " + path)) : Result<int>(file);
    }

    void close(int file) override
    {
        ::close(file);
    }

    Result<void> write(int file, std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const ssize_t written = ::write(file, bytes.data(), bytes.size());
            if (written > 0) {
                bytes.remove_prefix(static_cast<std::size_t>(written));
            } else if (written == 0 || errno != EINTR) {
                return failWrite("writing a file");
            }
        }
        return {};
    }

    Result<void> truncate(int file, std::uint64_t size) override
    {
        return resultOf(::ftruncate(file, static_cast<off_t>(size)), "truncating a file");
    }

    Result<void> sync(int file) override
    {
        return resultOf(::fdatasync(file), "syncing a file");
    }

    Result<void> rename(const std::string &from, const std::string &to) override
    {
        return resultOf(::rename(from.c_str(), to.c_str()), "renaming " + from);
    }

    Result<void> remove(const std::string &path) override
    {
        return resultOf(::unlink(path.c_str()), "removing " + path);
    }

    Result<void> syncFolder(const std::string &folder) override
    {
        return Chestnuthook::syncFolder(folder);
    }

private:
    static tl::unexpected<Error> failWrite(const std::string &operation)
    {
        const bool isFull = errno == ENOSPC || errno == EDQUOT || errno == EFBIG;
        tl::unexpected<Error> failed = failErrno(operation);
        failed.value().kind = isFull ? ErrorKind::StorageFull : ErrorKind::StorageFailed;
        return failed;
    }

    static Result<void> resultOf(int returned, const std::string &operation)
    {
        return returned == 0 ? Result<void>() : Result<void>(failErrno(operation));
    }
};

} // namespace

FileSystem &localFileSystem()
{
    static LocalFileSystem files;
    return files;
}

Result<void> createFolder(FileSystem &files, const std::string &folder)
{
    const std::size_t slash = folder.find_last_of('/');
    const std::string parent = slash == 0 ? "/" : folder.substr(0, slash);
    if (slash == std::string::npos || folder.size() == 1) {
        return {};
    }
    const bool existed = files.exists(folder);
    if (!existed) {
        Result<void> parentCreated = createFolder(files, parent);
        if (!parentCreated) {
            return parentCreated;
        }
        const Result<bool> made = files.makeFolder(folder);
        if (!made) {
            return tl::unexpected(made.error());
        }
    }
    // A folder that exists may have been created by a process that ended before it synced the parent.
    return existed && !files.isWritable(parent) ? Result<void>() : files.syncFolder(parent);
}

} // namespace Chestnuthook
