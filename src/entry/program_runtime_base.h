/** @file program_runtime_base.h  The programs of the slots that this entry owns: their calls in order, their budgets,
 * and the journal writes that make each step last. */
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <kj/async.h>

#include "client/control_client_base.h"
#include "core/error_type.h"
#include "entry/fleet_follower_base.h"
#include "program/call_request_type.h"
#include "program/journal_base.h"

namespace Chestnuthook
{

/** A slot that this entry owns. */
struct OwnedSlot
{
    Epoch epoch; ///< Under which the journal takes its writes.
    bool ready = false; ///< Opened in the journal and its programs loaded.
};

/** What to do about a call that was accepted. */
struct CallStart
{
    bool stored = false; ///< The call has ended; `call` is its result.
    CallRecord call; ///< The stored result, or the call to run.
    std::vector<ChatMessage> history; ///< Messages and answers of the calls before it.
};

/** What a caller asks of a new program. */
struct ProgramWish
{
    TenantId tenant; ///< Of the caller's key.
    Budget budget; ///< Parts that are 0 take the site's defaults.
    ProgramId parent; ///< Empty for a root.
    std::string requestId; ///< Of the caller; empty for none.
};

/** For the control thread. */
class ProgramRuntime
{
public:
    ProgramRuntime(FleetFollower &follower, ControlClient &client);

    /** Takes over and gives up slots after a change of the fleet state. */
    void updateSlots();

    [[nodiscard]] kj::Promise<Result<ProgramId>> create(ProgramWish wish);
    [[nodiscard]] kj::Promise<Result<CallStart>> beginCall(
        ProgramId program, CallNumber number, TenantId tenant, CallRequest request);

    /** Commits the result of a call that beginCall let run. */
    [[nodiscard]] kj::Promise<Result<void>> endCall(ProgramId program, CallRecord call);
    [[nodiscard]] kj::Promise<Result<void>> endProgram(ProgramId program, TenantId tenant);

    /** A copy of the program where the tenant may see it. */
    [[nodiscard]] Result<ProgramRecord> get(const ProgramId &program, const TenantId &tenant) const;

    /** Whether all slots that the fleet state gives this entry are served. */
    [[nodiscard]] Result<void> ready() const;

private:
    kj::Promise<void> takeOver(std::vector<std::pair<SlotId, Epoch>> slots);
    Result<const ProgramRecord *> findFor(const ProgramId &program, const TenantId &tenant) const;
    Result<CallStart> checkCall(const ProgramRecord &program, CallNumber number, const CallRequest &request) const;
    kj::Promise<Result<void>> commit(const ProgramId &program, std::string command);
    Result<ProgramId> mintId() const;

    FleetFollower &follower; ///< Outlives this.
    ControlClient &client; ///< Outlives this.
    JournalState copy; ///< Of the owned slots; holds only what the journal has committed.
    std::map<SlotId, OwnedSlot> owned; ///< By the fleet state.
    std::map<ProgramId, AttemptId> running; ///< Calls under way; at most one per program.
    kj::Promise<void> takingOver; ///< Chain of take-overs.
};

} // namespace Chestnuthook
