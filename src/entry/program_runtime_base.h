/** @file program_runtime_base.h  Runs the programs in the slots that this entry owns: orders their calls, enforces
 * their budgets, and writes each step to the journal. */
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
    Epoch epoch; ///< Epoch with which writes to the journal are fenced.
    bool ready = false; ///< Opened in the journal, with its programs loaded.
    bool opening = false; ///< Being opened.
    bool stale = false; ///< A commit completed while the programs were loaded, which may lack its change.
};

/** A call in progress at this entry. */
struct RunningCall
{
    CallNumber number; ///< Number of the call in its program.
    std::string digest; ///< Digest of the request.
    AttemptId attempt; ///< Attempt id, journaled with the result.
    std::shared_ptr<CallStream> stream; ///< Text received so far.
};

/** How to proceed with an accepted call. */
struct CallStart
{
    bool stored = false; ///< The call has ended; `call` holds its result.
    bool isNew = false; ///< The call must be run, writing to `stream`; if neither is set, it is already running.
    CallRecord call; ///< The stored result or the call to run.
    std::vector<ChatMessage> history; ///< Messages and outputs of the previous calls.
    std::shared_ptr<CallStream> stream; ///< Stream of the running call.
    std::uint64_t maxPromptTokens = 0; ///< For model calls: upper bound of the prompt size.
    std::uint32_t maxTokens = 0; ///< For model calls: limit of the output, within the budget.
    std::uint64_t attainedTokens = 0; ///< Tokens that the program has used so far.
    std::int64_t timeoutMs = 0; ///< Timeout of the call, over all attempts.
    bool idempotent = true; ///< Whether the call may be retried after it was sent.
};

/** Parameters of a program to create. */
struct ProgramParameters
{
    CustomerId customer; ///< Customer that the API key of the client belongs to.
    KeyId key; ///< Id of the API key; for events only.
    Budget budget; ///< Fields that are 0 take the site's defaults, or for a child a share of its parent's budget.
    ProgramId parent; ///< Parent program; empty for a root program.
    std::string idempotencyKey; ///< Idempotency-Key of the request; empty for none.
    std::string digest; ///< Digest of the request.
};

/** Messages and outputs of the successful model calls of a program. */
[[nodiscard]] std::vector<ChatMessage> historyOf(const ProgramRecord &program);

/** Id of the root program that is created with idempotency key @p key of @p customer. Derived from both, so that a
 * retry through any entry finds the program. */
[[nodiscard]] ProgramId programIdForKey(const CustomerId &customer, const std::string &key);

/** Runs on the control thread. Implemented in program_runtime_base.cpp, program_runtime_call.cpp and
 * program_runtime_upkeep.cpp. */
class ProgramRuntime
{
public:
    ProgramRuntime(FleetFollower &follower, ControlClient &client, PeerLinks &peers, kj::Timer &timer);

    /** Starts the periodic upkeep. */
    void start(TimerService &timers);
    void stop();

    /** Opens slots that this entry has gained and drops those it has lost; retries slots that failed to open. */
    void updateSlots();

    /** Returns reserved tokens that no running call needs; called before a graceful shutdown. */
    [[nodiscard]] kj::Promise<void> returnReservedTokens();

    /** Creates a program. A child's budget is taken from its parent's. */
    [[nodiscard]] kj::Promise<Result<ProgramId>> create(ProgramParameters parameters);
    /** Accepts a call, or finds the running or stored call of the same number and content. */
    [[nodiscard]] kj::Promise<Result<CallStart>> beginCall(
        ProgramId program, CallNumber number, CustomerId customer, CallRequest request);

    /** Prepares an attempt: journals that @p endpoint will hold cache of the program, and reserves a block of tokens
     * from its budget unless @p tokens are reserved already. */
    [[nodiscard]] kj::Promise<Result<void>> prepareAttempt(
        ProgramId program, EndpointId endpoint, std::uint64_t tokens);

    /** Commits the result of a call that beginCall started, here or at the new owner of the slot. @return the committed
     * result, which is another one if a retry through another entry ended first. */
    [[nodiscard]] kj::Promise<Result<CallRecord>> endCall(ProgramId program, CallRecord call);

    /** Ends a call without recording a result, so that it can be retried. @param usedTokens tokens that it has used. */
    void dropCall(const ProgramId &program, std::uint64_t usedTokens);

    /** Commits the result of a call, also one that was started by a previous owner of the slot. @param covered tokens
     * of the result that were reserved beforehand. */
    [[nodiscard]] kj::Promise<Result<void>> commitResult(ProgramId program, CallRecord call, std::uint64_t covered);
    /** Ends a program and cancels its running call if that is cancellable. */
    [[nodiscard]] kj::Promise<Result<void>> endProgram(ProgramId program, CustomerId customer);

    /** Handles the outcome of releasing the cache of an ended program at @p endpoint. */
    [[nodiscard]] kj::Promise<void> onCacheReleased(ProgramId program, EndpointId endpoint, bool confirmed);

    /** A copy of the program. Errors: NotReady; NotFound; ForeignProgram if it belongs to another customer. */
    [[nodiscard]] Result<ProgramRecord> get(const ProgramId &program, const CustomerId &customer) const;

    /** Whether the fleet state is fresh and all slots of this entry are open. */
    [[nodiscard]] Result<void> ready() const;

    [[nodiscard]] std::size_t runningCallCount() const
    {
        return this->running.size();
    }

    std::function<void(ProgramId, EndpointId)> releaseCache; ///< Starts a release, which ends in `onCacheReleased`.

private:
    kj::Promise<void> openSlots(std::vector<std::pair<SlotId, Epoch>> slots);
    void adoptSlots(const std::vector<std::pair<SlotId, Epoch>> &slots, std::vector<ProgramRecord> programs);
    void reloadSlot(SlotId slot);
    Result<const ProgramRecord *> findAuthorized(const ProgramId &program, const CustomerId &customer) const;
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
    kj::Promise<Result<void>> endChild(ProgramId child, CustomerId customer);
    void removeExpired(const ProgramRecord &program);
    void detach(const ProgramId &program, kj::Promise<void> work);

    FleetFollower &follower; ///< Outlives this.
    ControlClient &client; ///< Outlives this.
    PeerLinks &peers; ///< Outlives this.
    kj::Timer &timer; ///< Outlives this.
    TimerSubscription subscription; ///< Timer of the upkeep.
    JournalState journal; ///< Copy of the journal state of the owned slots; holds only committed changes.
    std::map<SlotId, OwnedSlot> ownedSlots; ///< Slots that the fleet state assigns to this entry.
    std::map<ProgramId, RunningCall> running; ///< Calls in progress, at most one per program.
    std::map<ProgramId, std::uint64_t> reservedTokens; ///< Reserved tokens that are not used yet, by program.
    std::set<ProgramId> pendingUpkeep; ///< Programs with orphaned intents, releases, children to end or a retention.
    std::set<ProgramId> upkeepInProgress; ///< Programs whose upkeep is in progress.
    std::map<ProgramId, std::int64_t> idleSinceMs; ///< Wall time since which no call of a program has run.
    std::set<AttemptId> unsentAttempts; ///< Attempts that were never sent, though their intent may be journaled.
    kj::Promise<void> takeoverChain; ///< Opens slots, one batch after the other.
    kj::Own<kj::TaskSet::ErrorHandler> taskErrorHandler; ///< Logs failed background tasks.
    kj::Own<kj::TaskSet> taskSet; ///< Owns the background tasks.
};

} // namespace Chestnuthook
