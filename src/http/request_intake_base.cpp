/** @file request_intake_base.cpp  Reading of a request, with claims for its memory and a minimum transfer rate. */
#include "http/request_intake_base.h"

#include <algorithm>

#include <sys/socket.h>

namespace Chestnuthook
{

namespace
{

/** A handled request takes its body and a copy of it that is sent to the endpoint. */
constexpr std::size_t CopiesOfBody = 2;
/** Receive buffer while a large body is read. With 32 KB a body of 4 MB would take 128 round trips. */
constexpr int LargeReceiveBufferBytes = 128 << 10;
/** Memory of that buffer; the kernel doubles the size that is set. */
constexpr std::size_t LargeReceiveBufferMemory = 2UL * LargeReceiveBufferBytes;
/** So many bytes of a body must arrive in each window. A body of 13 KB within the time-out of 10 s has 1.3 KB/s. */
constexpr std::uint64_t MinWindowBytes = 1U << 10U;
constexpr Duration TransferWindow = std::chrono::seconds(3);
/** Between two claims while memory is short. */
constexpr auto ClaimInterval = 20 * kj::MILLISECONDS;

} // namespace

void setReceiveBuffer(kj::AsyncIoStream &stream, int bytes)
{
    try {
        stream.setsockopt(SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    } catch (const kj::Exception & /*exception*/) {
        return; // The connection was reset, or the stream isn't a socket.
    }
}

RequestIntake::RequestIntake(ControlLoop &loop, kj::AsyncIoStream &stream, HttpInputStream &input,
    RequestMemory::Share &share, const HttpLimits &limits, const BodyPlanner &planner)
    : loop(loop)
    , stream(stream)
    , input(input)
    , share(share)
    , limits(limits)
    , planner(planner)
    , reader(input, limits.maxHeaderBytes, limits.maxBodyBytes)
    , startBytes(input.consumedBytes())
{
    this->share.beginRequest(this->now());
}

RequestIntake::~RequestIntake()
{
    if (this->isLarge) {
        setReceiveBuffer(this->stream, SmallReceiveBufferBytes);
    }
}

HttpReadResult RequestIntake::read(kj::WaitScope &scope, RequestHead &head, std::string &body, Instant &headAt)
{
    kj::Timer &timer = this->loop.kjTimer();
    this->input.setDeadline(timer, timer.now() + kjDuration(this->limits.headerTimeout));
    HttpReadResult result = this->reader.readHead(scope, head, [this](std::size_t bytes) {
        this->share.recordProgress(this->now(), this->input.receivedBytes() - this->startBytes);
        return this->share.claim(this->now(), bytes) == RequestMemory::Room::Granted;
    });
    headAt = this->now();
    if (result == HttpReadResult::Done) {
        result = this->readBody(scope, head, body);
    }
    return this->share.isEvicted() ? HttpReadResult::Interrupted : result;
}

HttpReadResult RequestIntake::readBody(kj::WaitScope &scope, const RequestHead &head, std::string &body)
{
    this->headBytes = static_cast<std::size_t>(this->input.consumedBytes() - this->startBytes)
        + head.fields.entries.size() * sizeof(HttpFields::Field);
    this->windowStart = this->now();
    this->windowBytes = this->input.receivedBytes();
    this->bodyDeadline = this->windowStart + this->limits.bodyTimeout;
    this->updateDeadline();
    const std::uint64_t declaredBytes = this->reader.declaredBodyBytes().value_or(0);
    if (declaredBytes > SmallBodyBytes && !this->beginLargeBody(scope, head, declaredBytes)) {
        return this->bodyDropped ? HttpReadResult::Done : HttpReadResult::Interrupted;
    }
    const HttpReadResult result = this->reader.readBody(scope, body, [&](std::size_t bodyBytes) {
        return this->continueBody(scope, head, bodyBytes);
    });
    if (this->bodyDropped) {
        body = std::string();
        return HttpReadResult::Done;
    }
    if (result == HttpReadResult::Done && !this->claim(scope, this->headBytes + CopiesOfBody * body.size())) {
        return HttpReadResult::Interrupted;
    }
    return result;
}

bool RequestIntake::beginLargeBody(kj::WaitScope &scope, const RequestHead &head, std::uint64_t bodyBytes)
{
    const BodyPlan plan = this->planner ? this->planner(head) : BodyPlan();
    if (!plan.isNeeded) {
        this->bodyDropped = true;
        return false;
    }
    this->waitLeft = plan.maxWait;
    this->claimedBytes = this->headBytes + LargeReceiveBufferMemory + CopiesOfBody * bodyBytes;
    if (!this->claim(scope, this->claimedBytes)) {
        return false;
    }
    this->isLarge = true;
    setReceiveBuffer(this->stream, LargeReceiveBufferBytes);
    return true;
}

bool RequestIntake::continueBody(kj::WaitScope &scope, const RequestHead &head, std::size_t bodyBytes)
{
    const std::uint64_t receivedBytes = this->input.receivedBytes();
    this->share.recordProgress(this->now(), receivedBytes - this->startBytes);
    if (receivedBytes - this->windowBytes >= MinWindowBytes) {
        this->windowStart = this->now();
        this->windowBytes = receivedBytes;
    }
    this->updateDeadline();
    const std::size_t heldBytes = bodyBytes + this->input.bufferedBytes();
    if (!this->isLarge && bodyBytes <= SmallBodyBytes) {
        return this->claim(scope, this->headBytes + heldBytes);
    }
    if (!this->isLarge) { // A chunked body.
        return this->beginLargeBody(scope, head, CopiesOfBody * heldBytes);
    }
    if (this->headBytes + LargeReceiveBufferMemory + CopiesOfBody * heldBytes > this->claimedBytes) {
        // Copies while the string grows count too. The claim grows in steps, as the string does.
        this->claimedBytes = this->headBytes + LargeReceiveBufferMemory
            + CopiesOfBody * std::min(2 * heldBytes, this->limits.maxBodyBytes + this->input.bufferedBytes());
        return this->claim(scope, this->claimedBytes);
    }
    return !this->share.isEvicted();
}

bool RequestIntake::claim(kj::WaitScope &scope, std::size_t bytes)
{
    const Instant start = this->now();
    RequestMemory::Room room = this->share.claim(start, bytes);
    while (room == RequestMemory::Room::Wait && this->now() - start < this->waitLeft) {
        this->loop.kjTimer().afterDelay(ClaimInterval).wait(scope);
        this->share.recordProgress(this->now(), this->input.receivedBytes() - this->startBytes);
        room = this->share.claim(this->now(), bytes);
    }
    const Duration waited = this->now() - start;
    if (waited.count() != 0) {
        this->waitLeft -= std::min(waited, this->waitLeft);
        this->windowStart += waited;
        this->bodyDeadline += waited;
        this->updateDeadline();
    }
    return room == RequestMemory::Room::Granted;
}

void RequestIntake::updateDeadline()
{
    const Instant deadline = std::min(this->bodyDeadline, this->windowStart + TransferWindow);
    kj::Timer &timer = this->loop.kjTimer();
    this->input.setDeadline(timer, timer.now() + kjDuration(deadline - this->now()));
}

} // namespace Chestnuthook
