/** @file gate_func.h  The gate of every port between our processes: both sides prove that they hold the fleet's secret
 * before either offers anything. The proof is an HMAC-SHA-256 over both nonces and the prover's side. */
#pragma once

#include <string>
#include <vector>

#include <kj/async-io.h>

#include "core/error_type.h"
#include "rpc/control.capnp.h"
#include "rpc/fleet_security_base.h"

namespace Chestnuthook
{

/** What a process offers behind its gate; a null client offers nothing. */
struct OfferedServices
{
    Wire::Control::Client control = nullptr; ///< Set at a control member.
    capnp::Capability::Client peer = nullptr; ///< Member, EntryPeer or HistoryStore.
    capnp::Capability::Client deployment = nullptr; ///< Deployment; set at a control member of a deployment.
};

/** Makes the bootstrap capability of a port. It proves itself by the first secret that @p security holds at that time.
 */
[[nodiscard]] Wire::Gate::Client makeGate(FleetSecurity &security, OfferedServices services);

/** Passes the gate at the other end by whichever of @p secrets that end has proved itself by; so a secret is changed
 * without a moment in which two processes share none. @return its services; the promise fails where a proof is wrong.
 */
[[nodiscard]] kj::Promise<capnp::Response<Wire::Prover::ProveResults>> passGate(
    Wire::Gate::Client gate, std::vector<std::string> secrets, std::string party);

} // namespace Chestnuthook
