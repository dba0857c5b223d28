/** @file request_intake_base.h  Reads one request within the limits of size, time and memory. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include <kj/async-io.h>

#include "core/timer_base.h"
#include "http/http_reader_base.h"
#include "http/request_memory_base.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

/** Size limits and timeouts of a connection. */
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16384; ///< Of the request line and all fields together.
    std::size_t maxBodyBytes = 4U << 20U; ///< Of a request body.
    Duration headerTimeout = std::chrono::seconds(3); ///< From the first byte of a request to the end of its head.
    Duration bodyTimeout = std::chrono::seconds(10); ///< From the end of the head to the end of the body.
    Duration idleTimeout = std::chrono::seconds(15); ///< From the end of a response to the next request.
};

/** What is to be done with a large body. */
struct BodyPlan
{
    bool isNeeded = true; ///< The handler uses the body. Otherwise it isn't read.
    Duration maxWait = std::chrono::seconds(5); ///< While memory is short, the body may wait so long altogether.
};

/** Decides from the head what is done with a body of more than SmallBodyBytes. Empty if all bodies are needed. */
using BodyPlanner = std::function<BodyPlan(const RequestHead &)>;

/** Planner of ports whose requests need no body. */
[[nodiscard]] inline BodyPlan dropBody(const RequestHead & /*head*/)
{
    BodyPlan plan;
    plan.isNeeded = false;
    return plan;
}

/** Must be used on the control thread only. */
class RequestIntake
{
public:
    /** Ordinary bodies have 2 to 13 KB. Larger ones than this are large: whether they are needed is decided before they
     * are read, and they may have to wait for memory. */
    static constexpr std::size_t SmallBodyBytes = 64U << 10U;

    /** All parameters must outlive this object. */
    RequestIntake(ControlLoop &loop, kj::AsyncIoStream &stream, HttpInputStream &input, RequestMemory::Share &share,
        const HttpLimits &limits, const BodyPlanner &planner);
    ~RequestIntake();
    RequestIntake(const RequestIntake &) = delete;
    RequestIntake &operator=(const RequestIntake &) = delete;

    /** Reads the request. Interrupted means that there was no memory for it. @p headAt is set when the head was read.
     */
    [[nodiscard]] HttpReadResult read(kj::WaitScope &scope, RequestHead &head, std::string &body, Instant &headAt);
    /** The body is large and not needed, so that it wasn't read to its end. */
    [[nodiscard]] bool isBodyDropped() const
    {
        return this->bodyDropped;
    }

private:
    [[nodiscard]] HttpReadResult readBody(kj::WaitScope &scope, const RequestHead &head, std::string &body);
    /** Asks the planner, and claims memory for a body of @p bodyBytes. @return false if it isn't to be read. */
    [[nodiscard]] bool beginLargeBody(kj::WaitScope &scope, const RequestHead &head, std::uint64_t bodyBytes);
    [[nodiscard]] bool continueBody(kj::WaitScope &scope, const RequestHead &head, std::size_t bodyBytes);
    /** Repeats the claim while the answer is Wait. */
    [[nodiscard]] bool claim(kj::WaitScope &scope, std::size_t bytes);
    /** Sets the time by which more of the body must arrive. */
    void updateDeadline();
    [[nodiscard]] Instant now() const
    {
        return this->loop.timers().now();
    }

    ControlLoop &loop;
    kj::AsyncIoStream &stream;
    HttpInputStream &input;
    RequestMemory::Share &share;
    const HttpLimits &limits;
    const BodyPlanner &planner;
    HttpRequestReader reader;
    std::uint64_t startBytes; ///< Bytes received on the connection before the request.
    std::size_t headBytes = 0; ///< Memory of the head.
    std::size_t claimedBytes = 0; ///< Claimed for a large body.
    bool isLarge = false; ///< The body is large and is kept.
    bool bodyDropped = false; ///< See `isBodyDropped`.
    Duration waitLeft{0}; ///< The body may wait so much longer for memory.
    Instant bodyDeadline{0}; ///< When the body must be complete.
    Instant windowStart{0}; ///< Begin of the period in which a minimum of bytes must arrive.
    std::uint64_t windowBytes = 0; ///< Bytes of the request that had arrived at `windowStart`.
};

/** Size of the kernel's receive buffer of a connection, except while a large body is read. What has arrived counts as
 * memory of the process. Ordinary requests of 2 to 13 KB fit. */
constexpr int SmallReceiveBufferBytes = 32 << 10;

/** Sets the size of the kernel's receive buffer of @p stream, of which the kernel uses up to twice as much memory. */
void setReceiveBuffer(kj::AsyncIoStream &stream, int bytes);

} // namespace Chestnuthook
