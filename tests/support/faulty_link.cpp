/** @file faulty_link.cpp  Passes bytes both ways, as the fault in force says. */
#include "support/faulty_link.h"

#include <thread>
#include <utility>

namespace Chestnuthook::Testing
{

namespace
{

const Poco::Timespan LookTime(0, 5000);

/** Passes on what has come. @return false at the end of @p from. */
bool passOn(Poco::Net::StreamSocket &from, Poco::Net::StreamSocket &to)
{
    char buffer[16384];
    const int count = from.receiveBytes(buffer, sizeof buffer);
    if (count > 0) {
        to.sendBytes(buffer, count);
    }
    return count > 0;
}

/** Both ends see a reset when the sockets are closed. */
void reset(Poco::Net::StreamSocket &caller, Poco::Net::StreamSocket &callee)
{
    caller.setLinger(true, 0);
    callee.setLinger(true, 0);
}

} // namespace

FaultyLink::FaultyLink(std::string target)
    : target(std::move(target))
    , server("127.0.0.1",
          [this](Poco::Net::StreamSocket &caller, const std::atomic<bool> &ending) {
              this->pass(caller, ending);
          })
    , address(this->server.address)
{
}

void FaultyLink::pass(Poco::Net::StreamSocket &caller, const std::atomic<bool> &ending) const
{
    Poco::Net::StreamSocket callee{Poco::Net::SocketAddress(this->target)};
    caller.setNoDelay(true);
    callee.setNoDelay(true);
    while (!ending) {
        const LinkFault now = this->fault;
        if (now == LinkFault::Reset) {
            reset(caller, callee);
            return;
        }
        if (now == LinkFault::Silence) {
            std::this_thread::sleep_for(std::chrono::microseconds(LookTime.totalMicroseconds()));
            continue;
        }
        Poco::Net::Socket::SocketList readable = {caller};
        if (now != LinkFault::AnswersHeld) {
            readable.push_back(callee);
        }
        Poco::Net::Socket::SocketList writable;
        Poco::Net::Socket::SocketList failed;
        if (Poco::Net::Socket::select(readable, writable, failed, LookTime) == 0) {
            continue;
        }
        if (now == LinkFault::Delay) {
            std::this_thread::sleep_for(DelayTime);
        }
        for (const Poco::Net::Socket &one : readable) {
            const bool fromCaller = one == caller;
            if (!fromCaller && now == LinkFault::AnswersReset) {
                reset(caller, callee);
                return;
            }
            if (!passOn(fromCaller ? caller : callee, fromCaller ? callee : caller)) {
                return;
            }
        }
    }
}

} // namespace Chestnuthook::Testing
