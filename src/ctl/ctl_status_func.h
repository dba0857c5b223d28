/** @file ctl_status_func.h  Collects the status of the control members and of the entries. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ctl/ctl_session_base.h"

namespace Chestnuthook
{

/** Status of a control member. */
struct MemberSummary
{
    std::string address; ///< Address as given on the command line.
    std::string fault; ///< Why the member doesn't answer; empty if it does.
    std::string id; ///< Name of the member.
    std::string leader; ///< Leader that the member follows.
    std::uint64_t term = 0; ///< Term of the fleet group.
    std::uint64_t fleetIndex = 0; ///< Last applied index of the fleet log.
    std::uint64_t journalIndex = 0; ///< Last applied index of the journal log.
    std::uint64_t revision = 0; ///< Revision of the declarations.
    std::uint64_t programs = 0; ///< Number of programs that the member stores.
    bool confirmed = false; ///< The answer was confirmed by a quorum.
};

/** Status of an entry with a lease. */
struct EntrySummary
{
    std::string id; ///< Identity of the process.
    std::string address; ///< Address for callers.
    std::string dataCentre; ///< Data centre that the entry runs in.
    bool draining = false; ///< The entry gets no new work.
    bool heard = false; ///< The answering leader has received a heartbeat in its term.
    std::uint64_t inForce = 0; ///< Revision of the declarations in force on the entry.
    std::uint64_t haveIndex = 0; ///< Log index up to which keys and declarations are in force on the entry.
    std::uint64_t heardMsAgo = 0; ///< Milliseconds since the last heartbeat.
};

/** Status of all control members and entries. */
struct FleetSummary
{
    std::vector<MemberSummary> members; ///< Members in the order of the command line.
    std::vector<EntrySummary> entries; ///< Entries from confirmed answers, sorted by id.
    bool confirmed = false; ///< At least one answer was confirmed by a quorum.
};

/** Requests the status of all members at @p addresses. */
[[nodiscard]] FleetSummary readFleetSummary(CtlSession &session, const std::vector<std::string> &addresses);

} // namespace Chestnuthook
