/** @file history_client_base.cpp  Quorum reads and writes at the history members. */
#include "history/history_client_base.h"

#include <algorithm>
#include <set>
#include <utility>

#include "history/history_client_internal.h"
#include "observe/log_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

/** A connection is replaced if nothing is heard on it for this long while a call waits. */
constexpr auto SilenceTimeout = 500 * kj::MILLISECONDS;
/** Timeout of a chain read at one member; the next member is tried after it. */
constexpr Duration ChainTimeout = std::chrono::milliseconds(150);
/** How long the chain from the preferred member is awaited before the other members, which also hold it, are asked. */
constexpr Duration PreferredChainTimeout = std::chrono::milliseconds(60);
/** Members whose calls have failed are called again at the latest after this time. */
constexpr Duration QuorumCallTimeout = std::chrono::milliseconds(200);
constexpr auto RetryDelay = 30 * kj::MILLISECONDS;

auto sendRecords(Wire::HistoryStore::Client store, const std::string &identity, std::uint64_t view,
    const std::vector<HistoryRecord> &records)
{
    auto request = store.writeRequest();
    request.setIdentity(wireText(identity));
    request.setView(view);
    auto list = request.initRecords(static_cast<unsigned>(records.size()));
    for (unsigned i = 0; i < records.size(); ++i) {
        writeRecord(list[i], records[i]);
    }
    return request.send();
}

/** @p records and before them the turns of @p chain, which are kept as long as the turn that continues them. */
std::vector<HistoryRecord> withChain(
    const std::vector<HistoryRecord> &records, const std::vector<std::shared_ptr<const KeptTurn>> &chain)
{
    std::uint64_t expiresMs = 0;
    for (const HistoryRecord &record : records) {
        if (const auto *turn = std::get_if<KeptTurn>(&record)) {
            expiresMs = std::max(expiresMs, turn->expiresMs);
        }
    }
    std::vector<HistoryRecord> all;
    for (const auto &before : chain) {
        KeptTurn turn = *before;
        turn.expiresMs = std::max(turn.expiresMs, expiresMs);
        all.emplace_back(std::move(turn));
    }
    all.insert(all.end(), records.begin(), records.end());
    return all;
}

} // namespace

/** One operation at several members, and their responses in all tries. A member that has succeeded under an older view
 * holds the record durably, so it counts under each view that it belongs to. */
struct HistoryClient::QuorumCall
{
    HistoryView view; ///< View of the last try.
    std::set<std::string> succeeded; ///< Identities of the members that succeeded.
    std::set<std::string> full; ///< Identities of the members that store no new program.
    std::multiset<std::string> awaited; ///< Identities of the members whose calls have neither ended nor been given up.
    bool hasFailures = false; ///< A call of the last try failed or was refused, or there was no member to call.
    bool needsWrite = false; ///< Needs a write quorum, otherwise a read quorum.
    std::map<std::string, std::vector<TokenClaim>> claims; ///< Claims returned by `begin`, by member identity.
    TurnChain chain; ///< Returned by the member that was asked for it.
    bool chainAwaited = false; ///< The member that was asked for the chain hasn't answered yet.
    kj::Own<kj::PromiseFulfiller<void>> fulfiller; ///< Wakes the waiting fiber.

    void startTry(const HistoryView &newestView)
    {
        this->view = newestView;
        this->hasFailures = newestView.version == 0;
    }
    /** Whether @p member is to be called in this try. */
    [[nodiscard]] bool needsCall(const HistoryMember &member) const
    {
        return !this->full.contains(member.identity) && !this->succeeded.contains(member.identity)
            && !this->awaited.contains(member.identity);
    }
    [[nodiscard]] bool isComplete() const
    {
        return (this->needsWrite ? this->view.hasWriteQuorum(this->succeeded)
                                 : this->view.hasReadQuorum(this->succeeded))
            && !this->chainAwaited;
    }
    void notifyWaiter()
    {
        const bool isRefused = !this->full.empty() && this->view.hasReadQuorum(this->full);
        if ((this->isComplete() || isRefused || this->awaited.empty()) && this->fulfiller.get() != nullptr) {
            this->fulfiller->fulfill();
        }
    }
};

HistoryClient::HistoryClient(ControlLoop &loop, DeploymentWatcher &watcher, std::string dataCentre)
    : loop(loop)
    , watcher(watcher)
    , dataCentre(std::move(dataCentre))
    , tasks(this->failures)
{
}

HistoryClient::MemberLink &HistoryClient::linkTo(const std::string &address)
{
    auto &member = this->links[address];
    if (member == nullptr) {
        member = std::make_unique<MemberLink>(this->loop.rpc(), address);
    }
    return *member;
}

kj::Promise<void> HistoryClient::watchSilence(
    MemberLink &member, RpcLink::ConnectionPtr connection, Instant since, std::function<void()> onSilence)
{
    return this->loop.kjTimer()
        .afterDelay(SilenceTimeout)
        .then([this, &member, since, connection = std::move(connection),
                  onSilence = std::move(onSilence)]() mutable -> kj::Promise<void> {
            const bool isReplaced = !member.link.isCurrent(connection);
            if (!isReplaced && member.lastHeard >= since) {
                return this->watchSilence(
                    member, std::move(connection), this->loop.timers().now(), std::move(onSilence));
            }
            if (!isReplaced) {
                logEvent(EventKind::PeerLost,
                    {{"peer", member.link.peerAddress()}, {"role", "history"}, {"error", "the connection is silent"}});
                member.link.drop(connection);
            }
            if (onSilence) {
                onSilence();
            }
            return kj::READY_NOW;
        });
}

std::vector<HistoryMember> HistoryClient::membersByPreference() const
{
    std::vector<HistoryMember> members = this->watcher.view.history.members();
    const auto isNear = [this](const HistoryMember &member) {
        const auto &instances = this->watcher.view.instances;
        return std::any_of(instances.begin(), instances.end(), [&](const InstanceInfo &instance) {
            return instance.name == member.name && instance.dataCentre == this->dataCentre;
        });
    };
    const auto isAlive = [this](const HistoryMember &member) {
        const auto &instances = this->watcher.view.instances;
        return std::any_of(instances.begin(), instances.end(), [&](const InstanceInfo &instance) {
            return instance.name == member.name;
        });
    };
    std::stable_sort(members.begin(), members.end(), [&](const HistoryMember &a, const HistoryMember &b) {
        return std::pair(isAlive(a), isNear(a)) > std::pair(isAlive(b), isNear(b));
    });
    const HistoryView &view = this->watcher.view.history;
    std::stable_partition(members.begin(), members.end(), [&view](const HistoryMember &member) {
        return view.isCurrent(member.identity);
    });
    return members;
}

template<typename Send>
void HistoryClient::addCall(const QuorumCallPtr &quorumCall, const HistoryMember &member, Send send)
{
    quorumCall->awaited.insert(member.identity);
    const auto stopWaiting = [quorumCall, identity = member.identity, isAwaited = std::make_shared<bool>(true)]() {
        if (std::exchange(*isAwaited, false)) {
            quorumCall->awaited.erase(quorumCall->awaited.find(identity));
        }
        quorumCall->notifyWaiter();
    };
    this->tasks.add(
        this->callMember(member.address, std::move(send), stopWaiting)
            .then(
                [quorumCall, stopWaiting, identity = member.identity](Wire::HistoryStatus status) {
                    if (status == Wire::HistoryStatus::OK) {
                        quorumCall->succeeded.insert(identity);
                    } else if (status == Wire::HistoryStatus::FULL) {
                        quorumCall->full.insert(identity);
                    }
                    stopWaiting();
                },
                [stopWaiting, address = member.address](kj::Exception &&exception) {
                    logEvent(EventKind::PeerLost,
                        {{"peer", address}, {"role", "history"}, {"error", exception.getDescription().cStr()}});
                    stopWaiting();
                }));
}

bool HistoryClient::waitForCall(kj::WaitScope &scope, const QuorumCallPtr &quorumCall, Instant until)
{
    if (!quorumCall->isComplete() && !quorumCall->awaited.empty()) {
        auto pair = kj::newPromiseAndFulfiller<void>();
        quorumCall->fulfiller = kj::mv(pair.fulfiller);
        const Duration left = std::clamp(until - this->loop.timers().now(), Duration(0), QuorumCallTimeout);
        pair.promise.exclusiveJoin(this->loop.kjTimer().afterDelay(kjDuration(left))).wait(scope);
    }
    return quorumCall->isComplete();
}

bool HistoryClient::waitBeforeRetry(kj::WaitScope &scope, Instant until, bool needsView)
{
    if (this->loop.timers().now() >= until) {
        return false;
    }
    if (needsView) {
        this->watcher.reportNow();
    }
    this->loop.kjTimer().afterDelay(RetryDelay).wait(scope);
    return true;
}

void HistoryClient::sendBeginTo(const QuorumCallPtr &quorumCall, const HistoryMember &member,
    const std::shared_ptr<const TurnStart> &start, bool withChain)
{
    this->addCall(quorumCall, member,
        [quorumCall, start, member, withChain, view = quorumCall->view.version](Wire::HistoryStore::Client store) {
            auto request = store.beginRequest();
            request.setIdentity(wireText(member.identity));
            request.setView(view);
            if (!start->claim.program.empty()) {
                writeRecord(request.initClaim(), start->claim);
            }
            request.setPrevious(wireText(start->previous));
            request.setCustomer(wireText(start->customer));
            request.setWithChain(withChain);
            return request.send().then(
                [quorumCall, member, withChain](capnp::Response<Wire::HistoryStore::BeginResults> &&response) {
                    quorumCall->chainAwaited = quorumCall->chainAwaited && !withChain;
                    if (response.getStatus() != Wire::HistoryStatus::OK) {
                        return response.getStatus();
                    }
                    auto &claims = quorumCall->claims[member.identity];
                    claims.clear();
                    for (const auto claim : response.getClaims()) {
                        claims.push_back({textOf(claim.getTurn()), claim.getTokens(), claim.getSettled()});
                    }
                    if (withChain && quorumCall->chain.turns.empty()) {
                        for (const auto turn : response.getChain()) {
                            quorumCall->chain.turns.push_back(std::make_shared<KeptTurn>(readTurn(turn)));
                        }
                        quorumCall->chain.missing = textOf(response.getMissing());
                    }
                    return Wire::HistoryStatus::OK;
                });
        });
}

bool HistoryClient::callBegin(
    kj::WaitScope &scope, const QuorumCallPtr &quorumCall, const TurnStart &start, Instant until)
{
    const auto shared = std::make_shared<const TurnStart>(start); // QuorumCallPtr may outlive this fiber.
    const bool claims = !start.claim.program.empty();
    const bool asksAll = claims || start.isKept;
    quorumCall->startTry(this->watcher.view.history);
    quorumCall->needsWrite = claims;
    bool withChain = !start.previous.empty() && quorumCall->chain.turns.empty();
    for (const HistoryMember &member : this->membersByPreference()) {
        if (!withChain && !asksAll) {
            break;
        }
        if (quorumCall->needsCall(member)) {
            quorumCall->chainAwaited = quorumCall->chainAwaited || withChain;
            this->sendBeginTo(quorumCall, member, shared, withChain);
            withChain = false;
        }
    }
    if (quorumCall->chainAwaited) { // An unresponsive member must not delay the turn; readChain then asks the others.
        this->waitForCall(scope, quorumCall, std::min(until, this->loop.timers().now() + PreferredChainTimeout));
        quorumCall->chainAwaited = false;
    }
    if (claims || !asksAll) {
        return !claims || this->waitForCall(scope, quorumCall, until);
    }
    // Only members that say that they have no room refuse a turn that claims nothing.
    this->waitForCall(scope, quorumCall, std::min(until, this->loop.timers().now() + PreferredChainTimeout));
    return !quorumCall->view.hasReadQuorum(quorumCall->full);
}

Result<void> HistoryClient::checkBudget(const QuorumCall &quorumCall, const TurnStart &start, TurnContext &context)
{
    std::vector<std::vector<TokenClaim>> answers;
    for (const auto &[identity, claims] : quorumCall.claims) {
        answers.push_back(claims);
    }
    answers.push_back(start.resumed);
    const TokenClaim &own = start.claim.claim;
    const std::uint64_t others = claimedTokens(answers, own.turn);
    context.isFirstTurn = others == 0;
    if (others + own.tokens <= start.budget) {
        return {};
    }
    return fail(ErrorKind::BudgetSpent,
        std::to_string(others) + " of " + std::to_string(start.budget) + " tokens are already reserved");
}

Result<TurnContext> HistoryClient::begin(kj::WaitScope &scope, const TurnStart &start, Instant until)
{
    TurnContext context;
    const auto quorumCall = std::make_shared<QuorumCall>();
    do {
        if (!this->callBegin(scope, quorumCall, start, until)) {
            if (quorumCall->view.hasReadQuorum(quorumCall->full)) {
                return fail(ErrorKind::NotReady, "the history members have no room for new programs");
            }
            continue;
        }
        if (!start.claim.program.empty()) {
            const Result<void> checked = checkBudget(*quorumCall, start, context);
            if (!checked) {
                return tl::unexpected(checked.error());
            }
        }
        if (start.previous.empty()) {
            return context;
        }
        if (quorumCall->chain.turns.empty()) {
            quorumCall->chain.missing = start.previous;
        }
        auto chain = this->readChain(scope, start, std::move(quorumCall->chain), until);
        if (!chain) {
            return tl::unexpected(chain.error());
        }
        context.chain = std::move(*chain);
        return context;
    } while (this->waitBeforeRetry(scope, until, quorumCall->hasFailures));
    return fail(ErrorKind::NotReady, "no quorum of the history members answered");
}

Result<std::vector<std::shared_ptr<const KeptTurn>>> HistoryClient::readChain(
    kj::WaitScope &scope, const TurnStart &start, TurnChain chain, Instant until)
{
    while (!chain.missing.empty()) {
        const HistoryView view = this->watcher.view.history;
        std::set<std::string> membersWithoutTurn;
        bool found = false;
        for (const HistoryMember &member : this->membersByPreference()) {
            auto call =
                this->callMember(member.address, [&start, &chain, &member, &view](Wire::HistoryStore::Client store) {
                    auto request = store.chainRequest();
                    request.setIdentity(wireText(member.identity));
                    request.setView(view.version);
                    request.setTurn(wireText(chain.missing));
                    request.setCustomer(wireText(start.customer));
                    return request.send().then([](auto &&response) {
                        auto part = std::make_unique<TurnChain>();
                        for (const auto turn : response.getChain()) {
                            part->turns.push_back(std::make_shared<KeptTurn>(readTurn(turn)));
                        }
                        part->missing = textOf(response.getMissing());
                        return std::pair(response.getStatus() == Wire::HistoryStatus::OK, std::move(part));
                    });
                });
            const Duration left = std::clamp(until - this->loop.timers().now(), Duration(0), ChainTimeout);
            auto [answered, part] = this->loop.kjTimer()
                                        .timeoutAfter(kjDuration(left), kj::mv(call))
                                        .catch_([](kj::Exception && /*exception*/) {
                                            return std::pair(false, std::make_unique<TurnChain>());
                                        })
                                        .wait(scope);
            if (!part->turns.empty()) {
                chain.turns.insert(chain.turns.end(), part->turns.begin(), part->turns.end());
                chain.missing = part->missing;
                found = true;
                break;
            }
            if (answered) {
                membersWithoutTurn.insert(member.identity);
            }
        }
        if (found) {
            continue;
        }
        if (view.hasReadQuorum(membersWithoutTurn)) {
            return fail(ErrorKind::NotFound, "no turn " + chain.missing + " of this customer is kept");
        }
        if (!this->waitBeforeRetry(scope, until, true)) {
            return fail(
                ErrorKind::NotReady, "no read quorum of the history members answered for turn " + chain.missing);
        }
    }
    std::reverse(chain.turns.begin(), chain.turns.end());
    return std::move(chain.turns);
}

void HistoryClient::sendWrite(const QuorumCallPtr &quorumCall, const WritePtr &write)
{
    for (const HistoryMember &member : quorumCall->view.members()) {
        if (!quorumCall->needsCall(member)) {
            continue;
        }
        this->addCall(quorumCall, member,
            [write, identity = member.identity, version = quorumCall->view.version](
                Wire::HistoryStore::Client store) -> kj::Promise<Wire::HistoryStatus> {
                return sendRecords(store, identity, version, write->records)
                    .then([write, identity, version, store](
                              capnp::Response<Wire::HistoryStore::WriteResults> &&response) mutable
                        -> kj::Promise<Wire::HistoryStatus> {
                        const auto status = response.getStatus();
                        if (status != Wire::HistoryStatus::OK || !response.hasMissing()
                            || response.getMissing().size() == 0 || write->chain.empty()) {
                            return status;
                        }
                        return sendRecords(store, identity, version, withChain(write->records, write->chain))
                            .then([](auto &&second) {
                                return second.getStatus();
                            });
                    });
            });
    }
}

Result<void> HistoryClient::write(kj::WaitScope &scope, const std::vector<HistoryRecord> &records,
    const std::vector<std::shared_ptr<const KeptTurn>> &chain, Instant until)
{
    const auto quorumCall = std::make_shared<QuorumCall>();
    const auto write = std::make_shared<const Write>(Write{records, chain});
    quorumCall->needsWrite = true;
    do {
        quorumCall->startTry(this->watcher.view.history);
        this->sendWrite(quorumCall, write);
        if (this->waitForCall(scope, quorumCall, until)) {
            return {};
        }
    } while (this->waitBeforeRetry(scope, until, quorumCall->hasFailures));
    return fail(ErrorKind::NotReady, "no write quorum of the history members acknowledged the records");
}

void HistoryClient::writeInBackground(std::vector<HistoryRecord> records)
{
    const auto quorumCall = std::make_shared<QuorumCall>();
    quorumCall->needsWrite = true;
    quorumCall->startTry(this->watcher.view.history);
    const auto write = std::make_shared<const Write>(Write{std::move(records), {}});
    this->sendWrite(quorumCall, write);
    if (this->backgroundWrites < MaxBackgroundWrites) {
        ++this->backgroundWrites;
        const Instant until = this->loop.timers().now() + BackgroundWriteTime;
        this->tasks.add(this->retryInBackground(quorumCall, write, until).then([this]() {
            --this->backgroundWrites;
        }));
    }
}

kj::Promise<void> HistoryClient::retryInBackground(QuorumCallPtr quorumCall, WritePtr write, Instant until)
{
    return this->loop.kjTimer()
        .afterDelay(kjDuration(QuorumCallTimeout))
        .then([this, quorumCall, write, until]() -> kj::Promise<void> {
            if (quorumCall->isComplete() || this->loop.timers().now() >= until) {
                return kj::READY_NOW;
            }
            quorumCall->startTry(this->watcher.view.history);
            this->sendWrite(quorumCall, write);
            return this->retryInBackground(quorumCall, write, until);
        });
}

/** A search for the origin of one stream at several members. */
struct HistoryClient::OriginSearch
{
    StreamKey stream;
    std::optional<StreamOrigin> origin; ///< Returned by the first member that knows it.
    unsigned outstanding = 0; ///< Calls that have neither succeeded nor failed.
    kj::Own<kj::PromiseFulfiller<void>> fulfiller; ///< Wakes the waiting fiber.

    void callEnded()
    {
        --this->outstanding;
        if (this->origin || this->outstanding == 0) {
            this->fulfiller->fulfill();
        }
    }
};

void HistoryClient::addStreamOrigin(const StreamKey &stream, const StreamOrigin &origin, Duration ttl)
{
    for (const HistoryMember &member : this->watcher.view.history.members()) {
        this->tasks.add(this->callMember(member.address,
                                [stream, origin, ttl](Wire::HistoryStore::Client store) {
                                    auto request = store.addStreamOriginRequest();
                                    request.setRequest(wireText(stream.request));
                                    request.setCustomer(wireText(stream.customer));
                                    request.setService(wireText(origin.service));
                                    request.setVersion(wireText(origin.version));
                                    request.setTtlMs(static_cast<std::uint64_t>(
                                        std::chrono::duration_cast<Milliseconds>(ttl).count()));
                                    return request.send().then([](auto && /*response*/) {
                                        return true;
                                    });
                                })
                            .ignoreResult());
    }
}

void HistoryClient::askForOrigin(const std::shared_ptr<OriginSearch> &search, const HistoryMember &member)
{
    auto call = this->callMember(member.address, [search](Wire::HistoryStore::Client store) {
        auto request = store.findStreamOriginRequest();
        request.setRequest(wireText(search->stream.request));
        request.setCustomer(wireText(search->stream.customer));
        return request.send().then([search](auto &&response) {
            if (response.getKnown()) {
                search->origin = StreamOrigin{textOf(response.getService()), textOf(response.getVersion())};
            }
            return response.getKnown();
        });
    });
    ++search->outstanding;
    this->tasks.add(call.then(
        [search](bool /*known*/) {
            search->callEnded();
        },
        [search](kj::Exception && /*exception*/) {
            search->callEnded();
        }));
}

std::optional<StreamOrigin> HistoryClient::findStreamOrigin(
    kj::WaitScope &scope, const StreamKey &stream, Instant until)
{
    while (this->loop.timers().now() < until) {
        const auto search = std::make_shared<OriginSearch>();
        search->stream = stream;
        auto pair = kj::newPromiseAndFulfiller<void>();
        search->fulfiller = kj::mv(pair.fulfiller);
        const HistoryView view = this->watcher.view.history;
        for (const HistoryMember &member : view.members()) {
            this->askForOrigin(search, member);
        }
        if (search->outstanding != 0) {
            const Duration left = std::max(until - this->loop.timers().now(), Duration(0));
            pair.promise.exclusiveJoin(this->loop.kjTimer().afterDelay(kjDuration(left))).wait(scope);
        }
        if (search->origin) {
            return search->origin;
        }
        // The gateway that began the stream may have sent its origin just now. An unknown origin is no sign that the
        // view is outdated, so the control leader isn't asked for a newer one.
        this->loop.kjTimer().afterDelay(RetryDelay).wait(scope);
    }
    return std::nullopt;
}

} // namespace Chestnuthook
