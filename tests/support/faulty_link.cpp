/** @file faulty_link.cpp  One thread a connection passes bytes both ways. */
#include "support/faulty_link.h"

#include <utility>

#include <Poco/Exception.h>

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

} // namespace

FaultyLink::FaultyLink(std::string target)
    : target(std::move(target))
    , socket(Poco::Net::SocketAddress("127.0.0.1", 0))
    , address(this->socket.address().toString())
    , accepting([this]() {
        this->accept();
    })
{
}

FaultyLink::~FaultyLink()
{
    this->ending = true;
    this->accepting.join();
    for (std::thread &one : this->connections) {
        one.join();
    }
}

void FaultyLink::accept()
{
    while (!this->ending) {
        if (this->socket.poll(LookTime, Poco::Net::Socket::SELECT_READ)) {
            this->connections.emplace_back([this, caller = this->socket.acceptConnection()]() mutable {
                try {
                    this->pass(caller);
                } catch (const Poco::Exception &) {
                    // One side is gone; the other sees its connection end.
                }
            });
        }
    }
}

void FaultyLink::pass(Poco::Net::StreamSocket &caller)
{
    Poco::Net::StreamSocket callee{Poco::Net::SocketAddress(this->target)};
    caller.setNoDelay(true);
    callee.setNoDelay(true);
    while (!this->ending) {
        const LinkFault now = this->fault;
        if (now == LinkFault::Reset) {
            caller.setLinger(true, 0);
            callee.setLinger(true, 0);
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
                caller.setLinger(true, 0);
                callee.setLinger(true, 0);
                return;
            }
            if (!passOn(fromCaller ? caller : callee, fromCaller ? callee : caller)) {
                return;
            }
        }
    }
}

} // namespace Chestnuthook::Testing
