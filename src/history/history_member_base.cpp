/** @file history_member_base.cpp  RPC service, group sync and catch-up copy of a history member. */
#include "history/history_member_base.h"

#include <algorithm>
#include <utility>

#include "consensus/raft_storage_base.h"
#include "core/hash_func.h"
#include "history/record_id_func.h"
#include "history/stream_message_func.h"
#include "observe/log_func.h"
#include "rpc/message_func.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

constexpr Duration ExpiryInterval = std::chrono::seconds(5);
/** Records are renewed in the log this long before they expire there, in milliseconds; longer than ExpiryInterval. */
constexpr std::uint64_t RenewalMarginMs = 10000;
/** Approximate size of the turns that are renewed at once, in bytes. */
constexpr std::size_t RenewalBytes = 1U << 20U;
constexpr auto CopyTimeout = 1 * kj::SECONDS;
/** Approximate size of the records in one copy response, in bytes. */
constexpr std::size_t CopyResponseBytes = 256U << 10U;
constexpr auto CopyRetryDelay = 150 * kj::MILLISECONDS;

/** How long a member keeps @p record from its arrival on, in milliseconds; 0 if it isn't known. */
std::uint64_t keepMsOf(const HistoryRecord &record)
{
    if (const auto *turn = std::get_if<KeptTurn>(&record)) {
        return turn->keepMs;
    }
    const auto *claim = std::get_if<ProgramClaim>(&record);
    return claim == nullptr ? 0 : claim->keepMs;
}

std::uint64_t randomStartId()
{
    constexpr std::size_t IdBytes = sizeof(std::uint64_t);
    constexpr int Base = 16;
    return std::stoull(randomHex(IdBytes), nullptr, Base);
}

/** The stream that a call names. */
template<typename Params>
StreamKey streamKeyOf(const Params &params)
{
    return {textOf(params.getStream()), textOf(params.getCustomer())};
}

class HistoryServer final : public Wire::HistoryStore::Server
{
public:
    explicit HistoryServer(HistoryMemberDaemon &member)
        : member(member)
    {
    }

    kj::Promise<void> begin(BeginContext context) override
    {
        const auto params = context.getParams();
        auto results = context.getResults();
        if (!this->isServed(params, results)) {
            return kj::READY_NOW;
        }
        const HistoryRecord record = readRecord(params.getClaim());
        const auto *claim = std::get_if<ProgramClaim>(&record);
        const bool hasClaim = claim != nullptr && !claim->program.empty();
        const bool isNewProgram =
            params.getPrevious().size() == 0 && !(hasClaim && this->member.table.hasClaims(claim->program));
        const HistoryRoom room = this->member.room();
        if (room == HistoryRoom::None || (room == HistoryRoom::Scarce && isNewProgram)) {
            results.setStatus(Wire::HistoryStatus::FULL);
            return kj::READY_NOW;
        }
        if (hasClaim) {
            this->member.addRecord(record);
            writeClaims(results, this->member.table.claimsOf(claim->program), claim->claim.turn);
        }
        if (params.getWithChain()) {
            const TurnChain chain =
                this->member.table.chain(textOf(params.getPrevious()), textOf(params.getCustomer()));
            writeChain(results, chain);
        }
        return this->member.whenSynced();
    }

    kj::Promise<void> write(WriteContext context) override
    {
        const auto params = context.getParams();
        auto results = context.getResults();
        if (!this->isServed(params, results)) {
            return kj::READY_NOW;
        }
        std::vector<HistoryRecord> records;
        for (const auto record : params.getRecords()) {
            records.push_back(readRecord(record));
        }
        for (const HistoryRecord &record : records) {
            this->member.addRecord(record);
        }
        results.setMissing(wireText(this->member.missingTurn(records)));
        return this->member.whenSynced();
    }

    kj::Promise<void> copy(CopyContext context) override
    {
        const auto params = context.getParams();
        auto results = context.getResults();
        if (!this->isServed(params, results)) {
            return kj::READY_NOW;
        }
        std::uint64_t position = params.getPosition();
        const std::uint64_t failedReads = this->member.table.failedReads();
        const auto records = this->member.table.readFrom(position, CopyResponseBytes);
        if (this->member.table.failedReads() != failedReads) {
            results.setStatus(Wire::HistoryStatus::FAILED);
            return kj::READY_NOW;
        }
        auto list = results.initRecords(static_cast<unsigned>(records.size()));
        for (unsigned i = 0; i < records.size(); ++i) {
            writeRecord(list[i], records[i]);
        }
        results.setNext(position);
        results.setDone(records.empty());
        results.setEnd(this->member.table.endPosition());
        results.setStart(this->member.startId);
        return this->member.whenViewSynced(); // The copy counts only under a view that this member remembers.
    }

    kj::Promise<void> chain(ChainContext context) override
    {
        const auto params = context.getParams();
        auto results = context.getResults();
        if (this->isServed(params, results)) {
            writeChain(results, this->member.table.chain(textOf(params.getTurn()), textOf(params.getCustomer())));
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> addStreamOrigin(AddStreamOriginContext context) override
    {
        const auto params = context.getParams();
        this->member.addStreamOrigin({textOf(params.getRequest()), textOf(params.getCustomer())},
            {textOf(params.getService()), textOf(params.getVersion())}, Milliseconds(params.getTtlMs()));
        return kj::READY_NOW;
    }

    kj::Promise<void> findStreamOrigin(FindStreamOriginContext context) override
    {
        const auto params = context.getParams();
        const auto origin = this->member.findStreamOrigin({textOf(params.getRequest()), textOf(params.getCustomer())});
        if (origin) {
            auto results = context.getResults();
            results.setKnown(true);
            results.setService(wireText(origin->service));
            results.setVersion(wireText(origin->version));
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> beginStream(BeginStreamContext context) override
    {
        const auto params = context.getParams();
        context.getResults().setHeld(this->member.streams.begin(this->member.now(), streamKeyOf(params),
            params.getTurn(), params.getMembers(), Milliseconds(params.getTtlMs())));
        return kj::READY_NOW;
    }

    kj::Promise<void> addStreamPieces(AddStreamPiecesContext context) override
    {
        const auto params = context.getParams();
        context.getResults().setHeld(this->member.streams.add(
            streamKeyOf(params), textOf(params.getRequest()), params.getPosition(), readPieces(params.getPieces())));
        return kj::READY_NOW;
    }

    kj::Promise<void> findStream(FindStreamContext context) override
    {
        const auto stream = this->member.streams.find(this->member.now(), streamKeyOf(context.getParams()));
        if (!stream) {
            return kj::READY_NOW;
        }
        auto results = context.getResults();
        results.setKnown(true);
        results.setTurn(stream->turn);
        results.setMembers(stream->members);
        results.setAmbiguous(stream->isAmbiguous);
        auto list = results.initBranches(static_cast<unsigned>(stream->branches.size()));
        unsigned index = 0;
        for (const auto &[request, branch] : stream->branches) {
            writeBranch(list[index++], branch);
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> resumeStream(ResumeStreamContext context) override
    {
        const auto params = context.getParams();
        context.getResults().setHeld(this->member.streams.resume(streamKeyOf(params), readBranch(params.getBranch())));
        return kj::READY_NOW;
    }

    kj::Promise<void> withdrawResumption(WithdrawResumptionContext context) override
    {
        const auto params = context.getParams();
        this->member.streams.withdraw(streamKeyOf(params), textOf(params.getRequest()));
        return kj::READY_NOW;
    }

private:
    /** Sets the response status: whether the call is for this member and its view version is current.
     * @return whether the call is to be served. */
    template<typename Params, typename Results>
    bool isServed(const Params &params, Results &results)
    {
        const auto status = this->member.checkCall(textOf(params.getIdentity()), params.getView());
        results.setStatus(status);
        return status == Wire::HistoryStatus::OK;
    }

    /** @p ownTurn is the id that the caller has sent, which the table may hold in another form. */
    static void writeClaims(Wire::HistoryStore::BeginResults::Builder results, const std::vector<TokenClaim> &claims,
        const std::string &ownTurn)
    {
        const std::string ownIndexed = indexedId(ownTurn);
        auto list = results.initClaims(static_cast<unsigned>(claims.size()));
        for (unsigned i = 0; i < claims.size(); ++i) {
            list[i].setTurn(wireText(claims[i].turn == ownIndexed ? ownTurn : claims[i].turn));
            list[i].setTokens(claims[i].tokens);
            list[i].setSettled(claims[i].settled);
        }
    }

    template<typename Results>
    static void writeChain(Results &results, const TurnChain &chain)
    {
        if (chain.isUnreadable) {
            results.setStatus(Wire::HistoryStatus::FAILED);
        }
        results.setKnown(!chain.turns.empty());
        results.setMissing(wireText(chain.missing));
        auto list = results.initChain(static_cast<unsigned>(chain.turns.size()));
        for (unsigned i = 0; i < chain.turns.size(); ++i) {
            writeTurn(list[i], *chain.turns[i]);
        }
    }

    HistoryMemberDaemon &member; ///< Must outlive this object.
};

} // namespace

HistoryMemberDaemon::HistoryMemberDaemon(
    ControlLoop &loop, DeploymentWatcher &watcher, FileSystem &files, const HistoryMemberSettings &settings)
    : table(
        [this](const RecordLocation &location) {
            return this->readTurn(location);
        },
        settings.cacheBytes)
    , startId(randomStartId())
    , loop(loop)
    , watcher(watcher)
    , files(files)
    , startWallMs(settings.wallMs())
    , startTime(loop.timers().now())
    , log(files, settings.segmentBytes)
    , maxIndexBytes(settings.maxIndexBytes)
    , maxLogBytes(settings.maxLogBytes)
    , fullIndexBytes(settings.fullIndexBytes)
    , fullLogBytes(settings.fullLogBytes)
    , viewTtlMs(settings.viewTtlMs)
{
}

std::uint64_t HistoryMemberDaemon::nowMs() const
{
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(this->loop.timers().now() - this->startTime);
    return static_cast<std::uint64_t>(this->startWallMs + elapsed.count());
}

void HistoryMemberDaemon::setOwnExpiry(HistoryRecord &record) const
{
    if (auto *turn = std::get_if<KeptTurn>(&record); turn != nullptr && turn->keepMs != 0) {
        turn->expiresMs = this->nowMs() + turn->keepMs;
    }
    if (auto *claim = std::get_if<ProgramClaim>(&record); claim != nullptr && claim->keepMs != 0) {
        claim->expiresMs = this->nowMs() + claim->keepMs;
    }
}

std::uint64_t HistoryMemberDaemon::expiryMsOf(const HistoryRecord &record) const
{
    if (const auto *turn = std::get_if<KeptTurn>(&record)) {
        return turn->expiresMs;
    }
    if (const auto *claim = std::get_if<ProgramClaim>(&record)) {
        return claim->expiresMs;
    }
    return this->nowMs() + this->viewTtlMs;
}

Result<void> HistoryMemberDaemon::open(const std::string &folder, const std::string &name)
{
    RaftStorage identityFile(this->files);
    Result<void> done = identityFile.loadOrCreateIdentity(folder, name);
    if (!done) {
        return done;
    }
    this->ownIdentity = identityFile.identity();
    done = this->readLog(folder);
    this->logBytes = this->log.bytes();
    logEvent(EventKind::StorageOpened,
        {{"identity", this->ownIdentity}, {"turns", std::to_string(this->table.turnCount())},
            {"view", std::to_string(this->table.highestSeenView())}});
    return done;
}

HistoryRoom HistoryMemberDaemon::room() const
{
    const std::size_t indexBytes = this->table.indexBytes();
    if (indexBytes > this->fullIndexBytes || this->logBytes > this->fullLogBytes) {
        return HistoryRoom::None;
    }
    const bool isScarce = indexBytes > this->maxIndexBytes || this->logBytes > this->maxLogBytes;
    return isScarce ? HistoryRoom::Scarce : HistoryRoom::Free;
}

Result<void> HistoryMemberDaemon::readLog(const std::string &folder)
{
    std::uint64_t newestMs = 0; // Latest arrival of a record, by the clocks of the processes that wrote the log.
    bool isTooLarge = false;
    const auto visit = [&](std::string_view bytes, const RecordLocation &location, std::uint64_t expiredBeforeMs) {
        HistoryRecord record = decodeRecord(bytes);
        const std::uint64_t keepMs = keepMsOf(record);
        const std::uint64_t loggedExpiryMs = this->expiryMsOf(record);
        newestMs = keepMs == 0 ? newestMs : std::max(newestMs, loggedExpiryMs - std::min(loggedExpiryMs, keepMs));
        this->setOwnExpiry(record);
        isTooLarge = isTooLarge || this->table.indexBytes() > this->fullIndexBytes;
        const bool wasExpired = keepMs != 0 && loggedExpiryMs < expiredBeforeMs;
        const bool isSkipped = isTooLarge && (expiredBeforeMs == 0 || wasExpired);
        if (isSkipped && !std::holds_alternative<SeenView>(record)) {
            return this->expiryMsOf(record);
        }
        this->table.apply(record);
        if (const auto *turn = std::get_if<KeptTurn>(&record)) {
            this->table.place(turn->id, location);
        }
        return this->expiryMsOf(record);
    };
    Result<void> done = this->log.open(folder, [&](std::string_view bytes, const RecordLocation &location) {
        return visit(bytes, location, 0);
    });
    if (!done || !isTooLarge) {
        return done;
    }
    // Segments also hold records that had expired before the process ended, but not those after them.
    logEvent(EventKind::StorageOpened,
        {{"what", "more than memory holds, without expired records"},
            {"turns", std::to_string(this->table.turnCount())}, {"newest", std::to_string(newestMs)}});
    this->table.clear();
    return this->log.forEachRecord([&](std::string_view bytes, const RecordLocation &location) {
        return visit(bytes, location, newestMs);
    });
}

void HistoryMemberDaemon::start()
{
    this->logThread = std::make_unique<HistoryLogThread>(this->log, [this](const HistoryLogThread::Progress &progress) {
        this->handleProgress(progress);
    });
    this->expiryTimer = this->loop.timers().every(ExpiryInterval, [this]() {
        this->expire();
    });
}

void HistoryMemberDaemon::expire()
{
    const std::uint64_t now = this->nowMs();
    this->table.expire(now);
    if (this->table.highestSeenView() != 0 && this->viewLoggedMs < now + RenewalMarginMs) {
        this->logRecord(SeenView{this->table.highestSeenView()});
    }
    if (!std::exchange(this->isRenewing, true)) {
        this->renew(now + RenewalMarginMs, now);
    }
}

void HistoryMemberDaemon::renew(std::uint64_t beforeMs, std::uint64_t nowMs)
{
    const std::uint64_t failedReads = this->table.failedReads();
    const std::vector<KeptTurn> renewals = this->table.takeRenewals(beforeMs, RenewalBytes);
    for (const KeptTurn &turn : renewals) {
        this->logRecord(turn);
    }
    this->writeCollected(); // Before the removal of the segments that hold the earlier records.
    if (this->table.failedReads() != failedReads) {
        logEvent(EventKind::StorageFault, {{"error", "turns to be renewed can't be read"}});
    }
    if (renewals.empty()) {
        this->isRenewing = false;
        this->logThread->removeExpired(nowMs);
        return;
    }
    this->loop.detach(this->whenSynced().then([this, beforeMs, nowMs]() {
        this->renew(beforeMs, nowMs);
    }));
}

Result<KeptTurn> HistoryMemberDaemon::readTurn(const RecordLocation &location) const
{
    const Result<std::string> bytes = this->log.read(location);
    if (!bytes) {
        logEvent(EventKind::StorageFault, {{"error", errorText(bytes.error())}});
        return tl::unexpected(bytes.error());
    }
    HistoryRecord record = decodeRecord(*bytes);
    auto *turn = std::get_if<KeptTurn>(&record);
    if (turn == nullptr) {
        return fail(ErrorKind::StorageCorrupt, "a record of the history log is no turn");
    }
    return std::move(*turn);
}

Wire::HistoryStatus HistoryMemberDaemon::checkCall(const std::string &calledIdentity, std::uint64_t view)
{
    if (calledIdentity != this->ownIdentity) {
        return Wire::HistoryStatus::WRONG_MEMBER;
    }
    if (view < this->table.highestSeenView()) {
        return Wire::HistoryStatus::STALE_VIEW;
    }
    if (view > this->table.highestSeenView()) {
        logEvent(EventKind::MembershipChanged, {{"what", "history view seen"}, {"version", std::to_string(view)}});
        this->addRecord(SeenView{view});
    }
    return Wire::HistoryStatus::OK;
}

void HistoryMemberDaemon::addRecord(HistoryRecord record)
{
    this->setOwnExpiry(record);
    if (auto *claim = std::get_if<ProgramClaim>(&record)) {
        claim->program = indexedId(claim->program);
        claim->claim.turn = indexedId(claim->claim.turn);
    }
    if (this->table.apply(record)) {
        this->logRecord(record);
    }
}

std::string HistoryMemberDaemon::missingTurn(const std::vector<HistoryRecord> &records) const
{
    for (const HistoryRecord &record : records) {
        if (const auto *turn = std::get_if<KeptTurn>(&record)) {
            std::string missing = this->table.missingInChain(turn->id, turn->customer);
            if (!missing.empty()) {
                return missing;
            }
        }
    }
    return {};
}

void HistoryMemberDaemon::logRecord(const HistoryRecord &record)
{
    if (this->collected.empty()) { // One batch takes all records that arrive in this event loop turn.
        auto pair = kj::newPromiseAndFulfiller<void>();
        this->batches.push_back(Batch{++this->lastBatch, pair.promise.fork(), kj::mv(pair.fulfiller)});
        this->loop.detach(kj::evalLater([this]() {
            this->writeCollected();
        }));
    }
    const std::uint64_t expiresMs = this->expiryMsOf(record);
    const auto *turn = std::get_if<KeptTurn>(&record);
    this->collected.push_back({encodeRecord(record), expiresMs, turn == nullptr ? std::string() : indexedId(turn->id)});
    if (const auto *seen = std::get_if<SeenView>(&record)) {
        // A renewal follows the first record of the same view, which is durable by then or in an earlier batch.
        this->viewBatch = seen->version > this->viewInBatch ? this->lastBatch : this->viewBatch;
        this->viewInBatch = seen->version;
        this->viewLoggedMs = expiresMs;
    }
}

void HistoryMemberDaemon::addStreamOrigin(const StreamKey &stream, const StreamOrigin &origin, Duration ttl)
{
    this->streamOrigins.add(this->loop.timers().now(), stream, origin, ttl);
}

std::optional<StreamOrigin> HistoryMemberDaemon::findStreamOrigin(const StreamKey &stream) const
{
    return this->streamOrigins.find(this->loop.timers().now(), stream);
}

void HistoryMemberDaemon::writeCollected()
{
    if (!this->collected.empty()) {
        this->logThread->write(this->lastBatch, std::exchange(this->collected, {}));
    }
}

void HistoryMemberDaemon::handleProgress(const HistoryLogThread::Progress &progress)
{
    for (const HistoryLogThread::PlacedTurn &placed : progress.placed) {
        this->table.place(placed.turn, placed.location);
    }
    this->logBytes = progress.logBytes;
    while (!this->batches.empty() && this->batches.front().number <= progress.syncedBatch) {
        this->batches.front().fulfiller->fulfill();
        this->batches.pop_front();
    }
    if (!progress.outcome) {
        logEvent(EventKind::StorageFault, {{"error", errorText(progress.outcome.error())}});
        for (Batch &batch : this->batches) {
            batch.fulfiller->reject(KJ_EXCEPTION(FAILED, "the history log can't be written"));
        }
        this->onStorageFailed(progress.outcome.error());
    }
}

kj::Promise<void> HistoryMemberDaemon::whenBatchSynced(std::uint64_t number)
{
    const auto first = std::find_if(this->batches.rbegin(), this->batches.rend(), [number](const Batch &batch) {
        return batch.number <= number;
    });
    return first == this->batches.rend() ? kj::Promise<void>(kj::READY_NOW) : first->durable.addBranch();
}

kj::Promise<void> HistoryMemberDaemon::whenSynced()
{
    return this->whenBatchSynced(this->lastBatch);
}

kj::Promise<void> HistoryMemberDaemon::whenViewSynced()
{
    return this->whenBatchSynced(this->viewBatch);
}

void HistoryMemberDaemon::onViewChanged()
{
    const HistoryView &view = this->watcher.view.history;
    const bool joins = view.isChanging() && view.isMember(this->ownIdentity) && !view.isCurrent(this->ownIdentity);
    if (!joins || this->copyingVersion == view.version || this->copiedVersion == view.version) {
        return;
    }
    this->copyingVersion = view.version;
    this->copiedFrom.clear();
    logEvent(EventKind::MembershipChanged, {{"what", "copy begins"}, {"version", std::to_string(view.version)}});
    this->loop.detach(this->copyFromCurrentMembers(view.version));
}

kj::Promise<void> HistoryMemberDaemon::copyFromCurrentMembers(std::uint64_t version)
{
    const HistoryView &view = this->watcher.view.history;
    if (view.version != version) {
        return kj::READY_NOW; // The view has changed; onViewChanged has started a new copy if needed.
    }
    kj::Vector<kj::Promise<void>> copies;
    for (const HistoryMember &member : view.current) {
        if (!this->copiedFrom.contains(member.identity)) {
            copies.add(
                this->copyFromMember(member, version, CopyProgress{})
                    .then([this, identity = member.identity, version]() {
                        if (this->copyingVersion == version) {
                            this->copiedFrom.insert(identity);
                        }
                    })
                    .catch_([address = member.address](kj::Exception &&exception) {
                        logEvent(EventKind::PeerLost,
                            {{"peer", address}, {"role", "history"}, {"error", exception.getDescription().cStr()}});
                    }));
        }
    }
    return kj::joinPromises(copies.releaseAsArray())
        .then([this]() {
            return this->whenSynced();
        })
        .then([this, version]() -> kj::Promise<void> {
            if (this->copyingVersion != version) {
                return kj::READY_NOW;
            }
            if (this->watcher.view.history.hasReadQuorum(this->copiedFrom)) {
                this->copiedVersion = version;
                this->copyingVersion = 0;
                logEvent(EventKind::MembershipChanged,
                    {{"what", "copy complete"}, {"version", std::to_string(version)},
                        {"turns", std::to_string(this->table.turnCount())}});
                this->watcher.reportNow();
                return kj::READY_NOW;
            }
            return this->loop.kjTimer().afterDelay(CopyRetryDelay).then([this, version]() {
                return this->copyFromCurrentMembers(version);
            });
        });
}

kj::Promise<void> HistoryMemberDaemon::copyFromMember(HistoryMember from, std::uint64_t version, CopyProgress progress)
{
    auto link = kj::heap<RpcLink>(this->loop.rpc(), from.address);
    auto called = link->services().then([from, version, position = progress.position](OfferedServices &&services) {
        auto request = services.peer.castAs<Wire::HistoryStore>().copyRequest();
        request.setIdentity(wireText(from.identity));
        request.setView(version);
        request.setPosition(position);
        return request.send();
    });
    return this->loop.kjTimer()
        .timeoutAfter(CopyTimeout, kj::mv(called))
        .attach(kj::mv(link))
        .then([this, from, version, progress](auto &&response) -> kj::Promise<void> {
            KJ_REQUIRE(response.getStatus() == Wire::HistoryStatus::OK, "the history member rejected the copy request");
            KJ_REQUIRE(progress.position == 0 || response.getStart() == progress.start,
                "the history member was started again during the copy");
            for (const auto record : response.getRecords()) {
                this->addRecord(readRecord(record));
            }
            // Members of older builds state no end.
            const std::uint64_t copyEnd = progress.end.value_or(response.getEnd());
            if (response.getDone() || (copyEnd != 0 && response.getNext() >= copyEnd)) {
                return kj::READY_NOW;
            }
            return this->copyFromMember(from, version, {response.getNext(), copyEnd, response.getStart()});
        });
}

Wire::HistoryStore::Client HistoryMemberDaemon::makeService()
{
    return kj::heap<HistoryServer>(*this);
}

} // namespace Chestnuthook
