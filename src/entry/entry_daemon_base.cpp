/** @file entry_daemon_base.cpp  Wires an entry's parts together. */
#include "entry/entry_daemon_base.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "endpoint/http_attempt_func.h"
#include "entry/entry_peer_base.h"
#include "observe/log_func.h"

namespace Chestnuthook
{

namespace
{

constexpr auto ListPollPeriod = std::chrono::milliseconds(300);

/** How long callers go on using an address that the directory gave them. */
constexpr Duration DirectoryPeriod = std::chrono::milliseconds(2500);

/** A call's own deadline is shorter, so this ends only what hangs in the process itself. */
constexpr auto LongestDrain = std::chrono::seconds(120);
constexpr auto DrainLookPeriod = std::chrono::milliseconds(50);

constexpr Duration DeadlinePeriod = std::chrono::milliseconds(50);
constexpr std::int64_t ReleaseTimeoutMs = 2000;
constexpr auto ReleaseRetryPeriod = std::chrono::milliseconds(500);

EntryRecord recordOf(const EntrySettings &settings)
{
    return EntryRecord{
        settings.id, Epoch{}, settings.address, settings.rpcAddress, settings.dataCentre, EntryState::Live};
}

} // namespace

EntryDaemon::EntryDaemon(EntrySettings given)
    : settings(std::move(given))
    , loop(this->settings.secret, this->settings.id.text)
    , client(this->loop.rpc(), this->settings.controls)
    , follower(this->client, this->loop.timers(), recordOf(this->settings))
    , peers(this->loop.rpc())
    , programs(this->follower, this->client, this->peers, this->loop.kjTimer())
    , quarantine(this->follower, this->client, this->peers, this->loop.kjTimer())
    , context(this->loop, this->follower, this->programs, this->peers, this->quarantine)
    , server(this->context)
{
    this->context.self = this->settings.id;
    this->context.dataCentre = this->settings.dataCentre;
}

EntryDaemon::~EntryDaemon()
{
    this->stopListPoll();
    if (this->stopThread.joinable()) {
        this->stopThread.join();
    }
}

std::vector<ChildSpecification> EntryDaemon::children()
{
    using Daemon = EntryDaemon;
    return {
        makeChildSpecification("endpoint-list", *this, &Daemon::startListPoll, &Daemon::stopListPoll),
        makeChildSpecification("fleet", *this, &Daemon::startFleet, &Daemon::stopFleet),
        makeChildSpecification(
            "programs", *this, &Daemon::startPrograms, &Daemon::stopPrograms, &Daemon::programsReady),
        makeChildSpecification("peers", *this, &Daemon::startPeers),
        makeChildSpecification("callers", *this, &Daemon::startCallers),
    };
}

Result<void> EntryDaemon::startFleet()
{
    this->follower.onDrainOrdered = [this]() {
        this->beginDrain();
    };
    this->follower.start();
    return {};
}

void EntryDaemon::stopFleet()
{
    this->follower.stop();
}

Result<void> EntryDaemon::startPrograms()
{
    this->follower.onChange = [this]() {
        this->programs.updateSlots();
        this->context.admission.client.onViewChange();
        this->context.dispatch.broker.onViewChange();
    };
    this->programs.releaseCache = [this](const ProgramId &program, const EndpointId &endpoint) {
        this->releaseCache(program, endpoint);
    };
    this->programs.start(this->loop.timers());
    this->deadlineTimer = this->loop.timers().every(DeadlinePeriod, [this]() {
        this->context.deadlines.expire(this->loop.timers().now());
    });
    return {};
}

void EntryDaemon::stopPrograms()
{
    this->follower.onChange = {};
    this->programs.stop();
    this->deadlineTimer.cancel();
}

Result<void> EntryDaemon::programsReady() const
{
    return this->programs.ready();
}

Result<void> EntryDaemon::startPeers()
{
    OfferedServices services{nullptr, kj::heap<EntryPeerServer>(this->context)};
    auto port = serveRpc(this->loop.rpc(), this->settings.rpcAddress, kj::mv(services));
    this->loop.detach(port.catch_([this](kj::Exception &&exception) {
        this->fault = Error{ErrorKind::AddressInUse, exception.getDescription().cStr(), Ran::No, 0};
        this->loop.stop();
    }));
    return {};
}

Result<void> EntryDaemon::startCallers()
{
    return this->server.start(this->settings.address, this->settings.callers);
}

Result<void> EntryDaemon::run()
{
    Supervisor root("entry", RestartStrategy::RestForOne, {}, this->loop.timers(), this->children());
    this->context.root = &root;
    Result<void> started = root.start();
    if (!started) {
        return started;
    }
    this->loop.onTerminate([this]() {
        this->beginDrain();
    });
    logEvent(EventKind::ProcessStarted, {{"listen", this->settings.address}, {"entry", this->settings.id.text}});
    this->loop.run();
    root.stop();
    if (this->fault) {
        return tl::unexpected(*this->fault);
    }
    return {};
}

Result<void> EntryDaemon::startListPoll()
{
    this->polling = true;
    this->listThread = std::thread([this]() {
        while (this->polling) {
            if (auto list = fetchInstances(this->settings.platform)) {
                this->context.dispatch.setEndpoints(std::make_shared<const EndpointList>(std::move(*list)));
            }
            std::this_thread::sleep_for(ListPollPeriod);
        }
    });
    return {};
}

void EntryDaemon::stopListPoll()
{
    this->polling = false;
    if (this->listThread.joinable()) {
        this->listThread.join();
    }
}

void EntryDaemon::releaseCache(const ProgramId &program, const EndpointId &endpoint)
{
    const Result<void> started = this->context.workers.run([this, program, endpoint]() {
        AttemptRequest request;
        request.attempt = AttemptId{"release-" + program.text};
        request.program = program;
        request.address = endpoint.text;
        request.method = "POST";
        request.path = "/v1/cache/release";
        request.contentType = "application/json";
        request.body = R"({"program":)" + jsonQuoted(program.text) + "}";
        request.timeoutMs = ReleaseTimeoutMs;
        CancelToken cancel;
        const AttemptOutcome outcome = runServiceAttempt(request, cancel);
        const auto list = this->context.dispatch.endpoints();
        const bool listed = std::any_of(list->begin(), list->end(), [&](const ListedEndpoint &row) {
            return row.id == endpoint;
        });
        // What is neither listed nor reachable holds no memory any more.
        const bool confirmed = (outcome.complete && outcome.status == 200) || (!outcome.sent && !listed);
        if (!confirmed) {
            std::this_thread::sleep_for(ReleaseRetryPeriod);
        }
        this->loop.call([&]() {
            return this->programs.released(program, endpoint, confirmed);
        });
    });
    if (!started) {
        this->loop.detach(this->programs.released(program, endpoint, false));
    }
}

void EntryDaemon::beginDrain()
{
    if (this->context.draining) {
        return;
    }
    logEvent(EventKind::DrainStarted, {});
    this->context.draining = true;
    this->loop.detach(this->programs.returnBlocks().then([this]() {
        this->follower.drain();
    }));
    this->stopThread = std::thread([this]() {
        this->drain();
    });
}

void EntryDaemon::drain()
{
    std::this_thread::sleep_for(DirectoryPeriod);
    const auto end = std::chrono::steady_clock::now() + LongestDrain;
    bool idle = false;
    while (!idle && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(DrainLookPeriod);
        const std::size_t calls = this->loop.call([this]() {
            return this->programs.runningCalls();
        });
        idle = calls == 0 && this->context.openRequests == 0;
    }
    this->server.stop();
    this->context.workers.join();
    logEvent(EventKind::DrainFinished, {});
    this->loop.call([this]() {
        this->loop.stop();
    });
}

} // namespace Chestnuthook
