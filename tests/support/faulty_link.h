/** @file faulty_link.h  A loopback TCP proxy that injects network faults. */
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

#include "support/connection_server.h"

namespace Chestnuthook::Testing
{

enum class LinkFault : std::uint8_t {
    None, ///< Bytes are forwarded at once.
    Delay, ///< Bytes are forwarded after FaultyLink::DelayTime.
    Stall, ///< Nothing is forwarded; connections stay open.
    HoldResponses, ///< Responses are held back until the fault ends; requests are forwarded.
    Reset, ///< Existing and new connections are reset.
    ResetOnResponse, ///< Connections are reset when the target responds.
};

class FaultyLink
{
public:
    /** Forwards connections to @p target (ip:port). */
    explicit FaultyLink(std::string target);

    void setFault(LinkFault newFault)
    {
        this->fault = newFault;
    }

    static constexpr auto DelayTime = std::chrono::milliseconds(80);

private:
    void relay(Poco::Net::StreamSocket &client, const std::atomic<bool> &ending) const;

    const std::string target; ///< Target as ip:port.
    std::atomic<LinkFault> fault{LinkFault::None}; ///< Current fault.
    ConnectionServer server; ///< Declared after `target` and `fault`, which its threads use.

public:
    const std::string address; ///< Address of the proxy as ip:port.
};

} // namespace Chestnuthook::Testing
