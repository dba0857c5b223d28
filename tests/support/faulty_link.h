/** @file faulty_link.h  A loopback proxy that disturbs what passes through it. */
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

#include "support/connection_server.h"

namespace Chestnuthook::Testing
{

enum class LinkFault : std::uint8_t {
    None, ///< Bytes pass at once.
    Delay, ///< Bytes pass FaultyLink::DelayTime late.
    Silence, ///< Nothing passes; connections stay open.
    AnswersHeld, ///< Bytes pass towards the target only, answers when the fault is over.
    Reset, ///< Connections are reset, old and new ones.
    AnswersReset, ///< Connections are reset when the target answers.
};

class FaultyLink
{
public:
    /** Passes connections to @p target (ip:port) on. */
    explicit FaultyLink(std::string target);

    void setFault(LinkFault wanted)
    {
        this->fault = wanted;
    }

    static constexpr auto DelayTime = std::chrono::milliseconds(80);

private:
    void pass(Poco::Net::StreamSocket &caller, const std::atomic<bool> &ending) const;

    const std::string target; ///< ip:port.
    std::atomic<LinkFault> fault{LinkFault::None}; ///< In force.
    ConnectionServer server; ///< Last, so that it starts when the rest stands.

public:
    const std::string address; ///< ip:port of this end.
};

} // namespace Chestnuthook::Testing
