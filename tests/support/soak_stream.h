/** @file soak_stream.h  A resumable stream as one client receives it over several attempts. */
#pragma once

#include <string>

namespace Chestnuthook::Testing
{

/** Collects the events of a stream and checks them. */
class SoakStream
{
public:
    /** @p id is the request body, which each event repeats; @p events is the number of events. */
    SoakStream(std::string id, std::size_t events);

    /** Fields that resume the stream after the last event; none before the first one. */
    [[nodiscard]] std::string resumeFields() const;

    /** Adds the response body that the attempt with request id @p attempt received.
     * @return the guarantee that it violates; empty if it violates none. */
    std::string addResponse(const std::string &attempt, const std::string &body);

    /** Number of whole events in @p body. */
    [[nodiscard]] static std::size_t countEvents(const std::string &body);

    const std::string id; ///< Name of the stream.
    const std::size_t events; ///< Number of events of the whole stream.
    std::size_t received = 0; ///< Number of events received in order.
    std::string version; ///< Software version of the first event; empty before it.
    std::string output; ///< Data of the events received, each followed by a line feed.

private:
    std::string firstAttempt; ///< Request id of the attempt that brought the first event.
};

} // namespace Chestnuthook::Testing
