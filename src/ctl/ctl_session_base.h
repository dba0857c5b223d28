/** @file ctl_session_base.h  The operators' connection to the control members. */
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

/** Blocking calls for a command-line tool; made and used on one thread. */
class CtlSession
{
public:
    CtlSession(std::string secret, const std::vector<std::string> &controls);

    /** The whole fleet state, confirmed by a quorum. Errors: NoQuorum. */
    Result<FleetState> readFleet();

    /** Submits a flat fleet command. @return the flat reply. */
    Result<std::string> submit(std::string command);

    /** Adds or removes a control member. Errors: those of the members. */
    Result<void> changeMember(const std::string &name, const std::string &address, bool remove);

    /** Statuses of all members at @p addresses, asked at once. Errors: NoQuorum where one doesn't answer. */
    std::vector<Result<StatusResponse>> status(const std::vector<std::string> &addresses);

    /** Programs of @p count slots from @p first on, confirmed by a quorum. Errors: NoQuorum. */
    Result<std::vector<ProgramRecord>> loadSlots(std::uint16_t first, std::uint16_t count);

    /** Runs the loop for @p period. */
    void pause(std::chrono::milliseconds period);

private:
    kj::Promise<Result<StatusResponse>> askStatus(RpcLink &link);

    ControlLoop loop; ///< Runs while a call waits.
    ControlClient client; ///< To the members.
    std::vector<std::string> controls; ///< Their addresses.
};

} // namespace Chestnuthook
