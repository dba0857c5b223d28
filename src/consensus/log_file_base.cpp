/** @file log_file_base.cpp  Record format: length and checksum, each four bytes little-endian, then the bytes. */
#include "consensus/log_file_base.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <fcntl.h>
#include <unistd.h>

#include "core/hash_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::size_t HeaderBytes = 8;
constexpr int FileMode = 0600;

std::uint32_t readNumber(const char *bytes)
{
    std::uint32_t number = 0;
    std::memcpy(&number, bytes, sizeof number);
    return number;
}

Result<std::string> readWhole(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return fail(ErrorKind::StorageFailed, "can't read " + path);
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

tl::unexpected<Error> failErrno(const std::string &doing)
{
    return fail(ErrorKind::StorageFailed, doing + ": " + std::strerror(errno));
}

} // namespace

LogFile::~LogFile()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
}

Result<void> LogFile::open(
    const std::string &folder, const std::function<void(std::uint64_t, std::string_view)> &replay)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    const std::string path = folder + "/log";
    this->descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, FileMode);
    if (this->descriptor < 0) {
        return failErrno("opening " + path);
    }
    const Result<std::string> bytes = readWhole(path);
    if (!bytes) {
        return tl::unexpected(bytes.error());
    }
    std::size_t at = 0;
    while (at + HeaderBytes <= bytes->size()) {
        const std::size_t length = readNumber(bytes->data() + at);
        if (at + HeaderBytes + length > bytes->size()) {
            break;
        }
        const std::string_view record = std::string_view(*bytes).substr(at + HeaderBytes, length);
        if (checksum32(record) != readNumber(bytes->data() + at + sizeof(std::uint32_t))) {
            if (at + HeaderBytes + length < bytes->size()) {
                return fail(ErrorKind::StorageCorrupt, path + " at byte " + std::to_string(at));
            }
            break;
        }
        replay(++this->lastIndex, record);
        at += HeaderBytes + length;
    }
    if (at < bytes->size() && ::ftruncate(this->descriptor, static_cast<off_t>(at)) != 0) {
        return failErrno("cutting the torn end of " + path);
    }
    return {};
}

Result<std::uint64_t> LogFile::append(std::string_view record)
{
    if (this->failed) {
        return fail(ErrorKind::StorageFailed, "an earlier write failed");
    }
    const auto length = static_cast<std::uint32_t>(record.size());
    const std::uint32_t checksum = checksum32(record);
    std::string bytes(HeaderBytes, '\0');
    std::memcpy(bytes.data(), &length, sizeof length);
    std::memcpy(bytes.data() + sizeof length, &checksum, sizeof checksum);
    bytes.append(record);
    const ssize_t written = ::write(this->descriptor, bytes.data(), bytes.size());
    if (written != static_cast<ssize_t>(bytes.size()) || ::fdatasync(this->descriptor) != 0) {
        this->failed = true;
        return failErrno("writing the log");
    }
    return ++this->lastIndex;
}

} // namespace Chestnuthook
