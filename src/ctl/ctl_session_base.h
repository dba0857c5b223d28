/** @file ctl_session_base.h  Blocking client for the control members. */
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "client/control_client_base.h"
#include "core/error_type.h"
#include "fleet/fleet_base.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

using StatusResponse = capnp::Response<Wire::Control::StatusResults>;

/** Makes blocking calls to the control members. Must be created and used on a single thread. */
class CtlSession
{
public:
    CtlSession(std::string secret, const std::vector<std::string> &controls);

    /** Reads the fleet state, confirmed by a quorum. Errors: NoQuorum. */
    Result<FleetState> readFleet();

    /** Submits a serialised Wire::FleetCommand. @return the serialised Wire::FleetReply. */
    Result<std::string> submit(std::string command);

    /** Adds or removes a control member. Errors: those that the members return. */
    Result<void> changeMember(const std::string &name, const std::string &address, bool remove);

    /** Requests the status of the members at @p addresses in parallel. @return a result for each address in order;
     * NoQuorum for a member that doesn't answer. */
    std::vector<Result<StatusResponse>> status(const std::vector<std::string> &addresses);

    /** Reads the programs of @p count slots from @p first on, confirmed by a quorum. Errors: NoQuorum. */
    Result<std::vector<ProgramRecord>> loadSlots(std::uint16_t first, std::uint16_t count);

    /** Runs the event loop for @p period. */
    void pause(std::chrono::milliseconds period);

private:
    kj::Promise<Result<StatusResponse>> requestStatus(RpcLink &link);

    ControlLoop loop; ///< Event loop, which runs while a call is blocked.
    ControlClient client; ///< Client of the control members.
    std::vector<std::string> controls; ///< Addresses of the control members.
};

} // namespace Chestnuthook
