/** @file faulty_link.h  A loopback proxy that disturbs what passes through it. */
#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <string>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

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
    ~FaultyLink();
    FaultyLink(const FaultyLink &) = delete;
    FaultyLink &operator=(const FaultyLink &) = delete;

    void setFault(LinkFault wanted)
    {
        this->fault = wanted;
    }

    static constexpr auto DelayTime = std::chrono::milliseconds(80);

private:
    void accept();
    void pass(Poco::Net::StreamSocket &caller);

    const std::string target; ///< ip:port.
    Poco::Net::ServerSocket socket; ///< Listens.

public:
    const std::string address; ///< ip:port of this end.

private:
    std::atomic<LinkFault> fault{LinkFault::None}; ///< In force.
    std::atomic<bool> ending{false}; ///< Ends all threads.
    std::list<std::thread> connections; ///< One each.
    std::thread accepting; ///< Last, so that it starts when the rest stands.
};

} // namespace Chestnuthook::Testing
