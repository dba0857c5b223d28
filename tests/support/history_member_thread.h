/** @file history_member_thread.h  A history member on a thread of the test, and a client of such members. */
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "history/history_client_base.h"
#include "history/history_member_base.h"
#include "support/simulated_file_system.h"

namespace Chestnuthook::Testing
{

class HistoryMemberThread
{
public:
    explicit HistoryMemberThread(std::string name);
    ~HistoryMemberThread();
    HistoryMemberThread(const HistoryMemberThread &) = delete;
    HistoryMemberThread &operator=(const HistoryMemberThread &) = delete;

    /** Starts the member; fails the test if its storage can't be opened. */
    void start();
    void stop();
    /** Runs @p function on the member's thread and waits for its end. */
    void call(const std::function<void(HistoryMemberDaemon &)> &function) const;
    /** Shows the member a view of the history. */
    void setView(const HistoryView &view);

    static constexpr const char *Folder = "/var/lib/history"; ///< Its data folder.

    SimulatedFileSystem files; ///< Its storage.
    std::atomic<std::int64_t> clockOffsetMs = 0; ///< How far its wall clock is ahead.
    std::uint64_t segmentBytes = HistoryLog::SegmentBytes; ///< Size at which a segment of its log is closed.
    std::uint64_t viewTtlMs = HistoryMemberSettings().viewTtlMs; ///< See HistoryMemberSettings.
    std::size_t cacheBytes = HistoryMemberSettings().cacheBytes; ///< See HistoryMemberSettings.
    std::size_t maxIndexBytes = HistoryMemberSettings().maxIndexBytes; ///< See HistoryMemberSettings.
    std::uint64_t maxLogBytes = HistoryMemberSettings().maxLogBytes; ///< See HistoryMemberSettings.
    std::size_t fullIndexBytes = HistoryMemberSettings().fullIndexBytes; ///< See HistoryMemberSettings.
    const std::string name; ///< Its name.
    const std::string address; ///< Its RPC address.
    HistoryMember info; ///< As it appears in a view.

private:
    /** What runs on the thread. */
    struct Running;

    void run(std::promise<std::string> &identity);

    Running *running = nullptr; ///< Set while the thread runs.
    std::thread thread; ///< Runs the member.
};

/** A history client on the calling thread, of which there may be one at a time. */
class HistoryTestClient
{
public:
    explicit HistoryTestClient(HistoryView view);

    /** Calls @p body on a fiber and waits for its result. */
    template<typename Body>
    auto runFiber(Body body)
    {
        auto result =
            this->loop.wait(kj::startFiber(StackBytes, [body = std::move(body)](kj::WaitScope &scope) mutable {
                return std::make_unique<decltype(body(scope))>(body(scope));
            }));
        return std::move(*result);
    }
    [[nodiscard]] bool write(const KeptTurn &turn, Duration patience);
    /** Whether a turn can continue @p turn. */
    [[nodiscard]] bool isKept(const std::string &turn, Duration patience);
    [[nodiscard]] Instant now()
    {
        return this->loop.timers().now();
    }

    static constexpr std::size_t StackBytes = 256U << 10U;

    ControlLoop loop; ///< Loop of the client.
    DeploymentWatcher watcher; ///< Holds the view; not started.
    HistoryClient client; ///< The client under test.
};

/** A turn that is kept for a minute. */
[[nodiscard]] KeptTurn testTurn(const std::string &id, const std::string &previous = {});

} // namespace Chestnuthook::Testing
