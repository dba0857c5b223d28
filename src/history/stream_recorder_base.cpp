/** @file stream_recorder_base.cpp  Calls to history members for the events of a stream. */
#include "history/stream_recorder_base.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "history/history_client_internal.h"
#include "history/stream_message_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

/** Delay before the members are asked again, to which the last events may be on their way. */
constexpr auto RetryDelay = 20 * kj::MILLISECONDS;

std::size_t bytesOf(const std::vector<StreamPiece> &pieces)
{
    std::size_t bytes = 0;
    for (const StreamPiece &piece : pieces) {
        bytes += piece.id.size() + piece.output.size();
    }
    return bytes;
}

/** Whether further answers may end @p doubt. */
bool mayPass(ResumptionDoubt doubt)
{
    return doubt == ResumptionDoubt::TooFewMembers || doubt == ResumptionDoubt::UnknownEvent;
}

template<typename Request>
void setStream(Request &request, const StreamKey &stream)
{
    request.setStream(wireText(stream.request));
    request.setCustomer(wireText(stream.customer));
}

} // namespace

/** A member that gets the events. */
struct StreamRecorder::Holder
{
    std::string address; ///< RPC address of the member.
    std::size_t held = 0; ///< Number of events that it is known to hold.
    std::size_t unheldBytes = 0; ///< Size of the events that it was sent and hasn't acknowledged.
    bool isLost = false; ///< It lacks an event, so it gets no more.
};

struct StreamRecorder::State
{
    std::vector<HolderPtr> holders; ///< All members, in the order of the view.
    unsigned outstanding = 0; ///< Calls that have neither succeeded nor failed.
    kj::Own<kj::PromiseFulfiller<void>> fulfiller; ///< Wakes the waiting fiber; null if there is none.

    void notifyWaiter()
    {
        if (this->fulfiller.get() != nullptr) {
            std::exchange(this->fulfiller, nullptr)->fulfill();
        }
    }
};

StreamRecorder::StreamRecorder(HistoryClient &history, StreamKey stream, std::string request)
    : history(history)
    , stream(std::move(stream))
    , request(std::move(request))
    , state(std::make_shared<State>())
{
    for (const HistoryMember &member : this->history.watcher.view.history.members()) {
        this->state->holders.push_back(std::make_shared<Holder>(Holder{.address = member.address}));
    }
}

StreamRecorder::~StreamRecorder()
{
    if (!this->isResumption || this->hasNewEvents) {
        return;
    }
    for (const HolderPtr &holder : this->state->holders) {
        const auto withdraw = [stream = this->stream, id = this->request](Wire::HistoryStore::Client store) {
            auto call = store.withdrawResumptionRequest();
            setStream(call, stream);
            call.setRequest(wireText(id));
            return call.send().then([](auto && /*response*/) {
                return true;
            });
        };
        this->call(holder, withdraw, []() {});
    }
}

template<typename Send, typename WhenHeld>
void StreamRecorder::call(const HolderPtr &holder, Send send, WhenHeld whenHeld)
{
    ++this->state->outstanding;
    auto answered = this->history.callMember(holder->address, std::move(send));
    this->history.tasks.add(answered.then(
        [state = this->state, holder, whenHeld](bool isHeld) {
            --state->outstanding;
            if (isHeld) {
                whenHeld();
            } else {
                holder->isLost = true;
            }
            state->notifyWaiter();
        },
        [state = this->state, holder](kj::Exception && /*unreachable, or of a build before*/) {
            --state->outstanding;
            holder->isLost = true;
            state->notifyWaiter();
        }));
}

template<typename IsDone>
void StreamRecorder::wait(kj::WaitScope &scope, Instant until, IsDone isDone)
{
    ControlLoop &loop = this->history.loop;
    while (!isDone() && this->state->outstanding != 0 && loop.timers().now() < until) {
        auto pair = kj::newPromiseAndFulfiller<void>();
        this->state->fulfiller = kj::mv(pair.fulfiller);
        const Duration left = until - loop.timers().now();
        pair.promise.exclusiveJoin(loop.kjTimer().afterDelay(kjDuration(left))).wait(scope);
        this->state->fulfiller = nullptr;
    }
}

void StreamRecorder::begin(std::uint64_t turn, Duration ttl)
{
    const auto ttlMs = static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(ttl).count());
    const auto members = static_cast<unsigned>(this->state->holders.size());
    for (const HolderPtr &holder : this->state->holders) {
        const auto begin = [stream = this->stream, turn, members, ttlMs](Wire::HistoryStore::Client store) {
            auto call = store.beginStreamRequest();
            setStream(call, stream);
            call.setTurn(turn);
            call.setMembers(members);
            call.setTtlMs(ttlMs);
            return call.send().then([](auto &&response) {
                return response.getHeld();
            });
        };
        this->call(holder, begin, []() {});
    }
}

tl::expected<StreamBeginning, ResumptionDoubt> StreamRecorder::ask(
    kj::WaitScope &scope, std::uint64_t turn, const std::string &lastEventId, Instant until)
{
    const auto answers = std::make_shared<std::vector<StreamProgress>>();
    for (const HolderPtr &holder : this->state->holders) {
        const auto find = [stream = this->stream, answers](Wire::HistoryStore::Client store) {
            auto call = store.findStreamRequest();
            setStream(call, stream);
            return call.send().then([answers](auto &&response) {
                if (response.getKnown()) {
                    StreamProgress progress;
                    progress.turn = response.getTurn();
                    progress.members = response.getMembers();
                    progress.isAmbiguous = response.getAmbiguous();
                    for (const auto reader : response.getBranches()) {
                        StreamBranch branch = readBranch(reader);
                        std::string id = branch.request;
                        progress.branches.emplace(std::move(id), std::move(branch));
                    }
                    answers->push_back(std::move(progress));
                }
                return true;
            });
        };
        this->call(holder, find, []() {});
    }
    auto found = findStreamBeginning(*answers, turn, lastEventId);
    this->wait(scope, until, [&]() {
        found = findStreamBeginning(*answers, turn, lastEventId);
        return found.has_value() || !mayPass(found.error());
    });
    return found;
}

tl::expected<StreamBeginning, ResumptionDoubt> StreamRecorder::resume(
    kj::WaitScope &scope, std::uint64_t turn, const std::string &lastEventId, Instant until)
{
    ControlLoop &loop = this->history.loop;
    auto found = this->ask(scope, turn, lastEventId, until);
    while (!found && mayPass(found.error()) && loop.timers().now() < until) {
        loop.kjTimer().afterDelay(RetryDelay).wait(scope);
        found = this->ask(scope, turn, lastEventId, until);
    }
    if (!found) {
        return found;
    }
    this->isResumption = true;
    this->added = found->pieces.size();
    const auto branch = std::make_shared<const StreamBranch>(
        StreamBranch{this->request, found->parent, found->pieces.size(), found->pieces});
    const auto accepted = std::make_shared<unsigned>(0);
    for (const HolderPtr &holder : this->state->holders) {
        holder->isLost = false;
        const auto resume = [stream = this->stream, branch](Wire::HistoryStore::Client store) {
            auto call = store.resumeStreamRequest();
            setStream(call, stream);
            writeBranch(call.initBranch(), *branch);
            return call.send().then([](auto &&response) {
                return response.getHeld();
            });
        };
        this->call(holder, resume, [holder, accepted, count = this->added]() {
            holder->held = count;
            ++*accepted;
        });
    }
    const auto isAccepted = [&]() {
        return 2 * *accepted > found->members;
    };
    this->wait(scope, until, isAccepted);
    if (!isAccepted()) {
        return tl::unexpected(ResumptionDoubt::TooFewMembers);
    }
    return found;
}

void StreamRecorder::add(const std::vector<StreamPiece> &pieces)
{
    if (pieces.empty()) {
        return;
    }
    const auto sent = std::make_shared<const std::vector<StreamPiece>>(pieces);
    const std::size_t position = this->added;
    const std::size_t bytes = bytesOf(pieces);
    this->added += pieces.size();
    this->hasNewEvents = true;
    for (const HolderPtr &holder : this->state->holders) {
        holder->unheldBytes += bytes;
        holder->isLost = holder->isLost || holder->unheldBytes > MaxUnheldBytes;
        if (holder->isLost) {
            continue;
        }
        const auto add = [stream = this->stream, id = this->request, position, sent](Wire::HistoryStore::Client store) {
            auto call = store.addStreamPiecesRequest();
            setStream(call, stream);
            call.setRequest(wireText(id));
            call.setPosition(static_cast<std::uint32_t>(position));
            writePieces(call.initPieces(static_cast<unsigned>(sent->size())), *sent);
            return call.send().then([](auto &&response) {
                return response.getHeld();
            });
        };
        this->call(holder, add, [holder, bytes, count = this->added]() {
            holder->held = std::max(holder->held, count);
            holder->unheldBytes -= bytes;
        });
    }
}

bool StreamRecorder::isHeldBySome(std::size_t count) const
{
    return std::ranges::any_of(this->state->holders, [count](const HolderPtr &holder) {
        return holder->held >= count;
    });
}

void StreamRecorder::awaitHeld(kj::WaitScope &scope)
{
    if (!this->isHeldBySome(this->awaitedInVain)) {
        return;
    }
    this->wait(scope, this->history.loop.timers().now() + MaxHeldWait, [this]() {
        return this->isHeldBySome(this->added)
            || std::ranges::all_of(this->state->holders, [](const HolderPtr &holder) {
                   return holder->isLost;
               });
    });
    this->awaitedInVain = this->isHeldBySome(this->added) ? 0 : this->added;
}

} // namespace Chestnuthook
