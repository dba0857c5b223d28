/** @file history_client_base.cpp  Quorum calls to the history members. */
#include "history/history_client_base.h"

#include <algorithm>
#include <set>
#include <utility>

#include "observe/log_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

/** A member that doesn't answer a call for this long is silent; its connection is given up. */
constexpr auto CallTimeout = 500 * kj::MILLISECONDS;
/** A chain is asked of the next member after this long. */
constexpr auto ChainTimeout = 150 * kj::MILLISECONDS;
/** The chain of the nearest member is awaited this long; others have it too. */
constexpr Duration ChainWait = std::chrono::milliseconds(60);
constexpr Duration RoundTimeout = std::chrono::milliseconds(600);
constexpr auto RetryDelay = 30 * kj::MILLISECONDS;

} // namespace

/** The answers to one call at all members. */
struct HistoryClient::Round
{
    HistoryView view; ///< Under which it was sent.
    std::set<std::string> done; ///< Members that have done it.
    unsigned open = 0; ///< Calls without an outcome.
    bool needsWrite = false; ///< Done once a write quorum has answered; else a read quorum.
    std::map<std::string, std::vector<TokenClaim>> claims; ///< Answers of `begin`, by member.
    TurnChain chain; ///< Of the member that was asked for it.
    bool chainAwaited = false; ///< The member asked for the chain has not answered yet.
    kj::Own<kj::PromiseFulfiller<void>> fulfiller; ///< Fulfilled at the first outcome below.

    [[nodiscard]] bool isEnough() const
    {
        return (this->needsWrite ? this->view.mayWrite(this->done) : this->view.mayRead(this->done))
            && !this->chainAwaited;
    }
    void note()
    {
        if ((this->isEnough() || this->open == 0) && this->fulfiller.get() != nullptr) {
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

kj::Promise<Wire::HistoryStore::Client> HistoryClient::storeAt(const HistoryMember &member)
{
    auto &link = this->links[member.address];
    if (link == nullptr) {
        link = std::make_unique<RpcLink>(this->loop.rpc(), member.address);
    }
    return link->services().then([](OfferedServices &&services) {
        return services.peer.castAs<Wire::HistoryStore>();
    });
}

std::vector<HistoryMember> HistoryClient::nearestFirst() const
{
    std::vector<HistoryMember> members = this->watcher.view.history.members();
    const auto isNear = [this](const HistoryMember &member) {
        const auto &instances = this->watcher.view.instances;
        return std::any_of(instances.begin(), instances.end(), [&](const InstanceInfo &one) {
            return one.name == member.name && one.dataCentre == this->dataCentre;
        });
    };
    const auto isAlive = [this](const HistoryMember &member) {
        const auto &instances = this->watcher.view.instances;
        return std::any_of(instances.begin(), instances.end(), [&](const InstanceInfo &one) {
            return one.name == member.name;
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

void HistoryClient::addCall(const Calls &round, const HistoryMember &member, kj::Promise<Wire::HistoryStatus> call)
{
    ++round->open;
    this->tasks.add(this->loop.kjTimer()
                        .timeoutAfter(CallTimeout, kj::mv(call))
                        .then(
                            [round, identity = member.identity](Wire::HistoryStatus status) {
                                --round->open;
                                if (status == Wire::HistoryStatus::OK) {
                                    round->done.insert(identity);
                                }
                                round->note();
                            },
                            [this, round, address = member.address](kj::Exception && /*exception*/) {
                                --round->open;
                                this->links[address]->reset();
                                round->note();
                            }));
}

bool HistoryClient::waitRound(kj::WaitScope &scope, const Calls &round, Instant until)
{
    if (!round->isEnough() && round->open != 0) {
        auto pair = kj::newPromiseAndFulfiller<void>();
        round->fulfiller = kj::mv(pair.fulfiller);
        const Duration left = std::clamp(until - this->loop.timers().now(), Duration(0), RoundTimeout);
        pair.promise.exclusiveJoin(this->loop.kjTimer().afterDelay(kjDuration(left))).wait(scope);
    }
    return round->isEnough();
}

bool HistoryClient::pauseBeforeRetry(kj::WaitScope &scope, Instant until)
{
    if (this->loop.timers().now() >= until) {
        return false;
    }
    this->watcher.reportNow();
    this->loop.kjTimer().afterDelay(RetryDelay).wait(scope);
    return true;
}

void HistoryClient::sendBegin(
    const Calls &round, const HistoryMember &member, const std::shared_ptr<const TurnRequest> &start, bool withChain)
{
    auto call = this->storeAt(member).then(
        [start, member, withChain, view = round->view.version](Wire::HistoryStore::Client store) {
            auto request = store.beginRequest();
            request.setIdentity(wireText(member.identity));
            request.setView(view);
            if (!start->claim.program.empty()) {
                writeRecord(request.initClaim(), start->claim);
            }
            request.setPrevious(wireText(start->previous));
            request.setCustomer(wireText(start->customer));
            request.setWithChain(withChain);
            return request.send();
        });
    auto read = call.then([round, member, withChain](capnp::Response<Wire::HistoryStore::BeginResults> &&response) {
        round->chainAwaited = round->chainAwaited && !withChain;
        if (response.getStatus() != Wire::HistoryStatus::OK) {
            return response.getStatus();
        }
        if (round->view.isCurrent(member.identity)) {
            auto &claims = round->claims[member.identity];
            for (const auto claim : response.getClaims()) {
                claims.push_back({textOf(claim.getTurn()), claim.getTokens(), claim.getSettled()});
            }
        }
        if (withChain) {
            for (const auto turn : response.getChain()) {
                round->chain.turns.push_back(std::make_shared<KeptTurn>(readTurn(turn)));
            }
            round->chain.missing = textOf(response.getMissing());
        }
        return Wire::HistoryStatus::OK;
    });
    this->addCall(round, member, kj::mv(read));
}

bool HistoryClient::beginRound(kj::WaitScope &scope, const Calls &round, const TurnRequest &start, Instant until)
{
    const auto shared = std::make_shared<const TurnRequest>(start); // Calls go on when this fiber has ended.
    const bool claims = !start.claim.program.empty();
    round->view = this->watcher.view.history;
    round->needsWrite = claims;
    round->chainAwaited = !start.previous.empty();
    bool withChain = round->chainAwaited;
    for (const HistoryMember &member : this->nearestFirst()) {
        if (!withChain && !claims) {
            break;
        }
        this->sendBegin(round, member, shared, withChain);
        withChain = false;
    }
    if (round->chainAwaited) { // A silent nearest member holds nobody up: the others are asked for the chain then.
        this->waitRound(scope, round, std::min(until, this->loop.timers().now() + ChainWait));
        round->chainAwaited = false;
    }
    return !claims || this->waitRound(scope, round, until);
}

Result<void> HistoryClient::checkBudget(const Round &round, const TurnRequest &start, TurnContext &begun)
{
    std::vector<std::vector<TokenClaim>> answers;
    for (const auto &[identity, claims] : round.claims) {
        answers.push_back(claims);
    }
    const TokenClaim &own = start.claim.claim;
    const std::uint64_t others = claimedTokens(answers, own.turn);
    begun.isFirstTurn = others == 0;
    if (others + own.tokens <= start.budget) {
        return {};
    }
    return fail(
        ErrorKind::BudgetSpent, std::to_string(others) + " of " + std::to_string(start.budget) + " tokens are claimed");
}

Result<TurnContext> HistoryClient::begin(kj::WaitScope &scope, const TurnRequest &start, Instant until)
{
    TurnContext begun;
    do {
        const auto round = std::make_shared<Round>();
        if (!this->beginRound(scope, round, start, until)) {
            continue;
        }
        if (!start.claim.program.empty()) {
            const Result<void> held = checkBudget(*round, start, begun);
            if (!held) {
                return tl::unexpected(held.error());
            }
        }
        if (start.previous.empty()) {
            return begun;
        }
        if (round->chain.turns.empty()) {
            round->chain.missing = start.previous;
        }
        auto chain = this->readChain(scope, start, std::move(round->chain), until);
        if (!chain) {
            return tl::unexpected(chain.error());
        }
        begun.chain = std::move(*chain);
        return begun;
    } while (this->pauseBeforeRetry(scope, until));
    return fail(ErrorKind::NotReady, "no quorum of the history members answered");
}

Result<std::vector<std::shared_ptr<const KeptTurn>>> HistoryClient::readChain(
    kj::WaitScope &scope, const TurnRequest &start, TurnChain chain, Instant until)
{
    while (!chain.missing.empty()) {
        const HistoryView view = this->watcher.view.history;
        std::set<std::string> without;
        bool found = false;
        for (const HistoryMember &member : this->nearestFirst()) {
            auto call = this->storeAt(member)
                            .then([&start, &chain, &member, &view](Wire::HistoryStore::Client store) {
                                auto request = store.chainRequest();
                                request.setIdentity(wireText(member.identity));
                                request.setView(view.version);
                                request.setTurn(wireText(chain.missing));
                                request.setCustomer(wireText(start.customer));
                                return request.send();
                            })
                            .then([](auto &&response) {
                                auto part = std::make_unique<TurnChain>();
                                for (const auto turn : response.getChain()) {
                                    part->turns.push_back(std::make_shared<KeptTurn>(readTurn(turn)));
                                }
                                part->missing = textOf(response.getMissing());
                                return std::pair(response.getStatus() == Wire::HistoryStatus::OK, std::move(part));
                            });
            auto [answered, part] = this->loop.kjTimer()
                                        .timeoutAfter(ChainTimeout, kj::mv(call))
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
                without.insert(member.identity);
            }
        }
        if (found) {
            continue;
        }
        if (view.mayRead(without)) {
            return fail(ErrorKind::NotFound, "no turn " + chain.missing + " of this customer is kept");
        }
        if (!this->pauseBeforeRetry(scope, until)) {
            return fail(ErrorKind::NotReady, "too few history members answered to read turn " + chain.missing);
        }
    }
    std::reverse(chain.turns.begin(), chain.turns.end());
    return std::move(chain.turns);
}

void HistoryClient::sendWrite(const Calls &round, const HistoryView &view, const std::vector<HistoryRecord> &records)
{
    const auto shared = std::make_shared<const std::vector<HistoryRecord>>(records);
    for (const HistoryMember &member : view.members()) {
        this->addCall(round, member,
            this->storeAt(member)
                .then([shared, member, version = view.version](Wire::HistoryStore::Client store) {
                    auto request = store.writeRequest();
                    request.setIdentity(wireText(member.identity));
                    request.setView(version);
                    auto list = request.initRecords(static_cast<unsigned>(shared->size()));
                    for (unsigned i = 0; i < shared->size(); ++i) {
                        writeRecord(list[i], (*shared)[i]);
                    }
                    return request.send();
                })
                .then([](auto &&response) {
                    return response.getStatus();
                }));
    }
}

Result<void> HistoryClient::write(kj::WaitScope &scope, const std::vector<HistoryRecord> &records, Instant until)
{
    do {
        auto round = std::make_shared<Round>();
        round->view = this->watcher.view.history;
        round->needsWrite = true;
        this->sendWrite(round, round->view, records);
        if (this->waitRound(scope, round, until)) {
            return {};
        }
    } while (this->pauseBeforeRetry(scope, until));
    return fail(ErrorKind::NotReady, "no quorum of the history members has written");
}

void HistoryClient::writeInBackground(std::vector<HistoryRecord> records)
{
    auto round = std::make_shared<Round>();
    round->view = this->watcher.view.history;
    this->sendWrite(round, round->view, records);
}

} // namespace Chestnuthook
