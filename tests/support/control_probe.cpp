/** @file control_probe.cpp  RPC calls to individual control members. */
#include "support/control_probe.h"

#include <stdexcept>

#include <capnp/message.h>

#include "rpc/message_func.h"

namespace Chestnuthook::Testing
{

namespace
{

constexpr auto ReplyTimeout = 1500 * kj::MILLISECONDS;

} // namespace

ControlProbe::ControlProbe(const ProcessFleet &fleet)
    : loop("a secret of this test fleet", "probe")
    , fleet(fleet)
{
}

void ControlProbe::updateLoopTime()
{
    this->loop.wait(this->loop.kjTimer().afterDelay(1 * kj::MILLISECONDS));
}

std::optional<ProbedStatus> ControlProbe::status(std::size_t index)
{
    this->updateLoopTime();
    RpcLink link(this->loop.rpc(), this->fleet.controlAddresses.at(index));
    auto reported = link.services()
                        .then([](OfferedServices &&services) {
                            return services.control.statusRequest().send();
                        })
                        .then([](auto &&response) {
                            const auto status = response.getStatus();
                            return std::optional<ProbedStatus>(ProbedStatus{textOf(status.getLeader()),
                                status.getTerm(), status.getRevision(), status.getConfirmed()});
                        });
    return this->loop.wait(
        this->loop.kjTimer().timeoutAfter(ReplyTimeout, kj::mv(reported)).catch_([](kj::Exception && /*exception*/) {
            return std::optional<ProbedStatus>();
        }));
}

std::size_t ControlProbe::leader(std::optional<std::size_t> except)
{
    std::optional<std::size_t> found;
    waitUntil([&]() {
        for (std::size_t i = 0; i < this->fleet.controlAddresses.size() && !found; ++i) {
            const auto status = i == except ? std::nullopt : this->status(i);
            if (status && status->confirmed) {
                found = i;
            }
        }
        return found.has_value();
    });
    if (!found) {
        throw std::runtime_error("no control member was confirmed as leader in time");
    }
    return *found;
}

void ControlProbe::setFault(std::size_t index, bool dropMembers, bool dropEntries)
{
    this->updateLoopTime();
    RpcLink link(this->loop.rpc(), this->fleet.controlAddresses.at(index));
    this->loop.wait(link.services().then([=](OfferedServices &&services) {
        auto request = services.control.setTestFaultRequest();
        request.setDropMembers(dropMembers);
        request.setDropEntries(dropEntries);
        return request.send().ignoreResult();
    }));
}

kj::Promise<std::string> ControlProbe::send(RpcLink &link, const std::string &command, const std::string &requestId)
{
    auto sent = link.services()
                    .then([command, requestId](OfferedServices &&services) {
                        auto request = services.control.submitRequest();
                        request.setGroup(Wire::Group::FLEET);
                        request.setCommand(dataOf(command));
                        request.setRequestId(dataOf(requestId));
                        return request.send();
                    })
                    .then([](auto &&response) {
                        const auto result = response.getResult();
                        return result.isReply() ? bytesOf(result.getReply()) : std::string();
                    });
    return this->loop.kjTimer().timeoutAfter(ReplyTimeout, kj::mv(sent)).catch_([](kj::Exception && /*exception*/) {
        return std::string();
    });
}

std::optional<std::string> ControlProbe::submit(
    std::size_t index, const std::string &command, const std::string &requestId)
{
    this->updateLoopTime();
    RpcLink link(this->loop.rpc(), this->fleet.controlAddresses.at(index));
    const std::string reply = this->loop.wait(this->send(link, command, requestId));
    return reply.empty() ? std::nullopt : std::optional<std::string>(reply);
}

std::vector<std::string> ControlProbe::submitTogether(std::size_t index, const std::vector<std::string> &commands)
{
    this->updateLoopTime();
    RpcLink link(this->loop.rpc(), this->fleet.controlAddresses.at(index));
    kj::Vector<kj::Promise<std::string>> sent;
    for (const std::string &command : commands) {
        sent.add(this->send(link, command, ""));
    }
    const auto replies = this->loop.wait(kj::joinPromises(sent.releaseAsArray()));
    return {replies.begin(), replies.end()};
}

std::string applyCommand(std::uint64_t expectedRevision, const std::string &requestId, const std::string &json)
{
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::FleetCommand>();
    command.setRequestId(requestId);
    auto apply = command.initApply();
    apply.setExpectedRevision(expectedRevision);
    auto changes = apply.initChanges(1);
    changes[0].setSection("services");
    changes[0].setName("probe");
    changes[0].setJson(json);
    return flatBytes(message);
}

} // namespace Chestnuthook::Testing
