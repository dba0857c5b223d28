/** @file gate_func.h  The gate of every port between our processes: both sides prove that they hold the fleet's secret
 * before either offers anything. The proof is an HMAC-SHA-256 over both nonces and the prover's side. */
#pragma once

#include <string>

#include <kj/async-io.h>

#include "core/error_type.h"
#include "rpc/control.capnp.h"

namespace Chestnuthook
{

/** What a process offers behind its gate; a null client offers nothing. */
struct OfferedServices
{
    Wire::Control::Client control = nullptr; ///< Set at a control member.
    capnp::Capability::Client peer = nullptr; ///< Member or EntryPeer.
};

/** Makes the bootstrap capability of a port. */
[[nodiscard]] Wire::Gate::Client makeGate(std::string secret, OfferedServices services);

/** Passes the gate at the other end. @return its services; the promise fails where a proof is wrong. */
[[nodiscard]] kj::Promise<capnp::Response<Wire::Prover::ProveResults>> passGate(
    Wire::Gate::Client gate, std::string secret, std::string party);

} // namespace Chestnuthook
