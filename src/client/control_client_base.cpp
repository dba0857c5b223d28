/** @file control_client_base.cpp  Calls to the control members. */
#include "client/control_client_base.h"

#include <utility>

#include <capnp/message.h>

#include "core/hash_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr auto SubmitTime = 5000 * kj::MILLISECONDS; ///< Covers a leader that is lost and the election after it.
constexpr auto RetryDelay = 50 * kj::MILLISECONDS;
constexpr auto CallTimeout = 1500 * kj::MILLISECONDS;
constexpr auto SyncTimeout = 800 * kj::MILLISECONDS; ///< Leaves time for two more members within the freshness bound.
constexpr unsigned MaxRedirects = 2;
constexpr auto ChangeTimeout = 90 * kj::SECONDS;
constexpr unsigned ChangeTries = 20;
constexpr std::size_t RequestIdBytes = 8;

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

void ControlClient::switchToNextMember()
{
    this->leave(this->current);
}

/** Turns away from @p member, unless another call has done so before. */
void ControlClient::leave(std::size_t member)
{
    this->links[member]->reset();
    if (member == this->current) {
        this->current = (this->current + 1) % this->links.size();
    }
}

/** Turns to the leader that @p member named, else to the next member. @return whether a leader was named. */
bool ControlClient::follow(std::size_t member, const std::string &leader)
{
    for (std::size_t i = 0; i < this->links.size(); ++i) {
        if (this->links[i]->peerAddress() == leader && i != member) {
            this->current = i;
            return true;
        }
    }
    const bool added = !leader.empty() && this->links[member]->peerAddress() != leader;
    if (added) { // A member that joined after we were started.
        this->links.push_back(std::make_unique<RpcLink>(this->context, leader));
        this->current = this->links.size() - 1;
    } else if (member == this->current) {
        this->current = (this->current + 1) % this->links.size();
    }
    return added;
}

kj::Promise<Wire::Control::Client> ControlClient::control(std::size_t member)
{
    return this->links[member]->services().then([](OfferedServices &&services) {
        return services.control;
    });
}

kj::Promise<Result<std::string>> ControlClient::submitFleet(std::string command)
{
    return this->submit(Wire::Group::FLEET, std::move(command));
}

kj::Promise<Result<void>> ControlClient::submitJournal(std::string command)
{
    return this->submit(Wire::Group::JOURNAL, std::move(command)).then([](Result<std::string> &&bytes) {
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

kj::Promise<Result<std::string>> ControlClient::submit(Wire::Group group, std::string command)
{
    return this->trySubmit(std::make_shared<Submission>(
        Submission{group, std::move(command), randomHex(RequestIdBytes), this->context.timer.now() + SubmitTime}));
}

kj::Promise<Result<std::string>> ControlClient::trySubmit(std::shared_ptr<Submission> submission)
{
    const std::size_t member = this->current;
    auto sent = this->control(member).then([submission](Wire::Control::Client &&control) {
        auto request = control.submitRequest();
        request.setGroup(submission->group);
        request.setCommand(dataOf(submission->command));
        request.setRequestId(dataOf(submission->requestId));
        writeHybridTime(request.initTime());
        return request.send();
    });
    return this->context.timer.timeoutAfter(CallTimeout, kj::mv(sent))
        .then(
            [this, member](auto &&response) {
                const auto result = response.getResult();
                if (result.isReply()) {
                    return Result<std::string>(bytesOf(result.getReply()));
                }
                const Error error = readFailure(result.getFailure());
                if (mayRetry(error)) {
                    this->follow(member, textOf(result.getLeader()));
                }
                return Result<std::string>(tl::unexpected(error));
            },
            [this, member](kj::Exception &&exception) {
                this->leave(member);
                return Result<std::string>(fail(ErrorKind::NoQuorum, exception.getDescription().cStr(), Ran::No));
            })
        .then([this, submission](Result<std::string> &&reply) -> kj::Promise<Result<std::string>> {
            if (reply || !mayRetry(reply.error()) || this->context.timer.now() >= submission->deadline) {
                return kj::mv(reply);
            }
            return this->context.timer.afterDelay(RetryDelay).then([this, submission]() {
                return this->trySubmit(submission);
            });
        });
}

kj::Promise<SyncResponse> ControlClient::sync(const EntryRecord &entry, std::uint64_t haveIndex, std::uint64_t inForce)
{
    return this->trySync(std::make_shared<EntryRecord>(entry), haveIndex, inForce, MaxRedirects);
}

kj::Promise<SyncResponse> ControlClient::trySync(
    std::shared_ptr<EntryRecord> entry, std::uint64_t haveIndex, std::uint64_t inForce, unsigned redirectsLeft)
{
    const std::size_t member = this->current;
    auto sent = this->control(member).then([entry, haveIndex, inForce](Wire::Control::Client &&control) {
        auto request = control.syncRequest();
        auto params = request.initRequest();
        params.setHaveIndex(haveIndex);
        params.setInForceRevision(inForce);
        writeHybridTime(params.initTime());
        auto wire = params.initEntry();
        wire.setId(entry->id.text);
        wire.setEpoch(entry->epoch.value);
        wire.setAddress(entry->address);
        wire.setRpcAddress(entry->rpcAddress);
        wire.setDataCentre(entry->dataCentre.text);
        wire.setState(entry->state == EntryState::Draining ? Wire::EntryState::DRAINING : Wire::EntryState::LIVE);
        return request.send();
    });
    return this->context.timer.timeoutAfter(SyncTimeout, kj::mv(sent))
        .then(
            [=, this](SyncResponse &&response) -> kj::Promise<SyncResponse> {
                const auto result = response.getResult();
                observeHybridTime(result.getTime());
                if (!result.isFailure()) {
                    return kj::mv(response);
                }
                const bool named = this->follow(member, textOf(result.getLeader()));
                KJ_REQUIRE(named && redirectsLeft > 0, "the control member can't confirm",
                    textOf(result.getFailure().getWhat()).c_str());
                return this->trySync(entry, haveIndex, inForce, redirectsLeft - 1);
            },
            [this, member](kj::Exception &&exception) -> kj::Promise<SyncResponse> {
                this->leave(member);
                return kj::mv(exception);
            });
}

kj::Promise<Result<void>> ControlClient::changeMember(std::string id, std::string address, bool remove)
{
    return this->tryChange(std::move(id), std::move(address), remove, ChangeTries);
}

kj::Promise<Result<void>> ControlClient::tryChange(std::string id, std::string address, bool remove, unsigned triesLeft)
{
    const std::size_t member = this->current;
    auto sent = this->control(member).then([id, address, remove](Wire::Control::Client &&control) {
        auto request = control.changeMemberRequest();
        request.setId(id);
        request.setAddress(address);
        request.setRemove(remove);
        return request.send();
    });
    return this->context.timer.timeoutAfter(ChangeTimeout, kj::mv(sent))
        .then(
            [this, member](auto &&response) {
                const auto result = response.getResult();
                if (!result.isFailure()) {
                    return Result<void>();
                }
                const Error error = readFailure(result.getFailure());
                if (mayRetry(error)) {
                    this->follow(member, textOf(result.getLeader()));
                }
                return Result<void>(tl::unexpected(error));
            },
            [this, member](kj::Exception &&exception) {
                this->leave(member);
                return Result<void>(fail(ErrorKind::NoQuorum, exception.getDescription().cStr()));
            })
        .then([=, this](Result<void> &&done) -> kj::Promise<Result<void>> {
            // A member that is added may have been started just now, and not listen yet.
            const bool again = !done && (mayRetry(done.error()) || done.error().kind == ErrorKind::NotReady);
            if (!again || triesLeft <= 1) {
                return kj::mv(done);
            }
            return this->context.timer.afterDelay(RetryDelay * 4).then([=, this]() {
                return this->tryChange(id, address, remove, triesLeft - 1);
            });
        });
}

kj::Promise<std::optional<kj::Own<ReadFleetResponse>>> ControlClient::readFleet()
{
    using Answer = std::optional<kj::Own<ReadFleetResponse>>;
    const std::size_t member = this->current;
    auto sent = this->control(member).then([](Wire::Control::Client &&control) {
        return control.readFleetRequest().send();
    });
    return this->context.timer.timeoutAfter(CallTimeout, kj::mv(sent))
        .then(
            [this, member](ReadFleetResponse &&response) {
                if (response.getResult().isFailure()) {
                    this->follow(member, textOf(response.getResult().getLeader()));
                    return Answer();
                }
                return Answer(kj::heap<ReadFleetResponse>(kj::mv(response)));
            },
            [this, member](kj::Exception && /*exception*/) {
                this->leave(member);
                return Answer();
            });
}

kj::Promise<Result<std::vector<ProgramRecord>>> ControlClient::loadSlots(std::vector<std::pair<SlotId, Epoch>> slots)
{
    const std::size_t member = this->current;
    auto sent = this->control(member).then([slots = std::move(slots)](Wire::Control::Client &&control) {
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
            [this, member](auto &&response) {
                const auto result = response.getResult();
                observeHybridTime(result.getTime());
                if (result.isFailure()) {
                    this->follow(member, textOf(result.getLeader()));
                    return Result<std::vector<ProgramRecord>>(tl::unexpected(readFailure(result.getFailure())));
                }
                std::vector<ProgramRecord> programs;
                for (const auto program : result.getPrograms()) {
                    programs.push_back(readProgram(program));
                }
                return Result<std::vector<ProgramRecord>>(std::move(programs));
            },
            [this, member](kj::Exception &&exception) {
                this->leave(member);
                return Result<std::vector<ProgramRecord>>(fail(ErrorKind::NoQuorum, exception.getDescription().cStr()));
            });
}

} // namespace Chestnuthook
