/** @file ctl_status_func.h  What the control members say of themselves and of the entries, put together. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ctl/ctl_session_base.h"

namespace Chestnuthook
{

/** One control member. */
struct MemberGlance
{
    std::string address; ///< As named on the command line.
    std::string fault; ///< Why it doesn't answer; empty where it does.
    std::string id; ///< Its name.
    std::string leader; ///< Who it takes for the leader.
    std::uint64_t term = 0; ///< Of the fleet group.
    std::uint64_t fleetIndex = 0; ///< Last applied.
    std::uint64_t journalIndex = 0; ///< Last applied.
    std::uint64_t revision = 0; ///< Of the declarations.
    std::uint64_t programs = 0; ///< That it knows.
    bool confirmed = false; ///< A quorum confirmed its answer.
};

/** One entry with a lease. */
struct EntryGlance
{
    std::string id; ///< Of the process.
    std::string address; ///< For callers.
    std::string dataCentre; ///< Where it runs.
    bool draining = false; ///< It gets no new work.
    bool heard = false; ///< Some member has heard of it in its term.
    std::uint64_t inForce = 0; ///< Revision that it serves under.
    std::uint64_t haveIndex = 0; ///< Log index up to which keys and declarations are in force there.
    std::uint64_t heardMsAgo = 0; ///< Since the last heartbeat.
};

/** All of it. */
struct FleetGlance
{
    std::vector<MemberGlance> members; ///< In the order of the command line.
    std::vector<EntryGlance> entries; ///< By id, from confirmed answers.
    bool confirmed = false; ///< At least one answer was confirmed by a quorum.
};

/** Asks all members at @p addresses. */
[[nodiscard]] FleetGlance readGlance(CtlSession &session, const std::vector<std::string> &addresses);

} // namespace Chestnuthook
