/** @file control_client_base.cpp  RPC calls to the control members. */
#include "client/control_client_base.h"

#include <utility>

#include <capnp/message.h>

#include "core/hash_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr auto SubmitTimeout = 5000 * kj::MILLISECONDS; ///< Covers the loss of a leader and the next election.
constexpr auto RetryDelay = 50 * kj::MILLISECONDS;
constexpr auto CallTimeout = 1500 * kj::MILLISECONDS;
constexpr auto SyncTimeout = 800 * kj::MILLISECONDS; ///< Leaves time for two more members within the freshness bound.
constexpr unsigned MaxRedirects = 2;
constexpr auto ChangeMemberTimeout = 90 * kj::SECONDS;
constexpr unsigned MaxChangeAttempts = 20;
constexpr std::size_t RequestIdBytes = 8;

bool isRetryable(const Error &error)
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
    this->switchAwayFrom(this->current);
}

/** Resets the link to @p member and switches to the next one, unless another call has switched already. */
void ControlClient::switchAwayFrom(std::size_t member)
{
    this->links[member]->reset();
    if (member == this->current) {
        this->current = (this->current + 1) % this->links.size();
    }
}

/** Switches to @p leader as named by @p member, or to the next member if it named no other one. @return whether it
 * named another member. */
bool ControlClient::followRedirect(std::size_t member, const std::string &leader)
{
    for (std::size_t i = 0; i < this->links.size(); ++i) {
        if (this->links[i]->peerAddress() == leader && i != member) {
            this->current = i;
            return true;
        }
    }
    const bool added = !leader.empty() && this->links[member]->peerAddress() != leader;
    if (added) { // The leader joined the group after this client was created.
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
        Submission{group, std::move(command), randomHex(RequestIdBytes), this->context.timer.now() + SubmitTimeout}));
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
                if (isRetryable(error)) {
                    this->followRedirect(member, textOf(result.getLeader()));
                }
                return Result<std::string>(tl::unexpected(error));
            },
            [this, member](kj::Exception &&exception) {
                this->switchAwayFrom(member);
                return Result<std::string>(fail(ErrorKind::NoQuorum, exception.getDescription().cStr(), Ran::No));
            })
        .then([this, submission](Result<std::string> &&reply) -> kj::Promise<Result<std::string>> {
            if (reply || !isRetryable(reply.error()) || this->context.timer.now() >= submission->deadline) {
                return kj::mv(reply);
            }
            return this->context.timer.afterDelay(RetryDelay).then([this, submission]() {
                return this->trySubmit(submission);
            });
        });
}

kj::Promise<SyncResponse> ControlClient::sync(
    const EntryRecord &entry, std::uint64_t haveIndex, std::uint64_t inForceRevision)
{
    return this->trySync(std::make_shared<EntryRecord>(entry), haveIndex, inForceRevision, MaxRedirects);
}

kj::Promise<SyncResponse> ControlClient::trySync(
    std::shared_ptr<EntryRecord> entry, std::uint64_t haveIndex, std::uint64_t inForceRevision, unsigned redirectsLeft)
{
    const std::size_t member = this->current;
    auto sent = this->control(member).then([entry, haveIndex, inForceRevision](Wire::Control::Client &&control) {
        auto request = control.syncRequest();
        auto params = request.initRequest();
        params.setHaveIndex(haveIndex);
        params.setInForceRevision(inForceRevision);
        writeHybridTime(params.initTime());
        auto wireEntry = params.initEntry();
        wireEntry.setId(entry->id.text);
        wireEntry.setEpoch(entry->epoch.value);
        wireEntry.setAddress(entry->address);
        wireEntry.setRpcAddress(entry->rpcAddress);
        wireEntry.setDataCentre(entry->dataCentre.text);
        wireEntry.setState(entry->state == EntryState::Draining ? Wire::EntryState::DRAINING : Wire::EntryState::LIVE);
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
                const bool redirected = this->followRedirect(member, textOf(result.getLeader()));
                KJ_REQUIRE(redirected && redirectsLeft > 0, "the control member can't confirm",
                    textOf(result.getFailure().getWhat()).c_str());
                return this->trySync(entry, haveIndex, inForceRevision, redirectsLeft - 1);
            },
            [this, member](kj::Exception &&exception) -> kj::Promise<SyncResponse> {
                this->switchAwayFrom(member);
                return kj::mv(exception);
            });
}

kj::Promise<Result<void>> ControlClient::changeMember(std::string id, std::string address, bool remove)
{
    return this->tryChangeMember(std::move(id), std::move(address), remove, MaxChangeAttempts);
}

kj::Promise<Result<void>> ControlClient::tryChangeMember(
    std::string id, std::string address, bool remove, unsigned attemptsLeft)
{
    const std::size_t member = this->current;
    auto sent = this->control(member).then([id, address, remove](Wire::Control::Client &&control) {
        auto request = control.changeMemberRequest();
        request.setId(id);
        request.setAddress(address);
        request.setRemove(remove);
        return request.send();
    });
    return this->context.timer.timeoutAfter(ChangeMemberTimeout, kj::mv(sent))
        .then(
            [this, member](auto &&response) {
                const auto result = response.getResult();
                if (!result.isFailure()) {
                    return Result<void>();
                }
                const Error error = readFailure(result.getFailure());
                if (isRetryable(error)) {
                    this->followRedirect(member, textOf(result.getLeader()));
                }
                return Result<void>(tl::unexpected(error));
            },
            [this, member](kj::Exception &&exception) {
                this->switchAwayFrom(member);
                return Result<void>(fail(ErrorKind::NoQuorum, exception.getDescription().cStr()));
            })
        .then([=, this](Result<void> &&done) -> kj::Promise<Result<void>> {
            // The member to be added may have been started just now and not be listening yet.
            const bool shouldRetry = !done && (isRetryable(done.error()) || done.error().kind == ErrorKind::NotReady);
            if (!shouldRetry || attemptsLeft <= 1) {
                return kj::mv(done);
            }
            return this->context.timer.afterDelay(RetryDelay * 4).then([=, this]() {
                return this->tryChangeMember(id, address, remove, attemptsLeft - 1);
            });
        });
}

kj::Promise<std::optional<kj::Own<ReadFleetResponse>>> ControlClient::readFleet()
{
    using MaybeResponse = std::optional<kj::Own<ReadFleetResponse>>;
    const std::size_t member = this->current;
    auto sent = this->control(member).then([](Wire::Control::Client &&control) {
        return control.readFleetRequest().send();
    });
    return this->context.timer.timeoutAfter(CallTimeout, kj::mv(sent))
        .then(
            [this, member](ReadFleetResponse &&response) {
                if (response.getResult().isFailure()) {
                    this->followRedirect(member, textOf(response.getResult().getLeader()));
                    return MaybeResponse();
                }
                return MaybeResponse(kj::heap<ReadFleetResponse>(kj::mv(response)));
            },
            [this, member](kj::Exception && /*exception*/) {
                this->switchAwayFrom(member);
                return MaybeResponse();
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
                    this->followRedirect(member, textOf(result.getLeader()));
                    return Result<std::vector<ProgramRecord>>(tl::unexpected(readFailure(result.getFailure())));
                }
                std::vector<ProgramRecord> programs;
                for (const auto program : result.getPrograms()) {
                    programs.push_back(readProgram(program));
                }
                return Result<std::vector<ProgramRecord>>(std::move(programs));
            },
            [this, member](kj::Exception &&exception) {
                this->switchAwayFrom(member);
                return Result<std::vector<ProgramRecord>>(fail(ErrorKind::NoQuorum, exception.getDescription().cStr()));
            });
}

} // namespace Chestnuthook
