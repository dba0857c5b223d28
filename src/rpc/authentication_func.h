/** @file authentication_func.h  Mutual authentication on every RPC port of the fleet, by the Wire::Gate interface:
 * both sides prove that they hold a fleet secret before either offers a service. A proof is an HMAC-SHA-256 over the
 * prover's side and both nonces. */
#pragma once

#include <string>
#include <vector>

#include <kj/async-io.h>

#include "core/error_type.h"
#include "rpc/control.capnp.h"
#include "rpc/fleet_security_base.h"

namespace Chestnuthook
{

/** Capabilities that a process offers to authenticated peers; a null one is not offered. */
struct OfferedServices
{
    Wire::Control::Client control = nullptr; ///< Offered by control members.
    capnp::Capability::Client peer = nullptr; ///< Member, EntryPeer or HistoryStore.
    capnp::Capability::Client deployment = nullptr; ///< Deployment; offered by control members of a deployment.
};

/** Creates the bootstrap capability of a port. Each proof uses the first secret that @p security holds at that time.
 */
[[nodiscard]] Wire::Gate::Client makeAuthenticationGate(FleetSecurity &security, OfferedServices services);

/** Authenticates to the other end with whichever of @p secrets the other end used for its own proof, so that while a
 * secret is replaced any two processes always share one. @return the other end's services; the promise fails if a
 * proof is wrong. */
[[nodiscard]] kj::Promise<capnp::Response<Wire::Prover::ProveResults>> authenticateToPeer(
    Wire::Gate::Client gate, std::vector<std::string> secrets, std::string localName);

} // namespace Chestnuthook
