/** @file request_forwarder_base.cpp  The forwarding entry's side. */
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

/** Between the control thread, which receives the answer, and the traffic thread, which writes it. */
struct RequestForwarder::ResponseChannel
{
    /** A piece of the answer. */
    struct Chunk
    {
        std::optional<int> status; ///< Set in the first piece.
        std::vector<HttpHeader> headers; ///< Of the first piece.
        std::string bytes; ///< Of the body.
    };

    std::mutex mutex; ///< Guards all but `call`.
    std::condition_variable changed; ///< A piece or the end came.
    std::deque<Chunk> chunks; ///< Not yet written.
    bool ended = false; ///< The answer is whole.
    bool failed = false; ///< The other entry is lost.
    bool sent = false; ///< The request may have reached the other entry; for the control thread.
    std::string what; ///< Why it failed.
    kj::Maybe<kj::Promise<void>> call; ///< The call under way; for the control thread.

    void push(Chunk chunk)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->chunks.push_back(std::move(chunk));
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

/** Receives the answer on the control thread. */
class RequestForwarder::Sink final : public Wire::AnswerSink::Server
{
public:
    explicit Sink(std::shared_ptr<ResponseChannel> channel)
        : channel(std::move(channel))
    {
    }
    kj::Promise<void> start(StartContext context) override
    {
        ResponseChannel::Chunk chunk;
        chunk.status = context.getParams().getStatus();
        for (const auto header : context.getParams().getHeaders()) {
            chunk.headers.push_back(HttpHeader{textOf(header.getName()), textOf(header.getValue())});
        }
        this->channel->push(std::move(chunk));
        return kj::READY_NOW;
    }
    kj::Promise<void> write(WriteContext context) override
    {
        this->channel->push(ResponseChannel::Chunk{{}, {}, bytesOf(context.getParams().getBytes())});
        return kj::READY_NOW;
    }
    kj::Promise<void> end(EndContext /*context*/) override
    {
        this->channel->finish(true, "");
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<ResponseChannel> channel; ///< To the traffic thread.
};

RequestForwarder::RequestForwarder(EntryContext &context, ResponseWriter &writer)
    : context(context)
    , writer(writer)
{
}

Result<void> RequestForwarder::run(const std::string &address, const ClientRequest &request)
{
    auto channel = std::make_shared<ResponseChannel>();
    this->context.loop.call([&]() {
        channel->call = this->context.peers.peer(address)
                            .then([request, channel](Wire::EntryPeer::Client &&peer) {
                                channel->sent = true;
                                auto call = peer.forwardRequest();
                                writeRequest(call.initRequest(), request);
                                call.setSink(kj::heap<Sink>(channel));
                                return call.send().ignoreResult();
                            })
                            .then(
                                [channel = channel.get()]() {
                                    channel->finish(false, "the answer ended early");
                                },
                                [this, channel = channel.get(), address](kj::Exception &&exception) {
                                    if (exception.getType() == kj::Exception::Type::DISCONNECTED) {
                                        this->context.peers.reset(address);
                                    }
                                    channel->finish(false, exception.getDescription().cStr());
                                })
                            .eagerlyEvaluate(nullptr);
    });
    KJ_DEFER(this->context.loop.call([&]() {
        channel->call = nullptr; // Cancels it where the caller has gone; the owner then stops reading.
    }););
    ResponseChannel::Chunk head;
    bool streamed = false;
    bool open = true;
    while (open) {
        std::deque<ResponseChannel::Chunk> chunks;
        {
            std::unique_lock lock(channel->mutex);
            channel->changed.wait_for(lock, AbandonCheckInterval, [&]() {
                return !channel->chunks.empty() || channel->ended || channel->failed;
            });
            chunks.swap(channel->chunks);
            open = !channel->ended && !channel->failed;
        }
        for (const ResponseChannel::Chunk &chunk : chunks) {
            if (chunk.status) {
                head = chunk;
                streamed = std::any_of(chunk.headers.begin(), chunk.headers.end(), [](const HttpHeader &header) {
                    return header.value == "text/event-stream";
                });
                if (streamed) {
                    this->writer.start(*chunk.status, chunk.headers, -1);
                }
            } else if (streamed) {
                this->writer.write(chunk.bytes);
            } else {
                head.bytes += chunk.bytes; // Given to the caller only when it is whole.
            }
        }
        if (open && !this->hasLease(address)) {
            channel->finish(false, "its lease has ended");
        }
        open = open && !this->writer.isAbandoned();
    }
    if (channel->failed && this->writer.isStarted()) {
        const Error lost{ErrorKind::NotReady, "the entry that ran the call was lost; send again", Ran::Unknown, 0};
        this->writer.write("event: error\ndata: " + errorJson(lost) + "\n\n");
    }
    if (channel->ended && !streamed && head.status) {
        this->writer.start(*head.status, head.headers, static_cast<std::int64_t>(head.bytes.size()));
        this->writer.write(head.bytes);
    }
    if (channel->ended || this->writer.isStarted()) {
        this->writer.end();
        return {};
    }
    const bool sent = this->context.loop.call([&]() {
        return channel->sent;
    });
    return fail(
        ErrorKind::NotReady, "the program's entry did not answer: " + channel->what, sent ? Ran::Unknown : Ran::No);
}

bool RequestForwarder::hasLease(const std::string &address) const
{
    const auto view = this->context.follower.views.get();
    return std::any_of(view->entries.begin(), view->entries.end(), [&](const EntryRecord &entry) {
        return entry.rpcAddress == address;
    });
}

} // namespace Chestnuthook
