/** @file request_forwarder_base.cpp  Forwards requests and relays the responses. */
#include "entry/request_forwarder_base.h"

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

constexpr auto AbandonCheckInterval = std::chrono::milliseconds(200);

} // namespace

/** Passes the response from the control thread, which receives it, to the traffic thread, which writes it. */
struct RequestForwarder::Pipe
{
    /** A piece of the response. */
    struct Piece
    {
        std::optional<int> status; ///< Set in the first piece.
        std::vector<HttpHeader> headers; ///< Set in the first piece.
        std::string bytes; ///< Part of the body.
    };

    std::mutex mutex; ///< Guards all members except those for the control thread.
    std::condition_variable changed; ///< Notified when a piece arrives or the response ends.
    std::deque<Piece> pieces; ///< Pieces that were not written yet.
    bool ended = false; ///< The response is complete.
    bool failed = false; ///< The connection to the other entry failed.
    bool sent = false; ///< The request may have reached the other entry; for the control thread.
    std::string what; ///< Reason of the failure.
    kj::Maybe<kj::Promise<void>> call; ///< The RPC in progress; for the control thread.

    void push(Piece piece)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->pieces.push_back(std::move(piece));
        }
        this->changed.notify_all();
    }
    void finish(bool isComplete, const std::string &error)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->ended = this->ended || isComplete;
            this->failed = !this->ended;
            this->what = error;
        }
        this->changed.notify_all();
    }
};

/** Receives the response on the control thread. */
class RequestForwarder::Sink final : public Wire::AnswerSink::Server
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
    std::shared_ptr<Pipe> pipe; ///< Pipe to the traffic thread.
};

RequestForwarder::RequestForwarder(EntryContext &context, ResponseWriter &writer)
    : context(context)
    , writer(writer)
{
}

Result<void> RequestForwarder::run(const std::string &address, const ClientRequest &request)
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
                                 pipe->finish(false, "the response ended early");
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
        pipe->call = nullptr; // Cancels the RPC if the client has gone; the owner is notified and stops.
    }););
    Pipe::Piece head;
    bool streamed = false;
    bool open = true;
    while (open) {
        std::deque<Pipe::Piece> pieces;
        {
            std::unique_lock lock(pipe->mutex);
            pipe->changed.wait_for(lock, AbandonCheckInterval, [&]() {
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
                    this->writer.start(*piece.status, piece.headers, -1);
                }
            } else if (streamed) {
                this->writer.write(piece.bytes);
            } else {
                head.bytes += piece.bytes; // Sent to the client only once it is complete.
            }
        }
        if (open && !this->hasLease(address)) {
            pipe->finish(false, "its lease has expired");
        }
        open = open && !this->writer.isAbandoned();
    }
    if (pipe->failed && this->writer.isStarted()) {
        const Error lost{
            ErrorKind::NotReady, "the entry that ran the call was lost; send the request again", Ran::Unknown, 0};
        this->writer.write("event: error\ndata: " + errorJson(lost) + "\n\n");
    }
    if (pipe->ended && !streamed && head.status) {
        this->writer.start(*head.status, head.headers, static_cast<std::int64_t>(head.bytes.size()));
        this->writer.write(head.bytes);
    }
    if (pipe->ended || this->writer.isStarted()) {
        this->writer.end();
        return {};
    }
    const bool sent = this->context.loop.call([&]() {
        return pipe->sent;
    });
    return fail(ErrorKind::NotReady, "the entry that owns the program did not respond: " + pipe->what,
        sent ? Ran::Unknown : Ran::No);
}

bool RequestForwarder::hasLease(const std::string &address) const
{
    const auto view = this->context.follower.views.get();
    return std::any_of(view->entries.begin(), view->entries.end(), [&](const EntryRecord &entry) {
        return entry.rpcAddress == address;
    });
}

} // namespace Chestnuthook
