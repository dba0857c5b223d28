/** @file source_filter.cpp  Packet filters of sockets. */
#include "support/source_filter.h"

#include <cerrno>
#include <cstdint>
#include <system_error>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <sys/socket.h>

namespace Chestnuthook::Testing
{

void dropPacketsFrom(int descriptor, const std::vector<std::string> &sources)
{
    if (sources.empty()) {
        const int unused = 0;
        ::setsockopt(descriptor, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused); // Fails if there is none.
        return;
    }
    constexpr std::uint32_t SourceOffset = 12; // Of the address in the IP header.
    constexpr std::uint32_t AcceptAll = 0xffffffff;
    std::vector<sock_filter> program = {
        BPF_STMT(BPF_LD | BPF_W | BPF_ABS, static_cast<std::uint32_t>(SKF_NET_OFF) + SourceOffset)};
    for (const std::string &source : sources) {
        program.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, ntohl(::inet_addr(source.c_str())), 0, 1));
        program.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
    }
    program.push_back(BPF_STMT(BPF_RET | BPF_K, AcceptAll));
    const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
    if (::setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) != 0) {
        throw std::system_error(errno, std::generic_category(), "attaching a packet filter");
    }
}

} // namespace Chestnuthook::Testing
