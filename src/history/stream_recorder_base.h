/** @file stream_recorder_base.h  Tells history members the events of a stream before its client gets them, so that the
 * client can resume the stream at any gateway and its turn is kept with all events. */
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <kj/async.h>

#include "core/timer_type.h"
#include "history/history_client_base.h"
#include "history/stream_resumption_func.h"

namespace Chestnuthook
{

/** Writes the events of one branch. Blocking calls are for fibers of the control thread. */
class StreamRecorder
{
public:
    /** @p stream names the request that began the stream, @p request the one whose events are recorded. */
    StreamRecorder(HistoryClient &history, StreamKey stream, std::string request);
    /** Withdraws a resumption that has brought no event. */
    ~StreamRecorder();
    StreamRecorder(const StreamRecorder &) = delete;
    StreamRecorder &operator=(const StreamRecorder &) = delete;

    /** Tells the members that the stream begins, without waiting for them.
     * @param turn see `turnHash`. @param ttl time after which the stream isn't resumed any more. */
    void begin(std::uint64_t turn, Duration ttl);
    /** Finds the events that the client has, and records that this request goes on after them. A resumption that a
     * majority doesn't accept by @p until is withdrawn. */
    [[nodiscard]] tl::expected<StreamBeginning, ResumptionDoubt> resume(
        kj::WaitScope &scope, std::uint64_t turn, const std::string &lastEventId, Instant until);
    /** Sends events to the members. */
    void add(const std::vector<StreamPiece> &pieces);
    /** Waits until one member holds all events that were added, at most MaxHeldWait, and not again before one has
     * caught up. If the gateway ends while all are behind, the stream can't be resumed. */
    void awaitHeld(kj::WaitScope &scope);

private:
    /** An event is delayed for this long at most. */
    static constexpr Duration MaxHeldWait = std::chrono::milliseconds(30);
    /** A member with more unacknowledged bytes gets no more events of the stream. */
    static constexpr std::size_t MaxUnheldBytes = 128U << 10U;

    struct Holder;
    struct State;
    using HolderPtr = std::shared_ptr<Holder>;

    /** Sends a call to @p holder, which counts as lost if it fails. @param send takes a store and returns the promise
     * of whether the member holds what it was sent. @param whenHeld is called if it does. */
    template<typename Send, typename WhenHeld>
    void call(const HolderPtr &holder, Send send, WhenHeld whenHeld);
    /** Asks all members once for the stream. */
    [[nodiscard]] tl::expected<StreamBeginning, ResumptionDoubt> ask(
        kj::WaitScope &scope, std::uint64_t turn, const std::string &lastEventId, Instant until);
    /** Whether a member holds the first @p count events. */
    [[nodiscard]] bool isHeldBySome(std::size_t count) const;
    /** Waits until @p isDone or the state doesn't change any more, at most until @p until. */
    template<typename IsDone>
    void wait(kj::WaitScope &scope, Instant until, IsDone isDone);

    HistoryClient &history; ///< Must outlive this object.
    const StreamKey stream; ///< See the constructor.
    const std::string request; ///< See the constructor.
    std::shared_ptr<State> state; ///< Shared with the calls in flight.
    std::size_t added = 0; ///< Number of events of the stream so far.
    std::size_t awaitedInVain = 0; ///< Value of `added` when no member was in time; 0 for never.
    bool isResumption = false; ///< Members may hold the resumption.
    bool hasNewEvents = false; ///< Events were added by this request.
};

} // namespace Chestnuthook
