/** @file connection_owner.cpp  Looks sockets up in /proc. */
#include "support/connection_owner.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <Poco/Net/SocketAddress.h>

namespace Chestnuthook::Testing
{

namespace
{

/** @p address as in /proc/net/tcp. */
std::string procAddress(const std::string &address)
{
    const Poco::Net::SocketAddress parsed(address);
    std::array<unsigned char, 4> bytes{};
    std::copy_n(static_cast<const unsigned char *>(parsed.host().addr()), bytes.size(), bytes.begin());
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%02X%02X%02X%02X:%04X", bytes[3], bytes[2], bytes[1], bytes[0],
        unsigned{parsed.port()});
    return text.data();
}

/** Name of the socket that has a connection from @p local to @p remote, as in /proc/PID/fd; empty if there is none. */
std::string socketName(const std::string &local, const std::string &remote)
{
    constexpr int FieldsBeforeInode = 6;
    const std::string wanted = procAddress(local) + ' ' + procAddress(remote) + ' ';
    std::ifstream table("/proc/net/tcp");
    std::string line;
    while (std::getline(table, line)) {
        const std::size_t at = line.find(wanted);
        if (at == std::string::npos) {
            continue;
        }
        std::istringstream fields(line.substr(at + wanted.size()));
        std::string field;
        for (int i = 0; i <= FieldsBeforeInode; ++i) {
            fields >> field;
        }
        return "socket:[" + field + "]";
    }
    return {};
}

} // namespace

std::optional<std::size_t> findConnectionOwner(
    const std::vector<pid_t> &processes, const std::string &local, const std::string &remote)
{
    const std::string name = socketName(local, remote);
    for (std::size_t i = 0; i < processes.size() && !name.empty(); ++i) {
        std::error_code error;
        const std::filesystem::path folder = "/proc/" + std::to_string(processes[i]) + "/fd";
        for (std::filesystem::directory_iterator file(folder, error), end; !error && file != end;
             file.increment(error)) {
            std::error_code closed; // The process may close other files meanwhile.
            if (std::filesystem::read_symlink(file->path(), closed) == name) {
                return i;
            }
        }
    }
    return std::nullopt;
}

} // namespace Chestnuthook::Testing
