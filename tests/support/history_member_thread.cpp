/** @file history_member_thread.cpp  Runs members and clients of the history in threads. */
#include "support/history_member_thread.h"

#include <stdexcept>
#include <utility>

#include "observe/log_func.h"
#include "support/process_fleet.h"

namespace Chestnuthook::Testing
{

namespace
{

constexpr const char *Secret = "a secret of the fleet for tests";
constexpr std::uint64_t KeepMs = 60000;
constexpr const char *Customer = "glue";

} // namespace

struct HistoryMemberThread::Running
{
    ControlLoop &loop; ///< Loop of the thread.
    DeploymentWatcher &watcher; ///< Not started; its view is set by the test.
    HistoryMemberDaemon &daemon; ///< The member.
};

HistoryMemberThread::HistoryMemberThread(std::string name)
    : name(std::move(name))
    , address(reserveAddress("127.0.0.1"))
{
}

HistoryMemberThread::~HistoryMemberThread()
{
    this->files.syncTime = std::chrono::milliseconds(0);
    this->stop();
}

void HistoryMemberThread::start()
{
    std::promise<std::string> identity;
    auto opened = identity.get_future();
    this->thread = std::thread([this, &identity]() {
        this->run(identity);
    });
    this->info = HistoryMember{opened.get(), this->name, this->address};
}

void HistoryMemberThread::run(std::promise<std::string> &identity)
{
    ControlLoop loop(Secret, this->name);
    DeploymentWatcher watcher(loop, {});
    watcher.describeSelf = []() {
        return InstanceInfo();
    };
    HistoryMemberSettings settings;
    settings.wallMs = [this]() {
        return wallMsNow() + this->clockOffsetMs;
    };
    settings.segmentBytes = this->segmentBytes;
    settings.viewTtlMs = this->viewTtlMs;
    settings.cacheBytes = this->cacheBytes;
    settings.maxIndexBytes = this->maxIndexBytes;
    settings.maxLogBytes = this->maxLogBytes;
    settings.fullIndexBytes = this->fullIndexBytes;
    HistoryMemberDaemon daemon(loop, watcher, this->files, settings);
    const Result<void> opened = daemon.open(Folder, this->name);
    if (!opened) {
        identity.set_exception(std::make_exception_ptr(std::runtime_error(opened.error().what)));
        return;
    }
    daemon.onStorageFailed = [this](const Error &error) {
        if (!this->files.hasFailed()) {
            throw std::runtime_error(error.what);
        }
    };
    daemon.start();
    loop.detach(serveRpc(loop.rpc(), this->address, OfferedServices{nullptr, daemon.makeService(), nullptr}));
    Running state{loop, watcher, daemon};
    this->running = &state;
    identity.set_value(daemon.identity());
    loop.run();
}

void HistoryMemberThread::stop()
{
    if (this->running != nullptr) {
        Running &state = *std::exchange(this->running, nullptr);
        state.loop.call([&state]() {
            state.loop.stop();
        });
    }
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void HistoryMemberThread::call(const std::function<void(HistoryMemberDaemon &)> &function) const
{
    this->running->loop.call([this, &function]() {
        function(this->running->daemon);
    });
}

void HistoryMemberThread::setView(const HistoryView &view)
{
    this->call([this, &view](HistoryMemberDaemon &daemon) {
        this->running->watcher.view.history = view;
        daemon.onViewChanged();
    });
}

HistoryTestClient::HistoryTestClient(HistoryView view)
    : loop(Secret, "client")
    , watcher(this->loop, {})
    , client(this->loop, this->watcher, "z")
{
    this->watcher.view.history = std::move(view);
    this->watcher.describeSelf = []() {
        return InstanceInfo();
    };
}

bool HistoryTestClient::write(const KeptTurn &turn, Duration patience)
{
    return this->runFiber([this, &turn, patience](kj::WaitScope &scope) {
        return this->client.write(scope, {turn}, {}, this->now() + patience).has_value();
    });
}

bool HistoryTestClient::isKept(const std::string &turn, Duration patience)
{
    return this->runFiber([this, &turn, patience](kj::WaitScope &scope) {
        return this->client.begin(scope, TurnStart{{}, 0, turn, Customer}, this->now() + patience).has_value();
    });
}

KeptTurn testTurn(const std::string &id, const std::string &previous)
{
    return {id, previous, Customer, "in", "out\n", static_cast<std::uint64_t>(wallMsNow()) + KeepMs, KeepMs};
}

} // namespace Chestnuthook::Testing
