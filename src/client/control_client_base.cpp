/** @file control_client_base.cpp  Calls to the control members. */
#include "client/control_client_base.h"

#include <utility>

#include <capnp/message.h>

#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr unsigned SubmitTries = 6;
constexpr auto RetryDelay = 150 * kj::MILLISECONDS;
constexpr auto CallTimeout = 1500 * kj::MILLISECONDS;

bool mayRetry(const Error &error)
{
    return error.kind == ErrorKind::NotLeader || error.kind == ErrorKind::NoQuorum;
}

} // namespace

ControlClient::ControlClient(RpcContext &context, const std::vector<std::string> &addresses)
    : context(context)
{
    for (const std::string &address : addresses) {
        this->links.push_back(std::make_unique<RpcLink>(context, address));
    }
}

void ControlClient::turnToNext()
{
    this->links[this->current]->reset();
    this->current = (this->current + 1) % this->links.size();
}

void ControlClient::follow(const std::string &leader)
{
    for (std::size_t i = 0; i < this->links.size(); ++i) {
        if (this->links[i]->peerAddress() == leader && i != this->current) {
            this->current = i;
            return;
        }
    }
    this->current = (this->current + 1) % this->links.size();
}

kj::Promise<Wire::Control::Client> ControlClient::control()
{
    return this->links[this->current]->services().then([](OfferedServices &&services) {
        return services.control;
    });
}

kj::Promise<Result<std::string>> ControlClient::submitFleet(std::string command)
{
    return this->submit(Wire::Group::FLEET, std::move(command), SubmitTries);
}

kj::Promise<Result<void>> ControlClient::submitJournal(std::string command)
{
    return this->submit(Wire::Group::JOURNAL, std::move(command), SubmitTries).then([](Result<std::string> &&bytes) {
        if (!bytes) {
            return Result<void>(tl::unexpected(bytes.error()));
        }
        FlatMessage message(*bytes);
        const auto reply = message.root<Wire::JournalReply>();
        if (reply.isFailure()) {
            return Result<void>(tl::unexpected(readFailure(reply.getFailure())));
        }
        return Result<void>();
    });
}

kj::Promise<Result<std::string>> ControlClient::submit(Wire::Group group, std::string command, unsigned triesLeft)
{
    auto sent = this->control().then([group, command](Wire::Control::Client &&control) {
        auto request = control.submitRequest();
        request.setGroup(group);
        request.setCommand(dataOf(command));
        writeHybridTime(request.initTime());
        return request.send();
    });
    return this->context.timer.timeoutAfter(CallTimeout, kj::mv(sent))
        .then(
            [this](auto &&response) {
                const auto result = response.getResult();
                if (result.isReply()) {
                    return Result<std::string>(bytesOf(result.getReply()));
                }
                const Error error = readFailure(result.getFailure());
                if (error.kind == ErrorKind::NotLeader) {
                    this->follow(textOf(result.getLeader()));
                }
                return Result<std::string>(tl::unexpected(error));
            },
            [this](kj::Exception &&exception) {
                this->turnToNext();
                return Result<std::string>(fail(ErrorKind::NoQuorum, exception.getDescription().cStr(), Ran::No));
            })
        .then([this, group, command, triesLeft](Result<std::string> &&reply) -> kj::Promise<Result<std::string>> {
            if (reply || !mayRetry(reply.error()) || triesLeft <= 1) {
                return kj::mv(reply);
            }
            return this->context.timer.afterDelay(RetryDelay).then([this, group, command, triesLeft]() {
                return this->submit(group, command, triesLeft - 1);
            });
        });
}

kj::Promise<SyncResponse> ControlClient::sync(const EntryRecord &entry, std::uint64_t haveIndex, std::uint64_t inForce)
{
    auto sent = this->control().then([entry, haveIndex, inForce](Wire::Control::Client &&control) {
        auto request = control.syncRequest();
        auto params = request.initRequest();
        params.setHaveIndex(haveIndex);
        params.setInForceRevision(inForce);
        writeHybridTime(params.initTime());
        auto wire = params.initEntry();
        wire.setId(entry.id.text);
        wire.setEpoch(entry.epoch.value);
        wire.setAddress(entry.address);
        wire.setRpcAddress(entry.rpcAddress);
        wire.setDataCentre(entry.dataCentre.text);
        wire.setState(entry.state == EntryState::Draining ? Wire::EntryState::DRAINING : Wire::EntryState::LIVE);
        return request.send();
    });
    return this->context.timer.timeoutAfter(CallTimeout, kj::mv(sent)).then([this](SyncResponse &&response) {
        const auto result = response.getResult();
        observeHybridTime(result.getTime());
        if (result.isFailure()) {
            this->follow(textOf(result.getLeader()));
            KJ_FAIL_REQUIRE("the control member can't confirm", textOf(result.getFailure().getWhat()).c_str());
        }
        return kj::mv(response);
    });
}

kj::Promise<std::optional<kj::Own<ReadFleetResponse>>> ControlClient::readFleet()
{
    using Answer = std::optional<kj::Own<ReadFleetResponse>>;
    auto sent = this->control().then([](Wire::Control::Client &&control) {
        return control.readFleetRequest().send();
    });
    return this->context.timer.timeoutAfter(CallTimeout, kj::mv(sent))
        .then(
            [this](ReadFleetResponse &&response) {
                if (response.getResult().isFailure()) {
                    this->follow(textOf(response.getResult().getLeader()));
                    return Answer();
                }
                return Answer(kj::heap<ReadFleetResponse>(kj::mv(response)));
            },
            [this](kj::Exception && /*exception*/) {
                this->turnToNext();
                return Answer();
            });
}

kj::Promise<Result<std::vector<ProgramRecord>>> ControlClient::loadSlots(std::vector<std::pair<SlotId, Epoch>> slots)
{
    auto sent = this->control().then([slots = std::move(slots)](Wire::Control::Client &&control) {
        auto request = control.loadSlotsRequest();
        auto list = request.initSlots(static_cast<unsigned>(slots.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            list[i].setSlot(slots[i].first.value);
            list[i].setEpoch(slots[i].second.value);
        }
        return request.send();
    });
    return this->context.timer.timeoutAfter(CallTimeout, kj::mv(sent))
        .then(
            [this](auto &&response) {
                const auto result = response.getResult();
                observeHybridTime(result.getTime());
                if (result.isFailure()) {
                    this->follow(textOf(result.getLeader()));
                    return Result<std::vector<ProgramRecord>>(tl::unexpected(readFailure(result.getFailure())));
                }
                std::vector<ProgramRecord> programs;
                for (const auto program : result.getPrograms()) {
                    programs.push_back(readProgram(program));
                }
                return Result<std::vector<ProgramRecord>>(std::move(programs));
            },
            [this](kj::Exception &&exception) {
                this->turnToNext();
                return Result<std::vector<ProgramRecord>>(fail(ErrorKind::NoQuorum, exception.getDescription().cStr()));
            });
}

} // namespace Chestnuthook
