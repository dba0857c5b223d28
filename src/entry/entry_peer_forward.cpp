/** @file entry_peer_forward.cpp  Serves requests that other entries forward for programs that this entry owns, and the
 * results of calls that were started at a previous owner. */
#include <atomic>
#include <memory>
#include <utility>

#include "entry/entry_peer_base.h"
#include "entry/program_service_base.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

/** Shared by the RPC on the control thread and the worker that serves it. */
struct ForwardedCall
{
    kj::Maybe<Wire::AnswerSink::Client> sink; ///< Receives the response; for the control thread.
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> done; ///< Completes the RPC; for the control thread.
    std::atomic<bool> abandoned = false; ///< The other entry no longer reads the response.
};

/** Sends the response to the entry that forwarded the request. */
class PeerResponseWriter final : public ResponseWriter
{
public:
    PeerResponseWriter(EntryContext &entry, std::shared_ptr<ForwardedCall> call)
        : entry(entry)
        , call(std::move(call))
    {
    }

    void start(int status, const std::vector<HttpHeader> &headers, std::int64_t /*length*/) override
    {
        this->started = true;
        this->send([&](Wire::AnswerSink::Client &sink) {
            auto request = sink.startRequest();
            request.setStatus(static_cast<std::uint16_t>(status));
            auto list = request.initHeaders(static_cast<unsigned>(headers.size()));
            for (unsigned i = 0; i < list.size(); ++i) {
                list[i].setName(headers[i].name);
                list[i].setValue(headers[i].value);
            }
            return request.send().ignoreResult();
        });
    }
    bool write(std::string_view bytes) override
    {
        this->send([&](Wire::AnswerSink::Client &sink) {
            auto request = sink.writeRequest();
            request.setBytes(dataOf(bytes));
            return request.send().ignoreResult();
        });
        return !this->isAbandoned();
    }
    void end() override
    {
        this->send([](Wire::AnswerSink::Client &sink) {
            return sink.endRequest().send().ignoreResult();
        });
    }
    bool isAbandoned() override
    {
        return this->call->abandoned;
    }
    [[nodiscard]] bool isStarted() const override
    {
        return this->started;
    }

private:
    template<typename Send>
    void send(const Send &sendTo)
    {
        this->entry.loop.call([&]() -> kj::Promise<void> {
            KJ_IF_MAYBE (sink, this->call->sink) {
                return sendTo(*sink).catch_([call = this->call](kj::Exception && /*exception*/) {
                    call->abandoned = true;
                });
            }
            return kj::READY_NOW;
        });
    }

    EntryContext &entry; ///< Outlives this.
    std::shared_ptr<ForwardedCall> call; ///< The RPC that forwarded the request.
    bool started = false; ///< The status and headers were sent.
};

void serveForwarded(EntryContext &entry, const std::shared_ptr<ForwardedCall> &call, const ClientRequest &request)
{
    kj::Maybe<kj::Exception> failure;
    try {
        PeerResponseWriter writer(entry, call);
        ProgramService service(entry, writer, request);
        const Result<void> checked = service.check();
        if (!checked) {
            replyError(writer, checked.error());
        } else if (service.isLocal()) {
            service.serve();
        } else {
            failure = KJ_EXCEPTION(FAILED, "not_ready: the program has moved");
        }
    } catch (const std::exception &exception) {
        failure = KJ_EXCEPTION(FAILED, "internal", exception.what());
    }
    entry.loop.call([&]() {
        call->sink = nullptr;
        KJ_IF_MAYBE (done, call->done) {
            KJ_IF_MAYBE (exception, failure) {
                (*done)->reject(kj::mv(*exception));
            } else {
                (*done)->fulfill();
            }
        }
        call->done = nullptr;
    });
    --entry.openRequests;
}

} // namespace

kj::Promise<void> EntryPeerServer::forward(ForwardContext context)
{
    auto call = std::make_shared<ForwardedCall>();
    call->sink = context.getParams().getSink();
    auto paf = kj::newPromiseAndFulfiller<void>();
    call->done = kj::mv(paf.fulfiller);
    ClientRequest request = readRequest(context.getParams().getRequest());
    context.allowCancellation();
    ++this->entry.openRequests;
    const Result<void> started = this->entry.workers.run([&entry = this->entry, call, request = std::move(request)]() {
        serveForwarded(entry, call, request);
    });
    if (!started) {
        --this->entry.openRequests;
        KJ_FAIL_REQUIRE("overloaded: no thread is free");
    }
    return paf.promise.attach(kj::defer([call]() {
        call->abandoned = true;
    }));
}

kj::Promise<void> EntryPeerServer::struck(StruckContext context)
{
    const auto params = context.getParams();
    this->entry.quarantine.addRecentStrike(textOf(params.getFingerprint()), EndpointId{textOf(params.getEndpoint())});
    return kj::READY_NOW;
}

kj::Promise<void> EntryPeerServer::result(ResultContext context)
{
    const auto params = context.getParams();
    return this->entry.programs
        .commitResult(ProgramId{textOf(params.getProgram())}, readCall(params.getCall()), params.getCovered())
        .then([context](Result<void> &&done) mutable {
            if (!done) {
                writeFailure(context.getResults().initFailure(), done.error());
            }
        });
}

} // namespace Chestnuthook
