/** @file entry_daemon_base.cpp  Wires an entry's parts together. */
#include "entry/entry_daemon_base.h"

#include <chrono>
#include <utility>

#include "entry/entry_peer_base.h"
#include "observe/log_func.h"

namespace Chestnuthook
{

namespace
{

constexpr auto ListPollPeriod = std::chrono::milliseconds(300);

/** How long callers go on using an address that the directory gave them. */
constexpr Duration DirectoryPeriod = std::chrono::milliseconds(2500);

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
    , programs(this->follower, this->client)
    , context(this->loop, this->follower, this->programs)
    , server(this->context)
{
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
    std::vector<ChildSpecification> table;
    table.push_back({.name = "endpoint-list",
        .start =
            [this]() {
                this->startListPoll();
                return Result<void>();
            },
        .stop =
            [this]() {
                this->stopListPoll();
            },
        .ready = {}});
    table.push_back({.name = "fleet",
        .start =
            [this]() {
                this->follower.onDrainOrdered = [this]() {
                    this->beginDrain();
                };
                this->follower.start();
                return Result<void>();
            },
        .stop =
            [this]() {
                this->follower.stop();
            },
        .ready = {}});
    table.push_back({.name = "programs",
        .start =
            [this]() {
                this->follower.onChange = [this]() {
                    this->programs.updateSlots();
                    this->context.admission.client.onViewChange();
                    this->context.dispatch.broker.onViewChange();
                };
                return Result<void>();
            },
        .stop =
            [this]() {
                this->follower.onChange = {};
            },
        .ready =
            [this]() {
                return this->programs.ready();
            }});
    table.push_back({.name = "peers",
        .start =
            [this]() {
                OfferedServices services{nullptr, kj::heap<EntryPeerServer>(this->context)};
                this->loop.detach(
                    serveRpc(this->loop.rpc(), this->settings.rpcAddress, kj::mv(services))
                        .catch_([this](kj::Exception &&exception) {
                            this->fault = Error{ErrorKind::AddressInUse, exception.getDescription().cStr(), Ran::No, 0};
                            this->loop.stop();
                        }));
                return Result<void>();
            },
        .stop = {},
        .ready = {}});
    table.push_back({.name = "callers",
        .start =
            [this]() {
                return this->server.start(this->settings.address, this->settings.callers);
            },
        .stop = {},
        .ready = {}});
    return table;
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

void EntryDaemon::startListPoll()
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
}

void EntryDaemon::stopListPoll()
{
    this->polling = false;
    if (this->listThread.joinable()) {
        this->listThread.join();
    }
}

void EntryDaemon::beginDrain()
{
    if (this->context.draining) {
        return;
    }
    logEvent(EventKind::DrainStarted, {});
    this->context.draining = true;
    this->follower.drain();
    this->stopThread = std::thread([this]() {
        std::this_thread::sleep_for(DirectoryPeriod);
        this->server.stop();
        logEvent(EventKind::DrainFinished, {});
        this->loop.call([this]() {
            this->loop.stop();
        });
    });
}

} // namespace Chestnuthook
