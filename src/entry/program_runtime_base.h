/** @file program_runtime_base.h  The programs of the slots that this entry owns: their calls in order, their budgets,
 * and the journal writes that make each step last. */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <kj/async.h>

#include "client/control_client_base.h"
#include "core/error_type.h"
#include "core/timer_base.h"
#include "entry/call_stream_base.h"
#include "entry/fleet_follower_base.h"
#include "entry/peer_links_base.h"
#include "program/call_request_type.h"
#include "program/journal_base.h"

namespace Chestnuthook
{

/** A slot that this entry owns. */
struct OwnedSlot
{
    Epoch epoch; ///< Under which the journal takes its writes.
    bool ready = false; ///< Opened in the journal and its programs loaded.
    bool opening = false; ///< Being taken over.
    bool stale = false; ///< A commit was answered while the programs were read, which may not hold it yet.
};

/** A call under way at this entry. */
struct RunningCall
{
    CallNumber number; ///< Of its program.
    std::string digest; ///< Of its content.
    AttemptId attempt; ///< Goes into the journal with the result.
    std::shared_ptr<CallStream> stream; ///< Its text so far.
};

/** What to do about a call that was accepted. */
struct CallStart
{
    bool stored = false; ///< The call has ended; `call` is its result.
    bool isNew = false; ///< The call is to be run, and `stream` filled; otherwise it is under way.
    CallRecord call; ///< The stored result, or the call to run.
    std::vector<ChatMessage> history; ///< Messages and answers of the calls before it.
    std::shared_ptr<CallStream> stream; ///< Of the running call.
    std::uint64_t maxPromptTokens = 0; ///< Model calls: the prompt has no more tokens than this.
    std::uint32_t maxTokens = 0; ///< Model calls: bound of the answer, within the budget.
    std::uint64_t attainedTokens = 0; ///< What the program has used so far.
    std::int64_t timeoutMs = 0; ///< From now to the end of the last attempt.
    bool idempotent = true; ///< May be tried again.
};

/** What a caller asks of a new program. */
struct ProgramParameters
{
    TenantId tenant; ///< Of the caller's key.
    KeyId key; ///< The caller's; for events only.
    Budget budget; ///< Parts that are 0 take the site's defaults.
    ProgramId parent; ///< Empty for a root.
    std::string idempotencyKey; ///< The caller's Idempotency-Key; empty for none.
    std::string digest; ///< Of the request's content.
};

/** Messages and answers of a program's model calls. */
[[nodiscard]] std::vector<ChatMessage> historyOf(const ProgramRecord &program);

/** The id of the root program that @p key of @p tenant creates, so that a resend through any entry finds it. */
[[nodiscard]] ProgramId programIdForKey(const TenantId &tenant, const std::string &key);

/** For the control thread. Part of it stands in program_runtime_call.cpp and program_runtime_upkeep.cpp. */
class ProgramRuntime
{
public:
    ProgramRuntime(FleetFollower &follower, ControlClient &client, PeerLinks &peers, kj::Timer &timer);

    /** Starts the periodic upkeep. */
    void start(TimerService &timers);
    void stop();

    /** Takes over and gives up slots as the fleet state says; also tries again what failed. */
    void updateSlots();

    /** Returns blocks that no running call needs; before a planned stop. */
    [[nodiscard]] kj::Promise<void> returnReservedTokens();

    [[nodiscard]] kj::Promise<Result<ProgramId>> create(ProgramParameters parameters);
    [[nodiscard]] kj::Promise<Result<CallStart>> beginCall(
        ProgramId program, CallNumber number, TenantId tenant, CallRequest request);

    /** Notes that @p endpoint is about to run the program, and takes a block where @p tokens are not held. */
    [[nodiscard]] kj::Promise<Result<void>> prepareAttempt(
        ProgramId program, EndpointId endpoint, std::uint64_t tokens);

    /** Commits the result of a call that beginCall let run, here or at the slot's new owner. @return the result that
     * counts: another one where a resend elsewhere ended first. */
    [[nodiscard]] kj::Promise<Result<CallRecord>> endCall(ProgramId program, CallRecord call);

    /** Ends a call without a result; it may be sent again. */
    void dropCall(const ProgramId &program, std::uint64_t usedTokens);

    /** Takes the result of an attempt that began at an earlier owner. */
    [[nodiscard]] kj::Promise<Result<void>> commitResult(ProgramId program, CallRecord call, std::uint64_t covered);
    [[nodiscard]] kj::Promise<Result<void>> endProgram(ProgramId program, TenantId tenant);

    /** The cache of an ended program was released at @p endpoint. */
    [[nodiscard]] kj::Promise<void> onCacheReleased(ProgramId program, EndpointId endpoint, bool confirmed);

    /** A copy of the program where the tenant may see it. */
    [[nodiscard]] Result<ProgramRecord> get(const ProgramId &program, const TenantId &tenant) const;

    /** Whether all slots that the fleet state gives this entry are served. */
    [[nodiscard]] Result<void> ready() const;

    [[nodiscard]] std::size_t runningCallCount() const
    {
        return this->running.size();
    }

    std::function<void(ProgramId, EndpointId)> releaseCache; ///< Begins a release; answered by `released`.

private:
    kj::Promise<void> openSlots(std::vector<std::pair<SlotId, Epoch>> slots);
    void adoptSlots(const std::vector<std::pair<SlotId, Epoch>> &slots, std::vector<ProgramRecord> programs);
    void reloadSlot(SlotId slot);
    Result<const ProgramRecord *> findAuthorized(const ProgramId &program, const TenantId &tenant) const;
    Result<Epoch> readyEpoch(const ProgramId &program) const;
    Result<CallStart> checkCall(const ProgramRecord &program, CallNumber number, const CallRequest &request) const;
    Result<CallStart> checkExistingCall(
        const ProgramRecord &program, const CallRecord *known, CallNumber number, const CallRequest &request) const;
    Result<void> planCall(CallStart &start, const ProgramRecord &program, const CallRequest &request) const;
    Result<void> planModel(CallStart &start, const ProgramRecord &program, const CallRequest &request) const;
    kj::Promise<Result<CallRecord>> commitEnd(
        ProgramId program, CallRecord call, std::uint64_t covered, unsigned attemptsLeft);
    kj::Promise<Result<void>> forwardResult(ProgramId program, CallRecord call, std::uint64_t covered);
    kj::Promise<Result<void>> commit(const ProgramId &program, std::string command);
    kj::Promise<Result<void>> reserveForChild(const ProgramRecord &parent, const ProgramRecord &child);
    Result<ProgramId> generateId(const std::string &prefix) const;
    Result<ProgramRecord> newProgram(const ProgramParameters &parameters) const;
    std::uint64_t unusedReservation(const ProgramId &program) const;

    void upkeep();
    void upkeepProgram(const ProgramRecord &program);
    void endOrphanedIntent(const ProgramRecord &program);
    void endChildren(const ProgramRecord &program);
    kj::Promise<Result<void>> endChild(ProgramId child, TenantId tenant);
    void removeExpired(const ProgramRecord &program);
    void detach(const ProgramId &program, kj::Promise<void> work);

    FleetFollower &follower; ///< Outlives this.
    ControlClient &client; ///< Outlives this.
    PeerLinks &peers; ///< Outlives this.
    kj::Timer &timer; ///< Outlives this.
    TimerSubscription subscription; ///< Runs the upkeep.
    JournalState journal; ///< Of the owned slots; holds only what the journal has committed.
    std::map<SlotId, OwnedSlot> ownedSlots; ///< By the fleet state.
    std::map<ProgramId, RunningCall> running; ///< Calls under way; at most one per program.
    std::map<ProgramId, std::uint64_t> reservedTokens; ///< Tokens taken in blocks and not used yet.
    std::set<ProgramId>
        pendingUpkeep; ///< Programs with dead intents, releases, children to end, or a retention to wait for.
    std::set<ProgramId> upkeepInProgress; ///< Programs whose upkeep is under way.
    std::map<ProgramId, std::int64_t> idleSinceMs; ///< Wall time since which ended programs run nothing.
    std::set<AttemptId> unsentAttempts; ///< Attempts whose begin had no answer; nothing was sent under them.
    kj::Promise<void> takeoverChain; ///< Chain of take-overs.
    kj::Own<kj::TaskSet::ErrorHandler> taskErrorHandler; ///< Logs failed background work.
    kj::Own<kj::TaskSet> taskSet; ///< Owns the tasks.
};

} // namespace Chestnuthook
