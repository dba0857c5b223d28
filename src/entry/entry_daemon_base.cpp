/** @file entry_daemon_base.cpp  Connects the components of an entry. */
#include "entry/entry_daemon_base.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include "endpoint/http_attempt_func.h"
#include "entry/entry_peer_base.h"
#include "observe/log_func.h"

namespace Chestnuthook
{

namespace
{

constexpr auto ListPollInterval = std::chrono::milliseconds(300);
constexpr Duration ListFetchTimeout = std::chrono::seconds(3);

/** How long clients may go on using an address that the entry directory returned. */
constexpr Duration DirectoryMaxAge = std::chrono::milliseconds(2500);

/** Longer than the deadline of any call, so that only work that hangs in the process itself is cut off. */
constexpr auto MaxDrainTime = std::chrono::seconds(120);
constexpr auto DrainCheckInterval = std::chrono::milliseconds(50);

constexpr Duration DeadlineCheckInterval = std::chrono::milliseconds(50);
constexpr std::int64_t ReleaseTimeoutMs = 2000;
constexpr auto ReleaseRetryInterval = std::chrono::milliseconds(500);

EntryRecord entryRecordOf(const EntrySettings &settings)
{
    return EntryRecord{
        settings.id, Epoch{}, settings.address, settings.rpcAddress, settings.dataCentre, EntryState::Live};
}

} // namespace

EntryDaemon::EntryDaemon(EntrySettings initialSettings)
    : settings(std::move(initialSettings))
    , loop(this->settings.secret, this->settings.id.text)
    , client(this->loop.rpc(), this->settings.controls)
    , follower(this->client, this->loop.timers(), entryRecordOf(this->settings))
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
    if (this->drainThread.joinable()) {
        this->drainThread.join();
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
        makeChildSpecification("peers", *this, &Daemon::startPeerServer),
        makeChildSpecification("callers", *this, &Daemon::startClientPort),
    };
}

Result<void> EntryDaemon::startFleet()
{
    this->follower.onDrainRequested = [this]() {
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
    this->deadlineTimer = this->loop.timers().every(DeadlineCheckInterval, [this]() {
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

Result<void> EntryDaemon::startPeerServer()
{
    OfferedServices services{nullptr, kj::heap<EntryPeerServer>(this->context)};
    auto port = serveRpc(this->loop.rpc(), this->settings.rpcAddress, kj::mv(services));
    this->loop.detach(port.catch_([this](kj::Exception &&exception) {
        this->fatalError = Error{ErrorKind::AddressInUse, exception.getDescription().cStr(), Ran::No, 0};
        this->loop.stop();
    }));
    return {};
}

Result<void> EntryDaemon::startClientPort()
{
    return this->server.start(this->settings.address, this->settings.clientPort);
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
    if (this->fatalError) {
        return tl::unexpected(*this->fatalError);
    }
    return {};
}

Result<void> EntryDaemon::startListPoll()
{
    this->polling = true;
    this->listPollThread = std::thread([this]() {
        while (this->polling) {
            const auto cancel = this->context.deadlines.makeToken(this->loop.timers().now() + ListFetchTimeout);
            if (!this->polling) {
                return; // stopListPoll() may have expired all tokens before this one was made.
            }
            if (auto list = fetchEndpointList(this->settings.platform, *cancel)) {
                this->context.dispatch.setEndpoints(std::make_shared<const EndpointList>(std::move(*list)));
            }
            std::this_thread::sleep_for(ListPollInterval);
        }
    });
    return {};
}

void EntryDaemon::stopListPoll()
{
    this->polling = false;
    this->context.deadlines.expire(Instant(std::numeric_limits<std::int64_t>::max()));
    if (this->listPollThread.joinable()) {
        this->listPollThread.join();
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
        const auto cancel =
            this->context.deadlines.makeToken(this->loop.timers().now() + std::chrono::milliseconds(ReleaseTimeoutMs));
        const AttemptOutcome outcome = runServiceAttempt(request, *cancel);
        const auto list = this->context.dispatch.endpoints();
        const bool listed = std::any_of(list->begin(), list->end(), [&](const ListedEndpoint &row) {
            return row.id == endpoint;
        });
        // An endpoint that is neither listed nor reachable has gone, and its cache with it.
        const bool confirmed = (outcome.complete && outcome.status == 200) || (!outcome.sent && !listed);
        if (!confirmed) {
            std::this_thread::sleep_for(ReleaseRetryInterval);
        }
        this->loop.call([&]() {
            return this->programs.onCacheReleased(program, endpoint, confirmed);
        });
    });
    if (!started) {
        this->loop.detach(this->programs.onCacheReleased(program, endpoint, false));
    }
}

void EntryDaemon::beginDrain()
{
    if (this->context.draining) {
        return;
    }
    logEvent(EventKind::DrainStarted, {});
    this->context.draining = true;
    this->loop.detach(this->programs.returnReservedTokens().then([this]() {
        this->follower.drain();
    }));
    this->drainThread = std::thread([this]() {
        this->drain();
    });
}

void EntryDaemon::drain()
{
    std::this_thread::sleep_for(DirectoryMaxAge);
    this->context.refusing = true;
    const auto end = std::chrono::steady_clock::now() + MaxDrainTime;
    bool idle = false;
    while (!idle && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(DrainCheckInterval);
        const std::size_t calls = this->loop.call([this]() {
            return this->programs.runningCallCount();
        });
        idle = calls == 0 && this->context.openRequests == 0;
    }
    this->server.stop(!idle); // Requests may have arrived since the entry was found idle.
    this->context.workers.join();
    logEvent(EventKind::DrainFinished, {});
    this->loop.call([this]() {
        this->loop.stop();
    });
}

} // namespace Chestnuthook
