/** @file forwarded_answer_base.cpp  The forwarding entry's side. */
#include "entry/forwarded_answer_base.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "entry/http_reply_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr auto LookPeriod = std::chrono::milliseconds(200);

} // namespace

/** Between the control thread, which receives the answer, and the traffic thread, which writes it. */
struct ForwardedAnswer::Pipe
{
    /** A piece of the answer. */
    struct Piece
    {
        std::optional<int> status; ///< Set in the first piece.
        std::vector<HttpHeader> headers; ///< Of the first piece.
        std::string bytes; ///< Of the body.
    };

    std::mutex mutex; ///< Guards all but `call`.
    std::condition_variable changed; ///< A piece or the end came.
    std::deque<Piece> pieces; ///< Not yet written.
    bool ended = false; ///< The answer is whole.
    bool failed = false; ///< The other entry is lost.
    bool sent = false; ///< The request may have reached the other entry; for the control thread.
    std::string what; ///< Why it failed.
    kj::Maybe<kj::Promise<void>> call; ///< The call under way; for the control thread.

    void push(Piece piece)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->pieces.push_back(std::move(piece));
        }
        this->changed.notify_all();
    }
    void finish(bool whole, const std::string &error)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->ended = this->ended || whole;
            this->failed = !this->ended;
            this->what = error;
        }
        this->changed.notify_all();
    }
};

/** Receives the answer on the control thread. */
class ForwardedAnswer::Sink final : public Wire::AnswerSink::Server
{
public:
    explicit Sink(std::shared_ptr<Pipe> pipe)
        : pipe(std::move(pipe))
    {
    }
    kj::Promise<void> start(StartContext context) override
    {
        Pipe::Piece piece;
        piece.status = context.getParams().getStatus();
        for (const auto header : context.getParams().getHeaders()) {
            piece.headers.push_back(HttpHeader{textOf(header.getName()), textOf(header.getValue())});
        }
        this->pipe->push(std::move(piece));
        return kj::READY_NOW;
    }
    kj::Promise<void> write(WriteContext context) override
    {
        this->pipe->push(Pipe::Piece{{}, {}, bytesOf(context.getParams().getBytes())});
        return kj::READY_NOW;
    }
    kj::Promise<void> end(EndContext /*context*/) override
    {
        this->pipe->finish(true, "");
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<Pipe> pipe; ///< To the traffic thread.
};

ForwardedAnswer::ForwardedAnswer(EntryContext &context, AnswerWriter &answer)
    : context(context)
    , answer(answer)
{
}

Result<void> ForwardedAnswer::run(const std::string &address, const CallerRequest &request)
{
    auto pipe = std::make_shared<Pipe>();
    this->context.loop.call([&]() {
        pipe->call = this->context.peers.peer(address)
                         .then([request, pipe](Wire::EntryPeer::Client &&peer) {
                             pipe->sent = true;
                             auto call = peer.forwardRequest();
                             writeRequest(call.initRequest(), request);
                             call.setSink(kj::heap<Sink>(pipe));
                             return call.send().ignoreResult();
                         })
                         .then(
                             [pipe = pipe.get()]() {
                                 pipe->finish(false, "the answer ended early");
                             },
                             [this, pipe = pipe.get(), address](kj::Exception &&exception) {
                                 if (exception.getType() == kj::Exception::Type::DISCONNECTED) {
                                     this->context.peers.reset(address);
                                 }
                                 pipe->finish(false, exception.getDescription().cStr());
                             })
                         .eagerlyEvaluate(nullptr);
    });
    KJ_DEFER(this->context.loop.call([&]() {
        pipe->call = nullptr; // Cancels it where the caller has gone; the owner then stops reading.
    }););
    Pipe::Piece head;
    bool streamed = false;
    bool open = true;
    while (open) {
        std::deque<Pipe::Piece> pieces;
        {
            std::unique_lock lock(pipe->mutex);
            pipe->changed.wait_for(lock, LookPeriod, [&]() {
                return !pipe->pieces.empty() || pipe->ended || pipe->failed;
            });
            pieces.swap(pipe->pieces);
            open = !pipe->ended && !pipe->failed;
        }
        for (const Pipe::Piece &piece : pieces) {
            if (piece.status) {
                head = piece;
                streamed = std::any_of(piece.headers.begin(), piece.headers.end(), [](const HttpHeader &header) {
                    return header.value == "text/event-stream";
                });
                if (streamed) {
                    this->answer.start(*piece.status, piece.headers, -1);
                }
            } else if (streamed) {
                this->answer.write(piece.bytes);
            } else {
                head.bytes += piece.bytes; // Given to the caller only when it is whole.
            }
        }
        if (open && !this->isListed(address)) {
            pipe->finish(false, "its lease has ended");
        }
        open = open && !this->answer.isGone();
    }
    if (pipe->failed && this->answer.isStarted()) {
        const Error lost{ErrorKind::NotReady, "the entry that ran the call was lost; send again", Ran::Unknown, 0};
        this->answer.write("event: error\ndata: " + errorJson(lost) + "\n\n");
    }
    if (pipe->ended && !streamed && head.status) {
        this->answer.start(*head.status, head.headers, static_cast<std::int64_t>(head.bytes.size()));
        this->answer.write(head.bytes);
    }
    if (pipe->ended || this->answer.isStarted()) {
        this->answer.end();
        return {};
    }
    const bool sent = this->context.loop.call([&]() {
        return pipe->sent;
    });
    return fail(
        ErrorKind::NotReady, "the program's entry did not answer: " + pipe->what, sent ? Ran::Unknown : Ran::No);
}

bool ForwardedAnswer::isListed(const std::string &address) const
{
    const auto view = this->context.follower.views.get();
    return std::any_of(view->entries.begin(), view->entries.end(), [&](const EntryRecord &entry) {
        return entry.rpcAddress == address;
    });
}

} // namespace Chestnuthook
