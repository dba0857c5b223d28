/** @file history_member_base.h  A history member: serves its table to gateways, syncs records before it acknowledges
 * them, and copies the records of the current members when it joins. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <kj/async.h>

#include "deployment/deployment_watcher_base.h"
#include "history/history_log_thread_base.h"
#include "history/history_table_base.h"
#include "history/stream_origin_table_base.h"
#include "history/stream_progress_table_base.h"
#include "observe/log_func.h"
#include "rpc/control_loop_base.h"
#include "rpc/history.capnp.h"

namespace Chestnuthook
{

/** What tests set otherwise. */
struct HistoryMemberSettings
{
    std::function<std::int64_t()> wallMs = wallMsNow; ///< Milliseconds since 1970; called once.
    std::uint64_t segmentBytes = HistoryLog::SegmentBytes; ///< Size at which a segment of the log is closed.
    /** How long the log keeps the record of the highest seen view, in milliseconds; it is renewed before. Segments are
     * deleted in order, so each stays at least this long. */
    std::uint64_t viewTtlMs = 60000;
    std::size_t cacheBytes = 32U << 20U; ///< Size of the turns that are kept in memory besides the log.
    std::size_t maxIndexBytes = 64U << 20U; ///< Size of the index from which on new programs are refused.
    std::uint64_t maxLogBytes = 1ULL << 40U; ///< Size of the log from which on new programs are refused.
    std::size_t fullIndexBytes = 96U << 20U; ///< Size of the index from which on all turns are refused.
    std::uint64_t fullLogBytes = 1ULL << 41U; ///< Size of the log from which on all turns are refused.
};

/** How much room a history member has. */
enum class HistoryRoom : std::uint8_t {
    Free, ///< All turns are stored.
    Scarce, ///< Only turns of programs that have begun are stored.
    None, ///< No turn is stored any more.
};

/** Used by the control thread only. */
class HistoryMemberDaemon
{
public:
    HistoryMemberDaemon(ControlLoop &loop, DeploymentWatcher &watcher, FileSystem &files = localFileSystem(),
        const HistoryMemberSettings &settings = {});

    /** Errors: StorageFailed, StorageCorrupt. */
    [[nodiscard]] Result<void> open(const std::string &folder, const std::string &name);
    void start();
    /** Must be called after each update of the watcher. Starts the copy when this member joins. */
    void onViewChanged();

    [[nodiscard]] Wire::HistoryStore::Client makeService();
    [[nodiscard]] const std::string &identity() const
    {
        return this->ownIdentity;
    }
    /** Version of the view for which the copy is complete; 0 for none. */
    [[nodiscard]] std::uint64_t copiedView() const
    {
        return this->copiedVersion;
    }
    /** Called with the error when the data folder can't be written any more. */
    std::function<void(const Error &)> onStorageFailed;

    // For the HistoryStore service.
    /** Whether a call addressed to @p calledIdentity under view version @p view may be served. Records a newer version,
     * after which calls under older ones are rejected. */
    [[nodiscard]] Wire::HistoryStatus checkCall(const std::string &calledIdentity, std::uint64_t view);
    /** How much room memory and disk leave. What is stored stays in any case. */
    [[nodiscard]] HistoryRoom room() const;
    /** Adds a record that changes the table; a record that is stored already is ignored. */
    void addRecord(HistoryRecord record);
    /** A turn that @p records continue and that this member lacks; empty for none. */
    [[nodiscard]] std::string missingTurn(const std::vector<HistoryRecord> &records) const;
    /** Resolves once all records added so far are durable. */
    [[nodiscard]] kj::Promise<void> whenSynced();
    /** Resolves once the highest seen view is durable. */
    [[nodiscard]] kj::Promise<void> whenViewSynced();
    void addStreamOrigin(const StreamKey &stream, const StreamOrigin &origin, Duration ttl);
    [[nodiscard]] std::optional<StreamOrigin> findStreamOrigin(const StreamKey &stream) const;

    [[nodiscard]] Instant now() const
    {
        return this->loop.timers().now();
    }

    HistoryTable table; ///< Index of the records in the log.
    StreamProgressTable streams; ///< Not durable, like the origins of streams.
    const std::uint64_t startId; ///< Random; tells the positions of `table` from those of an earlier process.

private:
    /** How far the copy from one member has come. */
    struct CopyProgress
    {
        std::uint64_t position = 0; ///< Position of the next record; 0 in the first call.
        std::optional<std::uint64_t> end; ///< Position at which the copy ends; empty in the first call.
        std::uint64_t start = 0; ///< `startId` of the process whose positions these are; 0 for older builds.
    };

    kj::Promise<void> copyFromCurrentMembers(std::uint64_t version);
    /** Copies the records of @p from that follow @p progress. */
    kj::Promise<void> copyFromMember(HistoryMember from, std::uint64_t version, CopyProgress progress);
    /** Records that are written together. */
    struct Batch
    {
        std::uint64_t number = 0; ///< Increases with each batch.
        kj::ForkedPromise<void> durable; ///< Resolves when the records are durable.
        kj::Own<kj::PromiseFulfiller<void>> fulfiller; ///< Resolves `durable`.
    };

    /** Applies the records of the log. If they are more than this member may hold, those that had expired when the last
     * record was written are left out. Errors: StorageFailed, StorageCorrupt. */
    [[nodiscard]] Result<void> readLog(const std::string &folder);
    /** Adds a record of the table to the log. */
    void logRecord(const HistoryRecord &record);
    /** Reads a turn from the log. Errors: StorageFailed, StorageCorrupt. */
    [[nodiscard]] Result<KeptTurn> readTurn(const RecordLocation &location) const;
    /** Passes the collected records to the log. */
    void writeCollected();
    /** Deletes expired records. Records that are kept for longer than the log holds them are appended again first. */
    void expire();
    /** Appends the next records that must be renewed by @p beforeMs, and after the last one deletes what expired before
     * @p nowMs from the log. */
    void renew(std::uint64_t beforeMs, std::uint64_t nowMs);
    void handleProgress(const HistoryLogThread::Progress &progress);
    /** Resolves once all batches up to @p number are durable. */
    [[nodiscard]] kj::Promise<void> whenBatchSynced(std::uint64_t number);

    ControlLoop &loop; ///< Must outlive this object.
    DeploymentWatcher &watcher; ///< Must outlive this object.
    FileSystem &files; ///< Must outlive this object.
    /** Milliseconds since 1970 by the wall clock at the start and the steady clock since then, which has no steps. */
    [[nodiscard]] std::uint64_t nowMs() const;
    /** Sets the expiry of @p record by the clock of this member, if the record tells how long it is to be kept. The
     * clocks of other machines, and of earlier processes, may differ from it by any time. */
    void setOwnExpiry(HistoryRecord &record) const;

    /** When the log may delete @p record, by `nowMs`. */
    [[nodiscard]] std::uint64_t expiryMsOf(const HistoryRecord &record) const;

    const std::int64_t startWallMs; ///< Wall clock at the start.
    const Instant startTime; ///< Steady clock at the start.
    std::string ownIdentity; ///< Identity of the data folder.
    StreamOriginTable streamOrigins; ///< Not durable: clients resume a stream within seconds.
    HistoryLog log; ///< Durable copy of `table`; written by `logThread` after `open`.
    std::uint64_t logBytes = 0; ///< Size of the log.
    const std::size_t maxIndexBytes; ///< See HistoryMemberSettings.
    const std::uint64_t maxLogBytes; ///< See HistoryMemberSettings.
    const std::size_t fullIndexBytes; ///< See HistoryMemberSettings.
    const std::uint64_t fullLogBytes; ///< See HistoryMemberSettings.
    bool isRenewing = false; ///< Records are being renewed; see `renew`.
    std::vector<HistoryLogThread::LogRecord> collected; ///< Records of the last batch until they are written.
    std::deque<Batch> batches; ///< Batches that are not durable yet, oldest first.
    std::uint64_t lastBatch = 0; ///< Number of the newest batch.
    const std::uint64_t viewTtlMs; ///< See HistoryMemberSettings.
    std::uint64_t viewLoggedMs = 0; ///< Latest expiry of the records of the highest seen view in the log.
    std::uint64_t viewBatch =
        0; ///< Number of the first batch with the highest seen view; 0 if it was read at the start.
    std::uint64_t viewInBatch = 0; ///< Version of the view in `viewBatch`.
    std::unique_ptr<HistoryLogThread> logThread; ///< Writes the log; set by `start`.
    std::uint64_t copiedVersion = 0; ///< Version of the view for which the copy is complete.
    std::uint64_t copyingVersion = 0; ///< Version of the view for which a copy is running; 0 for none.
    std::set<std::string> copiedFrom; ///< Identities of the members copied from, for `copyingVersion`.
    TimerSubscription expiryTimer; ///< Deletes expired records.
};

} // namespace Chestnuthook
