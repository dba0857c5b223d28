/** @file gate_func.cpp  Challenge and response of the gate. */
#include "rpc/gate_func.h"

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
    std::string_view side, const std::string &secret, const std::string &client, const std::string &server)
{
    return hmacSha256(secret, std::string(side) + client + server);
}

/** Waits for the client's proof; one per challenge. */
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
    OfferedServices services; ///< Handed out after the proof.
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
        const std::string client = textOf(context.getParams().getNonce());
        KJ_REQUIRE(client.size() == NonceBytes * 2, "unauthenticated: malformed nonce");
        const std::string server = randomHex(NonceBytes);
        const std::string secret = this->security.secrets().front();
        auto results = context.getResults();
        results.setNonce(dataOf(server));
        results.setProof(dataOf(proofOf(ServerSide, secret, client, server)));
        results.setProver(kj::heap<ProverServer>(proofOf(ClientSide, secret, client, server), this->services));
        return kj::READY_NOW;
    }

private:
    FleetSecurity &security; ///< Outlives the gate.
    OfferedServices services; ///< Handed out after a proof.
};

} // namespace

Wire::Gate::Client makeGate(FleetSecurity &security, OfferedServices services)
{
    return kj::heap<GateServer>(security, std::move(services));
}

kj::Promise<capnp::Response<Wire::Prover::ProveResults>> passGate(
    Wire::Gate::Client gate, std::vector<std::string> secrets, std::string party)
{
    const std::string client = randomHex(NonceBytes);
    auto request = gate.challengeRequest();
    request.setParty(party);
    request.setNonce(dataOf(client));
    return request.send().then([client, secrets = std::move(secrets)](auto &&response) {
        const std::string server = textOf(response.getNonce());
        const std::string proved = textOf(response.getProof());
        const auto shared = std::find_if(secrets.begin(), secrets.end(), [&](const std::string &secret) {
            return constantTimeEquals(proved, proofOf(ServerSide, secret, client, server));
        });
        KJ_REQUIRE(shared != secrets.end(), "unauthenticated: the fleet secrets differ");
        auto proof = response.getProver().proveRequest();
        proof.setProof(dataOf(proofOf(ClientSide, *shared, client, server)));
        return proof.send();
    });
}

} // namespace Chestnuthook
