/** @file ctl_session_base.cpp  Implements the blocking calls to the control members. */
#include "ctl/ctl_session_base.h"

#include <memory>
#include <optional>
#include <utility>

#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr unsigned MaxReadAttempts = 40; ///< With the delay, longer than a leader election.
constexpr auto ReadRetryDelay = 100 * kj::MILLISECONDS;
constexpr auto StatusTimeout = 1500 * kj::MILLISECONDS;

} // namespace

CtlSession::CtlSession(std::string secret, const std::vector<std::string> &addresses)
    : loop(secret, "ctl")
    , client(this->loop.rpc(), addresses)
    , controls(addresses)
{
}

Result<FleetState> CtlSession::readFleet()
{
    for (unsigned attempt = 0; attempt < MaxReadAttempts; ++attempt) {
        if (attempt > 0) {
            this->loop.wait(this->loop.kjTimer().afterDelay(ReadRetryDelay));
        }
        auto response = this->loop.wait(this->client.readFleet());
        if (response) {
            FleetState state;
            if (state.applyDelta((*response)->getResult().getDelta().getDelta())) {
                return state;
            }
        }
    }
    return fail(ErrorKind::NoQuorum, "no control member could confirm the fleet state");
}

Result<std::string> CtlSession::submit(std::string command)
{
    return this->loop.wait(this->client.submitFleet(std::move(command)));
}

Result<void> CtlSession::changeMember(const std::string &name, const std::string &address, bool remove)
{
    return this->loop.wait(this->client.changeMember(name, address, remove));
}

kj::Promise<Result<StatusResponse>> CtlSession::requestStatus(RpcLink &link)
{
    auto asked = link.services().then([](OfferedServices &&services) {
        return services.control.statusRequest().send();
    });
    return this->loop.kjTimer()
        .timeoutAfter(StatusTimeout, kj::mv(asked))
        .then(
            [](StatusResponse &&response) {
                return Result<StatusResponse>(kj::mv(response));
            },
            [address = link.peerAddress()](kj::Exception &&exception) {
                return Result<StatusResponse>(
                    fail(ErrorKind::NoQuorum, address + ": " + exception.getDescription().cStr()));
            });
}

std::vector<Result<StatusResponse>> CtlSession::status(const std::vector<std::string> &addresses)
{
    std::vector<std::unique_ptr<RpcLink>> links;
    kj::Vector<kj::Promise<Result<StatusResponse>>> asked;
    for (const std::string &address : addresses) {
        links.push_back(std::make_unique<RpcLink>(this->loop.rpc(), address));
        asked.add(this->requestStatus(*links.back()));
    }
    std::vector<Result<StatusResponse>> results;
    for (Result<StatusResponse> &result : this->loop.wait(kj::joinPromises(asked.releaseAsArray()))) {
        results.push_back(kj::mv(result));
    }
    return results;
}

Result<std::vector<ProgramRecord>> CtlSession::loadSlots(std::uint16_t first, std::uint16_t count)
{
    std::vector<std::pair<SlotId, Epoch>> slots;
    for (std::uint16_t number = first; number < first + count && number < SlotCount; ++number) {
        slots.emplace_back(SlotId{number}, Epoch{});
    }
    Result<std::vector<ProgramRecord>> programs = fail(ErrorKind::NoQuorum, "no control member was asked");
    for (unsigned attempt = 0; attempt < MaxReadAttempts && !programs; ++attempt) {
        programs = this->loop.wait(this->client.loadSlots(slots));
    }
    return programs;
}

void CtlSession::pause(std::chrono::milliseconds period)
{
    this->loop.wait(this->loop.kjTimer().afterDelay(period.count() * kj::MILLISECONDS));
}

} // namespace Chestnuthook
