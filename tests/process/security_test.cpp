/** @file security_test.cpp  Rejection of unauthenticated peers, slow senders and clients over a limit; API keys and
 * secrets must not appear in files or interfaces. */
#define BOOST_TEST_MODULE security
#include <array>
#include <csignal>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPSClientSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/NetSSL.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/X509Certificate.h>
#include <boost/test/unit_test.hpp>
#include <capnp/rpc-twoparty.h>

#include "rpc/control_loop_base.h"
#include "rpc/entry.capnp.h"
#include "support/certificate_func.h"
#include "support/process_fleet.h"

using namespace Chestnuthook;
using namespace Chestnuthook::Testing;

namespace
{

constexpr int ReceiveSeconds = 20;
const std::string Marker = "marker-of-a-verse";
const std::string ModelCall =
    R"({"kind":"model","model":"verse","messages":[{"role":"user","content":"marker-of-a-verse"}]})";
const std::string ToolCall =
    R"({"kind":"tool","service":"print","method":"POST","path":"/orders","body":"{}","idempotent":false})";

/** Contents of all files of the fleet whose path contains @p part, except the file with the secret. */
std::string readFilesOf(const ProcessFleet &fleet, const std::string &part)
{
    std::string all;
    for (const auto &file : std::filesystem::recursive_directory_iterator(fleet.folder)) {
        const bool wanted = file.path().string().find(part) != std::string::npos;
        if (file.is_regular_file() && file.path().filename() != "secret" && wanted) {
            all += readFile(file.path().string());
        }
    }
    return all;
}

/** All that the processes expose over HTTP: ledgers, events and metrics. */
std::string readInterfacesOf(const ProcessFleet &fleet)
{
    std::string all = http(fleet.engineAddresses[0], "GET", "/fake/ledger").body
        + http(fleet.serviceAddresses[0], "GET", "/fake/ledger").body;
    for (const std::string &entry : fleet.entryAddresses) {
        all += http(entry, "GET", "/v1/events").body + http(entry, "GET", "/metrics").body;
    }
    return all;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

/** A TCP connection to which a test writes raw bytes. */
struct RawConnection
{
    explicit RawConnection(const std::string &address)
        : socket(Poco::Net::SocketAddress(address))
    {
        this->socket.setReceiveTimeout(Poco::Timespan(ReceiveSeconds, 0));
    }

    void send(const std::string &text)
    {
        this->socket.sendBytes(text.data(), static_cast<int>(text.size()));
    }

    /** Half-closes the connection; the peer may have reset it already. */
    void endSending()
    {
        try {
            this->socket.shutdownSend();
        } catch (const Poco::Net::NetException &) {
            // The connection was reset, so nothing more can be sent either.
        }
    }

    /** Reads until the peer closes the connection. */
    std::string readAll()
    {
        std::string all;
        try {
            std::array<char, 4096> bytes{};
            for (int got = 1; got > 0;) {
                got = this->socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
                all.append(bytes.data(), static_cast<std::size_t>(std::max(got, 0)));
            }
        } catch (const Poco::Exception &) {
            all += " (reset)";
        }
        return all;
    }

    Poco::Net::StreamSocket socket; ///< Connection to the address.
};

FleetOptions withEntryFlags(std::vector<std::string> flags)
{
    FleetOptions size;
    size.entryFlags = std::move(flags);
    return size;
}

} // namespace

BOOST_AUTO_TEST_CASE(keys_and_secrets_do_not_leak)
{
    ProcessFleet fleet;
    const std::string program = "/v1/programs/" + fleet.createProgram(0);
    BOOST_TEST(fleet.ask(0, "POST", program + "/calls/1", ModelCall).status == 200);
    BOOST_TEST(fleet.ask(0, "POST", program + "/calls/2", ToolCall).status != 0);
    BOOST_TEST(fleet.ask(0, "POST", program + "/calls/7", ModelCall).status == 409);
    BOOST_TEST(fleet.ask(0, "POST", program + "/calls/3", "{broken").status == 400);
    const std::string wrongKey = "chk-a-key-that-nobody-issued";
    const HttpAnswer refused = httpAs(wrongKey, fleet.entryAddresses[0], "POST", "/v1/programs", "{}");
    BOOST_TEST(refused.status == 401);
    BOOST_TEST(!contains(refused.body, wrongKey));
    fleet.ask(0, "GET", "/v1/nowhere/" + Marker);
    const std::string listed = fleet.ctl({"keys", "list"}).output;
    const std::string exposed = readInterfacesOf(fleet);
    for (const char *name : {"entry-0", "control-0"}) {
        fleet.processes.at(name)->signal(SIGTERM);
        fleet.processes.at(name)->wait();
    }
    const std::string written = readFilesOf(fleet, "");
    // The search covers what it should: histories in the data folder, attempts in the ledger, lines in the logs.
    BOOST_TEST(contains(readFilesOf(fleet, "control-0/"), Marker));
    BOOST_TEST(contains(exposed, "\"attempt\":\""));
    BOOST_TEST(contains(readFilesOf(fleet, ".log"), "event="));
    BOOST_TEST(!contains(readFilesOf(fleet, ".log"), Marker));
    for (const std::string &forbidden : {fleet.key, wrongKey, std::string("a secret of this test fleet")}) {
        BOOST_TEST(!contains(written, forbidden));
        BOOST_TEST(!contains(exposed, forbidden));
        BOOST_TEST(!contains(listed, forbidden));
    }
}

BOOST_AUTO_TEST_CASE(rejects_rpc_without_the_fleet_secret)
{
    ProcessFleet fleet;
    const CommandResult wrong = runCommand("chestnuthook-ctl",
        {"--controls=" + fleet.controlAddresses[0], "keys", "list"}, {"CHESTNUTHOOK_SECRET=another secret"});
    BOOST_TEST(wrong.exitCode != 0);
    BOOST_TEST(!contains(wrong.output, fleet.customer), wrong.output);
    RawConnection rawClient(fleet.controlAddresses[0]);
    rawClient.send("GET / HTTP/1.1\r\n\r\n" + std::string(64, '\xff'));
    rawClient.endSending();
    BOOST_TEST(!contains(rawClient.readAll(), fleet.customer));
    ControlLoop loop("another secret", "stranger");
    for (const std::string &address : {fleet.controlAddresses[0], fleet.entryRpcAddresses[0]}) {
        RpcLink link(loop.rpc(), address);
        BOOST_CHECK_THROW(loop.wait(link.services().ignoreResult()), kj::Exception);
        // The bootstrap capability must not serve other interfaces than authentication either.
        auto stream = loop.wait(loop.wait(loop.rpc().network.parseAddress(address))->connect());
        capnp::TwoPartyClient client(*stream);
        auto control = client.bootstrap().castAs<Wire::Control>();
        BOOST_CHECK_THROW(loop.wait(control.statusRequest().send().ignoreResult()), kj::Exception);
        auto peer = client.bootstrap().castAs<Wire::EntryPeer>();
        BOOST_CHECK_THROW(loop.wait(peer.admitRequest().send().ignoreResult()), kj::Exception);
    }
    BOOST_TEST(fleet.ctl({"keys", "list"}).exitCode == 0);
    BOOST_TEST(fleet.createProgram(0) != "");
}

BOOST_AUTO_TEST_CASE(rejects_a_request_with_too_large_a_header)
{
    ProcessFleet fleet(withEntryFlags({"--max_header_bytes=4096"}));
    RawConnection caller(fleet.entryAddresses[0]);
    caller.send("GET /healthz HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(6000, 'x'));
    const std::string answer = caller.readAll();
    BOOST_TEST(answer.starts_with("HTTP/1.1 431 "), answer);
    BOOST_TEST(contains(answer, "\"ran\":\"no\""));
    BOOST_TEST(http(fleet.entryAddresses[0], "GET", "/healthz").status == 200);
}

BOOST_AUTO_TEST_CASE(an_incomplete_request_times_out_and_never_runs)
{
    ProcessFleet fleet(withEntryFlags({"--request_send_ms=700"}));
    const std::string call = "/v1/programs/" + fleet.createProgram(0) + "/calls/1";
    RawConnection caller(fleet.entryAddresses[0]);
    caller.send("POST " + call + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + fleet.key
        + "\r\nContent-Length: " + std::to_string(ModelCall.size() + 10) + "\r\n\r\n" + ModelCall);
    const std::string answer = caller.readAll();
    BOOST_TEST(answer.starts_with("HTTP/1.1 408 "), answer);
    BOOST_TEST(contains(answer, "\"ran\":\"no\""));
    // The same for a client that disconnects in the middle of its request.
    {
        RawConnection disconnecting(fleet.entryAddresses[0]);
        disconnecting.send("POST " + call + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + fleet.key
            + "\r\nContent-Length: " + std::to_string(ModelCall.size() + 10) + "\r\n\r\n" + ModelCall);
        disconnecting.endSending();
        BOOST_TEST(contains(disconnecting.readAll(), "ended early"));
    }
    BOOST_TEST(ProcessFleet::ledgerCount(fleet.engineAddresses[0], "\"attempt\":\"") == 0);
    BOOST_TEST(fleet.ask(0, "POST", call, ModelCall).status == 200);
}

BOOST_AUTO_TEST_CASE(too_many_connections_get_retry_after)
{
    ProcessFleet fleet(withEntryFlags({"--max_connections_per_caller=4"}));
    std::vector<std::unique_ptr<RawConnection>> held;
    held.reserve(8);
    for (int i = 0; i < 8; ++i) {
        held.push_back(std::make_unique<RawConnection>(fleet.entryAddresses[0]));
    }
    const std::string answer = held.back()->readAll();
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "), answer);
    BOOST_TEST(contains(answer, "Retry-After: 1"));
    held.clear();
    BOOST_TEST(waitUntil([&]() {
        return http(fleet.entryAddresses[0], "GET", "/healthz").status == 200;
    }));
}

BOOST_AUTO_TEST_CASE(replaces_the_tls_certificate_without_restart)
{
    const TemporaryFolder folder;
    const std::string prefix = folder.path + "/entry";
    writeCertificate(prefix, "first.example");
    Poco::Net::initializeSSL();
    const FleetOptions size;
    ProcessFleet fleet(size);
    const std::string address = reserveLoopbackAddresses(1)[0];
    ChildProcess entry("chestnuthook-entry",
        {"--listen=" + address, "--rpc_listen=" + reserveLoopbackAddresses(1)[0],
            "--controls=" + fleet.controlAddresses[0], "--platform=" + fleet.platformAddress, "--entry=tls",
            "--secret_file=" + fleet.folder + "/secret", "--tls_certificate=" + prefix + ".crt",
            "--tls_key=" + prefix + ".key"},
        fleet.folder + "/tls.log");
    Poco::Net::Context::Ptr context =
        new Poco::Net::Context(Poco::Net::Context::TLS_CLIENT_USE, "", "", "", Poco::Net::Context::VERIFY_NONE);
    const auto askUnderTls = [&](const std::string &key) {
        try {
            const Poco::Net::SocketAddress target(address);
            Poco::Net::HTTPSClientSession session(target.host().toString(), target.port(), context);
            Poco::Net::HTTPRequest request("POST", "/v1/programs", Poco::Net::HTTPMessage::HTTP_1_1);
            request.set("Authorization", "Bearer " + key);
            request.setContentLength(2);
            session.sendRequest(request) << "{}" << std::flush;
            Poco::Net::HTTPResponse response;
            session.receiveResponse(response).ignore(4096);
            return std::to_string(response.getStatus()) + " " + session.serverCertificate().commonName();
        } catch (const Poco::Exception &exception) {
            return exception.displayText();
        }
    };
    BOOST_TEST(waitUntil([&]() {
        return askUnderTls(fleet.key) == "201 first.example";
    }));
    BOOST_TEST(askUnderTls("no-key") == "401 first.example");
    BOOST_TEST(http(address, "GET", "/healthz").status != 200);
    const pid_t pid = entry.pid;
    writeCertificate(prefix, "second.example");
    BOOST_TEST(waitUntil([&]() {
        return askUnderTls(fleet.key) == "201 second.example";
    }));
    BOOST_TEST(entry.isRunning());
    BOOST_TEST(entry.pid == pid);
}
