/** @file authentication_func.cpp  Challenge-response authentication. */
#include "rpc/authentication_func.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include <capnp/message.h>

#include "core/hash_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::size_t NonceBytes = 16;
constexpr std::string_view ServerSide = "server:";
constexpr std::string_view ClientSide = "client:";

capnp::Data::Reader dataOf(const std::string &text)
{
    return {reinterpret_cast<const kj::byte *>(text.data()), text.size()};
}

std::string textOf(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

std::string proofOf(
    std::string_view side, const std::string &secret, const std::string &clientNonce, const std::string &serverNonce)
{
    return hmacSha256(secret, std::string(side) + clientNonce + serverNonce);
}

/** Checks the client's proof; created for each challenge. */
class ProverServer final : public Wire::Prover::Server
{
public:
    ProverServer(std::string expected, OfferedServices services)
        : expected(std::move(expected))
        , services(std::move(services))
    {
    }

    kj::Promise<void> prove(ProveContext context) override
    {
        const std::string proof = textOf(context.getParams().getProof());
        KJ_REQUIRE(constantTimeEquals(proof, this->expected), "unauthenticated: the fleet secrets differ");
        auto offered = context.getResults().initServices();
        offered.setControl(this->services.control);
        offered.setPeer(this->services.peer);
        offered.setDeployment(this->services.deployment);
        return kj::READY_NOW;
    }

private:
    std::string expected; ///< The only proof that is accepted.
    OfferedServices services; ///< Returned once the proof is accepted.
};

class GateServer final : public Wire::Gate::Server
{
public:
    GateServer(FleetSecurity &security, OfferedServices services)
        : security(security)
        , services(std::move(services))
    {
    }

    kj::Promise<void> challenge(ChallengeContext context) override
    {
        const std::string clientNonce = textOf(context.getParams().getNonce());
        KJ_REQUIRE(clientNonce.size() == NonceBytes * 2, "unauthenticated: malformed nonce");
        const std::string serverNonce = randomHex(NonceBytes);
        const std::string secret = this->security.secrets().front();
        auto results = context.getResults();
        results.setNonce(dataOf(serverNonce));
        results.setProof(dataOf(proofOf(ServerSide, secret, clientNonce, serverNonce)));
        results.setProver(
            kj::heap<ProverServer>(proofOf(ClientSide, secret, clientNonce, serverNonce), this->services));
        return kj::READY_NOW;
    }

private:
    FleetSecurity &security; ///< Outlives this.
    OfferedServices services; ///< Returned to authenticated clients.
};

} // namespace

Wire::Gate::Client makeAuthenticationGate(FleetSecurity &security, OfferedServices services)
{
    return kj::heap<GateServer>(security, std::move(services));
}

kj::Promise<capnp::Response<Wire::Prover::ProveResults>> authenticateToPeer(
    Wire::Gate::Client gate, std::vector<std::string> secrets, std::string localName)
{
    const std::string clientNonce = randomHex(NonceBytes);
    auto request = gate.challengeRequest();
    request.setParty(localName);
    request.setNonce(dataOf(clientNonce));
    return request.send().then([clientNonce, secrets = std::move(secrets)](auto &&response) {
        const std::string serverNonce = textOf(response.getNonce());
        const std::string serverProof = textOf(response.getProof());
        const auto sharedSecret = std::find_if(secrets.begin(), secrets.end(), [&](const std::string &secret) {
            return constantTimeEquals(serverProof, proofOf(ServerSide, secret, clientNonce, serverNonce));
        });
        KJ_REQUIRE(sharedSecret != secrets.end(), "unauthenticated: the fleet secrets differ");
        auto proof = response.getProver().proveRequest();
        proof.setProof(dataOf(proofOf(ClientSide, *sharedSecret, clientNonce, serverNonce)));
        return proof.send();
    });
}

} // namespace Chestnuthook
