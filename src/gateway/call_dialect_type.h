/** @file call_dialect_type.h  A call as the gateway sees it, and the interface that reads and writes it in the words of
 * a platform. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/error_type.h"
#include "deployment/configuration_type.h"
#include "http/http_message_type.h"

namespace Chestnuthook
{

/** What a caller says of its request. */
struct CallFacts
{
    std::string requestId; ///< Unique for each attempt of the caller.
    std::optional<Milliseconds> timeLeft; ///< How long the caller waits.
    std::string key; ///< Secret of the customer; empty where none came.
    std::string program; ///< Program that it is part of; empty for none.
    std::string session; ///< Line of turns within the program.
    std::optional<Milliseconds> programTimeLeft; ///< Until the program should be finished.
    std::optional<std::uint64_t> programTokens; ///< That all turns of the program may generate.
    std::uint32_t promptTokens = 0; ///< Of the prompt.
    std::uint32_t outputTokens = 0; ///< The most that the turn generates.
    std::uint32_t promptParts = 0; ///< Parts of the prompt that may be cached each by itself.
    std::string previousTurn; ///< Request id of the turn that it continues; empty for none.
    std::string lastEventId; ///< Last event that the caller holds of a resumed stream.
};

/** What the gateway adds for one attempt at an endpoint. */
struct ForwardFacts
{
    Milliseconds timeLeft{0}; ///< Until the endpoint should stop.
    std::string endpointId; ///< Another incarnation refuses the request.
    std::string customer; ///< Whose request it is; empty on open routes without a key.
    std::string lastEventId; ///< Where a stream goes on; empty at its start.
    std::optional<unsigned> urgency; ///< 0 is first; empty for the standard.
    std::size_t bodyBytes = 0; ///< Of the body.
    bool hasBody = false; ///< Whether the caller sent one.
};

/** Work of an endpoint as it told with an answer. */
struct EndpointLoad
{
    unsigned running = 0; ///< Requests that run.
    unsigned waiting = 0; ///< Requests that wait for a slot.
    unsigned slots = 0; ///< Requests that it runs at once.
};

/** What an endpoint's answer says beside its content. */
struct AnswerFacts
{
    std::string requestId; ///< Of the request that it answers; empty where it doesn't say.
    bool isSigned = false; ///< Comes from an endpoint that handled the request.
    bool notRun = false; ///< The endpoint did not and will not run the request.
    std::optional<EndpointLoad> load; ///< Where it told.
};

/** Reads and writes a platform's fields. One for the whole process. */
class CallDialect
{
public:
    CallDialect() = default;
    CallDialect(const CallDialect &) = delete;
    CallDialect &operator=(const CallDialect &) = delete;
    virtual ~CallDialect() = default;

    /** Errors: BadRequest, naming the field. */
    [[nodiscard]] virtual Result<CallFacts> readCall(const RequestHead &head) const = 0;
    /** The head for an endpoint. */
    [[nodiscard]] virtual RequestHead forwardHead(const RequestHead &head, const ForwardFacts &facts) const = 0;
    [[nodiscard]] virtual AnswerFacts readAnswer(const ResponseHead &head) const = 0;
    /** The head for the caller. */
    [[nodiscard]] virtual ResponseHead answerHead(const ResponseHead &head) const = 0;
};

} // namespace Chestnuthook
