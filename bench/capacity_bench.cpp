/** @file capacity_bench.cpp  Slopes for docs/CAPACITY.md, measured with the code that runs: the fleet state, the
 * journal, RPC between two ends, and an idle and a busy entry as real processes. `scripts/capacity --measure` records
 * them. */
#include <chrono>
#include <cstring>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <gflags/gflags.h>

#include "admission/token_bucket_type.h"
#include "capacity_slope.h"
#include "consensus/raft_storage_base.h"
#include "core/hash_func.h"
#include "endpoint/instance_list_base.h"
#include "entry/fleet_follower_base.h"
#include "fleet/fleet_base.h"
#include "program/journal_base.h"
#include "rpc/control_loop_base.h"
#include "rpc/entry.capnp.h"
#include "rpc/message_func.h"
#include "support/certificate_func.h"
#include "support/process_fleet.h"

using namespace Chestnuthook;
using namespace Chestnuthook::Capacity;

namespace
{

constexpr int TargetTenants = 23000;
constexpr int TargetEntries = 350;
constexpr const char *TenantJson = R"({"rate":5,"burst":15,"weight":1})";

/** How much of each measurement is done; the short form is for CI, which judges no time. */
struct Extent
{
    int tenants = TargetTenants; ///< Tenants and keys of the fleet state.
    int entries = TargetEntries; ///< Leases of the fleet state.
    int repeats = 200; ///< Runs of a cheap operation.
    int calls = 300; ///< Calls to the real entry.
    int connections = 200; ///< Open connections to the real entry.
    std::chrono::seconds idle{10}; ///< How long the idle fleet is watched.
    bool judged = true; ///< Whether budgets are held against what was measured.
};

template<typename Fill>
std::string fleetCommand(Fill &&fill)
{
    capnp::MallocMessageBuilder message;
    fill(message.initRoot<Wire::FleetCommand>());
    return flatBytes(message);
}

std::string applyCommand(std::uint64_t revision, int first, int count)
{
    return fleetCommand([&](Wire::FleetCommand::Builder command) {
        auto apply = command.initApply();
        apply.setExpectedRevision(revision);
        auto changes = apply.initChanges(static_cast<unsigned>(count));
        for (int i = 0; i < count; ++i) {
            changes[static_cast<unsigned>(i)].setSection("tenants");
            changes[static_cast<unsigned>(i)].setName("tenant-" + std::to_string(first + i));
            changes[static_cast<unsigned>(i)].setJson(TenantJson);
        }
    });
}

std::string keyCommand(int number)
{
    return fleetCommand([&](Wire::FleetCommand::Builder command) {
        auto key = command.initIssueKey();
        key.setId("k-" + std::to_string(number));
        key.setTenant("tenant-" + std::to_string(number));
        const std::string hash = sha256Raw(std::to_string(number));
        key.setHash(dataOf(hash));
    });
}

std::string leaseCommand(int number)
{
    return fleetCommand([&](Wire::FleetCommand::Builder command) {
        auto entry = command.initGrantLease();
        entry.setId("entry-" + std::to_string(number) + ".a1b2c3d4");
        entry.setAddress("10.1.2.3:" + std::to_string(10000 + number));
        entry.setRpcAddress("10.1.2.3:" + std::to_string(20000 + number));
        entry.setDataCentre("dc" + std::to_string(number % 13));
    });
}

double deltaBytes(const FleetState &state, std::uint64_t have)
{
    capnp::MallocMessageBuilder message;
    state.writeDelta(have, message.initRoot<Wire::FleetDelta>());
    return static_cast<double>(capnp::computeSerializedSizeInWords(message)) * sizeof(capnp::word);
}

void measureDeltas(const Extent &extent, FleetState &state, std::uint64_t index)
{
    printSlope("delta_empty_us", processorUsOf(extent.repeats, [&](int) {
        deltaBytes(state, index);
    }));
    printSlope("delta_empty_bytes", deltaBytes(state, index));
    state.apply(index + 1, applyCommand(state.revision().value, 0, 1));
    printSlope("delta_one_us", processorUsOf(extent.repeats, [&](int) {
        deltaBytes(state, index);
    }));
    printSlope("delta_one_bytes", deltaBytes(state, index));
    printSlope("change_apply_us", processorUsOf(extent.repeats, [&](int i) {
        state.apply(index + 2 + static_cast<std::uint64_t>(i), applyCommand(state.revision().value, i, 1));
    }));
    const std::shared_ptr<const FleetView> view = makeView(state);
    std::shared_ptr<const FleetView> changed;
    printSlope("view_change_us", processorUsOf(extent.repeats / 4, [&](int) {
        changed = updateView(*view, state, state.index() - 1);
    }));
    printSlope("change_command_bytes", static_cast<double>(applyCommand(1, 0, 1).size()));
}

void measureFleetState(const Extent &extent)
{
    FleetState state;
    std::uint64_t index = 0;
    double before = heapBytes();
    state.apply(++index, applyCommand(0, 0, extent.tenants));
    printSlope("tenant_state_bytes", (heapBytes() - before) / extent.tenants);
    before = heapBytes();
    for (int i = 0; i < extent.tenants; ++i) {
        state.apply(++index, keyCommand(i));
    }
    printSlope("key_state_bytes", (heapBytes() - before) / extent.tenants);
    state.apply(++index, leaseCommand(0));
    before = heapBytes();
    for (int i = 1; i < extent.entries; ++i) {
        state.apply(++index, leaseCommand(i));
    }
    printSlope("entry_state_bytes", (heapBytes() - before) / extent.entries);
    printSlope("lease_grant_us", processorUsOf(10, [&](int i) {
        state.apply(++index, leaseCommand(extent.entries + i));
    }));
    before = heapBytes();
    std::shared_ptr<const FleetView> view = makeView(state);
    printSlope("view_tenant_bytes", (heapBytes() - before) / extent.tenants);
    printSlope("view_make_us_per_tenant", processorUsOf(5, [&](int) {
        view = makeView(state);
    }) / extent.tenants);
    view.reset();
    std::string snapshot;
    printSlope("snapshot_us_per_tenant", processorUsOf(5, [&](int) {
        snapshot = state.snapshot();
    }) / extent.tenants);
    printSlope("snapshot_tenant_bytes", static_cast<double>(snapshot.size()) / extent.tenants);
    printSlope("restore_us_per_tenant", processorUsOf(3, [&](int) {
        FleetState copy;
        copy.restore(snapshot);
    }) / extent.tenants);
    measureDeltas(extent, state, index);
}

/** The journal command that ends call @p number of the bench's program. */
std::string endCommand(const std::string &program, unsigned number, std::size_t requestBytes, std::size_t answerBytes)
{
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::JournalCommand>();
    command.setSlot(slotOf(program).value);
    command.setEpoch(1);
    auto end = command.initEnd();
    end.setProgram(program);
    auto call = end.initCall();
    call.setNumber(number);
    call.setDigest(std::string(64, 'd'));
    call.setAttempt(std::string(24, 'a'));
    call.setState(Wire::CallState::ENDED);
    call.setRequest(std::string(requestBytes, 'r'));
    call.setAnswer(std::string(answerBytes, 'w'));
    call.setStatus(200);
    call.setTokens(100);
    call.setEndpoint("10.1.2.3:10000");
    return flatBytes(message);
}

void openSlot(JournalState &journal, const std::string &program)
{
    capnp::MallocMessageBuilder message;
    auto slots = message.initRoot<Wire::JournalCommand>().initOpenSlots(1);
    slots[0].setSlot(slotOf(program).value);
    slots[0].setEpoch(1);
    journal.apply(1, flatBytes(message));
}

std::string createCommand(const std::string &program)
{
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::JournalCommand>();
    command.setSlot(slotOf(program).value);
    command.setEpoch(1);
    auto record = command.initCreate();
    record.setId(program);
    record.setTenant("tenant-1");
    auto budget = record.initBudget();
    budget.setCalls(1'000'000);
    budget.setTokens(1'000'000'000);
    return flatBytes(message);
}

/** Programs without calls. */
void measurePrograms(const Extent &extent)
{
    const int count = extent.tenants;
    JournalState journal;
    const double before = heapBytes();
    for (int i = 0; i < count; ++i) {
        const std::string program = "p-0123456789abcdef" + std::to_string(100000 + i);
        openSlot(journal, program);
        journal.apply(2, createCommand(program));
    }
    printSlope("program_state_bytes", (heapBytes() - before) / count);
}

void measureJournal(const Extent &extent)
{
    constexpr std::size_t LargeText = 64UL * 1024;
    const std::string program = "p-0123456789abcdef0123";
    JournalState journal;
    openSlot(journal, program);
    journal.apply(2, createCommand(program));
    std::uint64_t index = 2;
    unsigned number = 0;
    double before = heapBytes();
    printSlope("journal_apply_us", processorUsOf(extent.repeats, [&](int) {
        journal.apply(++index, endCommand(program, ++number, 0, 0));
    }));
    printSlope("call_state_bytes", (heapBytes() - before) / extent.repeats);
    before = heapBytes();
    for (int i = 0; i < extent.repeats; ++i) {
        journal.apply(++index, endCommand(program, ++number, LargeText, LargeText));
    }
    const double perCall = (heapBytes() - before) / extent.repeats;
    printSlope("history_state_bytes_per_byte", perCall / (2.0 * LargeText));
    printSlope("journal_write_bytes", static_cast<double>(endCommand(program, 1, 0, 0).size()));
    printSlope("journal_write_bytes_per_byte",
        static_cast<double>(endCommand(program, 1, LargeText, LargeText).size()) / (2.0 * LargeText));
    const Testing::TemporaryFolder folder;
    RaftStorage log;
    if (!log.open(folder.path)) {
        return;
    }
    const std::string record = endCommand(program, 1, 400, 1600);
    const auto started = std::chrono::steady_clock::now();
    std::uint64_t written = 0;
    printSlope("log_append_us", processorUsOf(extent.repeats, [&](int) {
        RaftActions actions;
        actions.append.push_back(RaftEntry{1, ++written, RaftEntryKind::Command, record});
        static_cast<void>(log.write({std::move(actions)}));
    }));
    const std::chrono::duration<double, std::micro> wall = std::chrono::steady_clock::now() - started;
    printSlope("log_sync_wall_us", wall.count() / extent.repeats);
}

/** Answers admission questions from buckets, as the owner of the tenants' slots does. */
class BucketPeer final : public Wire::EntryPeer::Server
{
public:
    kj::Promise<void> admit(AdmitContext context) override
    {
        const auto requests = context.getParams().getRequests();
        auto replies = context.getResults().initReplies(requests.size());
        for (unsigned i = 0; i < requests.size(); ++i) {
            this->now += std::chrono::microseconds(1);
            TokenBucket &bucket = this->buckets.try_emplace(textOf(requests[i].getTenant()), this->now).first->second;
            replies[i].setGranted(bucket.take(this->now) ? 1 : 0);
        }
        return kj::READY_NOW;
    }

private:
    Instant now; ///< A clock of its own.
    std::map<std::string, TokenBucket> buckets; ///< By tenant.
};

/** Processor time of both ends for one call that asks for @p batch admissions. */
double admitUs(ControlLoop &loop, Wire::EntryPeer::Client &peer, unsigned batch, int calls)
{
    return processorUsOf(calls, [&](int) {
        auto request = peer.admitRequest();
        auto requests = request.initRequests(batch);
        for (unsigned i = 0; i < batch; ++i) {
            requests[i].setTenant("tenant-" + std::to_string(i));
            requests[i].setRequests(1);
        }
        loop.wait(request.send().ignoreResult());
    });
}

/** Measures connections and admission questions between two ends; @p mark stands behind the slopes' names. */
void measureRpc(const Extent &extent, const std::string &mark)
{
    ControlLoop loop("a secret of this bench", "bench");
    const std::string address = Testing::reserveLoopbackAddresses(1)[0];
    OfferedServices offered{nullptr, kj::heap<BucketPeer>()};
    loop.detach(serveRpc(loop.rpc(), address, kj::mv(offered)));
    RpcLink link(loop.rpc(), address);
    const double connectUs = processorUsOf(extent.repeats / 4, [&](int) {
        link.reset();
        loop.wait(link.services().ignoreResult());
    });
    printSlope("rpc_connect_us_both_ends" + mark, connectUs);
    auto peer = loop.wait(link.services()).peer.castAs<Wire::EntryPeer>();
    admitUs(loop, peer, 1, extent.repeats);
    for (const unsigned batch : {1U, 4U, 16U, 64U}) {
        const double bytes = readAndWrittenBytes(::getpid());
        const std::string name = std::to_string(batch) + mark;
        printSlope("admit_us_both_ends_batch_" + name, admitUs(loop, peer, batch, extent.repeats * 5));
        // Each byte is written at one end and read at the other.
        printSlope(
            "admit_wire_bytes_batch_" + name, (readAndWrittenBytes(::getpid()) - bytes) / 2 / (extent.repeats * 5));
    }
}

/** The same under TLS, as processes with fleet_certificate talk. */
void measureEncryptedRpc(const Extent &extent)
{
    const Testing::TemporaryFolder folder;
    Testing::writeCertificate(folder.path + "/authority", "authority of the bench");
    Testing::writeCertificate(folder.path + "/member", FleetSecurity::FleetServerName, folder.path + "/authority");
    gflags::SetCommandLineOption("fleet_certificate", (folder.path + "/member.crt").c_str());
    gflags::SetCommandLineOption("fleet_key", (folder.path + "/member.key").c_str());
    gflags::SetCommandLineOption("fleet_trust", (folder.path + "/authority.crt").c_str());
    measureRpc(extent, "_tls");
}

const char *const ModelCall = R"({"kind":"model","model":"verse","messages":[{"role":"user","content":"a verse"}]})";

void measureIdle(const Extent &extent, const Testing::ProcessFleet &fleet)
{
    const double seconds = static_cast<double>(extent.idle.count());
    const pid_t entry = fleet.processes.at("entry-0")->pid;
    const pid_t control = fleet.processes.at("control-0")->pid;
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const double entryUs = processorUsOf(entry);
    const double controlUs = processorUsOf(control);
    const double entryBytes = readAndWrittenBytes(entry);
    std::this_thread::sleep_for(extent.idle);
    printSlope("entry_idle_core_percent", (processorUsOf(entry) - entryUs) / seconds / 1e4, extent.judged ? 1.3 : 0);
    printSlope(
        "entry_idle_bytes_per_s", (readAndWrittenBytes(entry) - entryBytes) / seconds, extent.judged ? 16.0 * 1024 : 0);
    printSlope("entry_idle_resident_bytes", residentBytes(entry), extent.judged ? 32.0 * 1024 * 1024 : 0);
    printSlope("control_idle_core_percent_per_entry",
        (processorUsOf(control) - controlUs) / seconds / 1e4 / fleet.options.entries);
    printSlope("control_idle_resident_bytes", residentBytes(control));
}

void measureCalls(const Extent &extent, const Testing::ProcessFleet &fleet)
{
    const pid_t entry = fleet.processes.at("entry-0")->pid;
    const pid_t control = fleet.processes.at("control-0")->pid;
    const double entryUs = processorUsOf(entry);
    const double controlUs = processorUsOf(control);
    int done = 0;
    int asked = 0;
    while (done < extent.calls && asked < extent.calls * 20) {
        const std::string calls = "/v1/programs/" + fleet.createProgram(0) + "/calls/";
        for (int number = 1; number <= 10;) {
            ++asked;
            const Testing::HttpAnswer answer = fleet.ask(0, "POST", calls + std::to_string(number), ModelCall);
            number += answer.status == 200 ? 1 : 0;
            done += answer.status == 200 ? 1 : 0;
            if (answer.status != 200) {
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            }
        }
    }
    printSlope("call_entry_us", (processorUsOf(entry) - entryUs) / done);
    printSlope("call_control_us", (processorUsOf(control) - controlUs) / done);
    printSlope("call_requests_per_call", static_cast<double>(asked) / done);
}

/** Memory of an open connection, with the thread that POCO's server keeps for it. */
void measureConnections(const Extent &extent, const Testing::ProcessFleet &fleet)
{
    const pid_t entry = fleet.processes.at("entry-0")->pid;
    const double before = residentBytes(entry);
    std::vector<std::unique_ptr<Poco::Net::HTTPClientSession>> sessions;
    for (int i = 0; i < extent.connections; ++i) {
        sessions.push_back(
            std::make_unique<Poco::Net::HTTPClientSession>(Poco::Net::SocketAddress(fleet.entryAddresses[0])));
        sessions.back()->setKeepAlive(true);
        Poco::Net::HTTPRequest request("GET", "/healthz", Poco::Net::HTTPMessage::HTTP_1_1);
        sessions.back()->sendRequest(request);
        Poco::Net::HTTPResponse response;
        sessions.back()->receiveResponse(response).ignore(1024);
    }
    printSlope("connection_resident_bytes", (residentBytes(entry) - before) / extent.connections);
}

/** What one reading of the platform's list costs for each endpoint in it. */
void measureInstanceList()
{
    constexpr int Endpoints = 1000;
    const Testing::TemporaryFolder folder;
    const std::string address = Testing::reserveLoopbackAddresses(1)[0];
    std::string endpoints;
    for (int i = 0; i < Endpoints; ++i) {
        endpoints += (i == 0 ? "" : ",") + ("10.1.2.3:" + std::to_string(10000 + i)) + "/engine/verse/dc1";
    }
    const Testing::ChildProcess platform("chestnuthook-fakes",
        {"platform", "--listen=" + address, "--endpoints=" + endpoints, "--list_lag_ms=0"}, folder.path + "/log");
    Testing::waitUntil([&]() {
        return fetchInstances(address).has_value();
    });
    printSlope("list_bytes_per_endpoint",
        static_cast<double>(Testing::http(address, "GET", "/v1/instances").body.size()) / Endpoints);
    printSlope("list_us_per_endpoint", processorUsOf(10, [&](int) {
        static_cast<void>(fetchInstances(address));
    }) / Endpoints);
}

void measureProcesses(const Extent &extent)
{
    measureInstanceList();
    Testing::FleetOptions size;
    size.entries = 2;
    Testing::ProcessFleet fleet(size);
    measureIdle(extent, fleet);
    measureCalls(extent, fleet);
    measureConnections(extent, fleet);
}

} // namespace

int main(int argc, char **argv)
{
    Extent extent;
    if (argc > 1 && std::strcmp(argv[1], "--smoke") == 0) {
        extent = Extent{.tenants = 500,
            .entries = 20,
            .repeats = 20,
            .calls = 10,
            .connections = 10,
            .idle = std::chrono::seconds(1),
            .judged = false};
    }
    measureFleetState(extent);
    measurePrograms(extent);
    measureJournal(extent);
    measureRpc(extent, "");
    measureEncryptedRpc(extent);
    measureProcesses(extent);
    return 0;
}
