/** @file control_service_base.cpp  Implements the Control interface on the replicated state machines. */
#include "control/control_service_base.h"

#include <algorithm>
#include <utility>

#include <capnp/message.h>

#include "control/fleet_event_func.h"
#include "observe/log_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

/** Tags of the state machines on the replicated log. */
constexpr std::uint8_t FleetMachineTag = 0;
constexpr std::uint8_t JournalMachineTag = 1;

constexpr std::size_t MaxEventsPerRead = 1000;
constexpr Duration ExpiryCheckInterval = std::chrono::milliseconds(250);

/** Flat fleet command that grants @p entry a lease. */
std::string grantLeaseCommand(Wire::Entry::Reader entry)
{
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::FleetCommand>();
    command.setNowMs(wallMsNow());
    command.setGrantLease(entry);
    return flatBytes(message);
}

std::string endLeaseCommand(const EntryRecord &entry)
{
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::FleetCommand>();
    command.setNowMs(wallMsNow());
    auto end = command.initEndLease();
    end.setEntry(entry.id.text);
    end.setEpoch(entry.epoch.value);
    return flatBytes(message);
}

/** Flat fleet command that drops strikes that have expired by now. */
std::string pruneCommand()
{
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::FleetCommand>();
    command.setNowMs(wallMsNow());
    command.setPrune();
    return flatBytes(message);
}

std::string setEntryStateCommand(Wire::Entry::Reader entry, std::uint64_t epoch)
{
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::FleetCommand>();
    command.setNowMs(wallMsNow());
    auto change = command.initSetEntryState();
    change.setEntry(entry.getId());
    change.setEpoch(epoch);
    change.setState(entry.getState());
    return flatBytes(message);
}

EntryState stateOf(Wire::Entry::Reader entry)
{
    return entry.getState() == Wire::EntryState::DRAINING ? EntryState::Draining : EntryState::Live;
}

class ControlServer final : public Wire::Control::Server
{
public:
    explicit ControlServer(ControlMember &member)
        : member(member)
    {
    }

    kj::Promise<void> submit(SubmitContext context) override
    {
        if (this->member.dropEntries) {
            return kj::NEVER_DONE;
        }
        const auto params = context.getParams();
        std::string requestId = bytesOf(params.getRequestId());
        observeHybridTime(params.getTime());
        std::string command = bytesOf(params.getCommand());
        std::string fleetCommand = params.getGroup() == Wire::Group::FLEET ? command : "";
        auto proposed = params.getGroup() == Wire::Group::FLEET
            ? this->member.fleet.propose(std::move(command), std::move(requestId))
            : this->member.journal.propose(std::move(command), std::move(requestId));
        return proposed.then(
            [this, context, fleetCommand = std::move(fleetCommand)](Result<std::string> &&reply) mutable {
                auto result = context.getResults().initResult();
                if (reply && !fleetCommand.empty()) {
                    logFleetCommand(fleetCommand, *reply);
                }
                if (reply) {
                    result.setReply(dataOf(*reply));
                } else {
                    this->writeError(result, reply.error());
                }
            });
    }

    kj::Promise<void> sync(SyncContext context) override
    {
        if (this->member.dropEntries) {
            return kj::NEVER_DONE;
        }
        if (!this->member.node.isLeader()) { // This member's record of the entry may be outdated.
            return this->answerSync(context, 0);
        }
        const auto entry = context.getParams().getRequest().getEntry();
        observeHybridTime(context.getParams().getRequest().getTime());
        const EntryRecord *recorded = this->member.fleet.machine.entries.find(EntryId{textOf(entry.getId())});
        const bool holdsLease = recorded != nullptr && recorded->epoch.value == entry.getEpoch();
        // An entry drained by an operator learns that from the delta; its own report must not make it live again.
        const bool upToDate =
            holdsLease && (recorded->state == stateOf(entry) || recorded->state == EntryState::Draining);
        if (upToDate) {
            return this->answerSync(context, recorded->epoch.value);
        }
        auto command = holdsLease ? setEntryStateCommand(entry, recorded->epoch.value) : grantLeaseCommand(entry);
        return this->member.fleet.propose(std::move(command))
            .then([this, context](Result<std::string> &&reply) mutable {
                if (!reply) {
                    this->writeError(context.getResults().initResult(), reply.error());
                    return kj::Promise<void>(kj::READY_NOW);
                }
                const EntryId id{textOf(context.getParams().getRequest().getEntry().getId())};
                const EntryRecord *granted = this->member.fleet.machine.entries.find(id);
                return this->answerSync(context, granted == nullptr ? 0 : granted->epoch.value);
            });
    }

    kj::Promise<void> loadSlots(LoadSlotsContext context) override
    {
        if (this->member.dropEntries) {
            return kj::NEVER_DONE;
        }
        return this->member.journal.confirmRead().then([this, context](Result<void> &&confirmed) mutable {
            auto result = context.getResults().initResult();
            if (!confirmed) {
                this->writeError(result, confirmed.error());
                return;
            }
            writeHybridTime(result.initTime());
            std::vector<const ProgramRecord *> programs;
            for (const auto slot : context.getParams().getSlots()) {
                const auto found = this->member.journal.machine.programsOf(SlotId{slot.getSlot()});
                programs.insert(programs.end(), found.begin(), found.end());
            }
            auto list = result.initPrograms(static_cast<unsigned>(programs.size()));
            for (unsigned i = 0; i < list.size(); ++i) {
                writeProgram(list[i], *programs[i]);
            }
        });
    }

    kj::Promise<void> status(StatusContext context) override
    {
        auto status = context.getResults().initStatus();
        const FleetState &fleet = this->member.fleet.machine;
        status.setMember(this->member.memberId);
        status.setTerm(this->member.fleet.term());
        status.setFleetIndex(fleet.index());
        status.setJournalIndex(this->member.journal.machine.index());
        status.setRevision(fleet.revision().value);
        status.setPrograms(this->member.journal.machine.all().size());
        status.setLeader(this->member.node.leaderAddress());
        this->writeEntries(status);
        this->writeMembers(status);
        return this->member.fleet.confirmRead().then([context](Result<void> &&confirmed) mutable {
            context.getResults().getStatus().setConfirmed(confirmed.has_value());
        });
    }

    kj::Promise<void> readFleet(ReadFleetContext context) override
    {
        if (this->member.dropEntries) {
            return kj::NEVER_DONE;
        }
        return this->member.fleet.confirmRead().then([this, context](Result<void> &&confirmed) mutable {
            auto result = context.getResults().initResult();
            if (!confirmed) {
                this->writeError(result, confirmed.error());
                return;
            }
            this->member.fleet.machine.writeDelta(0, result.initDelta().initDelta());
        });
    }

    kj::Promise<void> changeMember(ChangeMemberContext context) override
    {
        const auto params = context.getParams();
        auto changed = params.getRemove()
            ? this->member.node.removeMember(textOf(params.getId()))
            : this->member.node.addMember(textOf(params.getId()), textOf(params.getAddress()));
        return changed.then([this, context](Result<void> &&done) mutable {
            auto result = context.getResults().initResult();
            if (done) {
                result.setReply(nullptr);
            } else {
                this->writeError(result, done.error());
            }
        });
    }

    kj::Promise<void> setTestFault(SetTestFaultContext context) override
    {
        KJ_REQUIRE(this->member.testHooks, "the member was not started with --test_hooks");
        this->member.node.dropTraffic = context.getParams().getDropMembers();
        this->member.dropEntries = context.getParams().getDropEntries();
        return kj::READY_NOW;
    }

    kj::Promise<void> events(EventsContext context) override
    {
        const auto params = context.getParams();
        const std::size_t limit = std::min<std::size_t>(params.getLimit(), MaxEventsPerRead);
        context.getResults().setJson(processEvents().toJson(params.getSince(), limit));
        return kj::READY_NOW;
    }

private:
    template<typename Result>
    void writeError(Result result, const Error &error)
    {
        result.setLeader(this->member.node.leaderAddress());
        writeFailure(result.initFailure(), error);
    }

    void writeMembers(Wire::Status::Builder status)
    {
        const std::vector<MemberView> views = this->member.node.members();
        auto members = status.initMembers(static_cast<unsigned>(views.size()));
        for (unsigned i = 0; i < members.size(); ++i) {
            members[i].setId(views[i].identity);
            members[i].setAddress(views[i].address);
            members[i].setRole(views[i].role);
            members[i].setMatchIndex(views[i].matchIndex);
        }
    }

    kj::Promise<void> answerSync(SyncContext context, std::uint64_t epoch)
    {
        return this->member.fleet.confirmRead().then([this, context, epoch](Result<void> &&confirmed) mutable {
            const auto request = context.getParams().getRequest();
            auto result = context.getResults().initResult();
            if (!confirmed) {
                this->writeError(result, confirmed.error());
                return;
            }
            const EntryId id{textOf(request.getEntry().getId())};
            if (this->member.leases.isEnding(id, Epoch{epoch})) {
                writeFailure(result.initFailure(), Error{ErrorKind::NotReady, "the lease is ending", Ran::No, 0});
                return;
            }
            writeHybridTime(result.initTime());
            this->member.leases.recordContact(id,
                EntryContact{
                    this->member.loop.timers().now(), request.getInForceRevision(), request.getHaveIndex(), Epoch{}});
            auto delta = result.initDelta();
            this->member.fleet.machine.writeDelta(request.getHaveIndex(), delta.initDelta());
            delta.setEpoch(epoch);
            delta.setLeaseMs(static_cast<std::uint32_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(LeaseDuration).count()));
        });
    }

    void writeEntries(Wire::Status::Builder status)
    {
        const FleetState &fleet = this->member.fleet.machine;
        auto entries = status.initEntries(static_cast<unsigned>(fleet.entries.liveCount()));
        unsigned next = 0;
        for (const auto &[id, row] : fleet.entries.all()) {
            if (row.removed) {
                continue;
            }
            auto entry = entries[next++];
            entry.getEntry().setId(id.text);
            entry.getEntry().setEpoch(row.record.epoch.value);
            entry.getEntry().setAddress(row.record.address);
            entry.getEntry().setRpcAddress(row.record.rpcAddress);
            entry.getEntry().setDataCentre(row.record.dataCentre.text);
            const bool draining = row.record.state == EntryState::Draining;
            entry.getEntry().setState(draining ? Wire::EntryState::DRAINING : Wire::EntryState::LIVE);
            if (const EntryContact *contact = this->member.leases.find(id)) {
                entry.setInForceRevision(contact->inForceRevision);
                entry.setHaveIndex(contact->haveIndex);
                entry.setHeardMsAgo(
                    static_cast<std::uint64_t>((this->member.loop.timers().now() - contact->lastHeard).count() / 1000));
            }
        }
    }

    ControlMember &member; ///< Outlives this.
};

} // namespace

ControlMember::ControlMember(ControlLoop &loop, ReplicaSettings settings, bool testHooks)
    : node(loop, settings)
    , fleet(this->node, FleetMachineTag)
    , journal(this->node, JournalMachineTag)
    , memberId(settings.name)
    , testHooks(testHooks)
    , loop(loop)
{
    this->node.onBecameLeader = [this]() {
        this->leases.beginTerm(this->fleet.machine, this->loop.timers().now());
    };
}

Result<void> ControlMember::open(const std::string &dataFolder)
{
    return this->node.open(dataFolder);
}

void ControlMember::start()
{
    this->node.start();
    this->expiryTimer = this->loop.timers().every(ExpiryCheckInterval, [this]() {
        this->checkExpiry();
    });
}

void ControlMember::checkExpiry()
{
    const auto now = this->loop.timers().now();
    const bool anyExpired = this->node.isLeader()
        && (!this->leases.markExpired(this->fleet.machine, now).empty()
            || this->fleet.machine.hasExpiredStrikes(wallMsNow()));
    if (!anyExpired || this->confirmingExpiry) {
        return;
    }
    this->confirmingExpiry = true;
    // A leader whose process was suspended must hear from its successor and from its entries before it ends any lease.
    this->loop.detach(this->node.confirmRead().then([this](Result<void> &&confirmed) {
        this->confirmingExpiry = false;
        if (confirmed) {
            this->endExpired();
        }
    }));
}

void ControlMember::endExpired()
{
    for (const EntryRecord &entry : this->leases.markExpired(this->fleet.machine, this->loop.timers().now())) {
        logEvent(EventKind::LeaseExpired, {{"entry", entry.id.text}, {"epoch", std::to_string(entry.epoch.value)}});
        this->loop.detach(this->fleet.propose(endLeaseCommand(entry)).ignoreResult());
    }
    if (this->fleet.machine.hasExpiredStrikes(wallMsNow())) {
        this->loop.detach(this->fleet.propose(pruneCommand()).ignoreResult());
    }
}

Wire::Control::Client makeControlService(ControlMember &member)
{
    return kj::heap<ControlServer>(member);
}

} // namespace Chestnuthook
