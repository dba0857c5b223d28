/** @file header_codec_type.h  Platform-independent metadata of requests and responses, and the interface that converts
 * it from and to the header fields of a platform. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/error_type.h"
#include "deployment/configuration_type.h"
#include "http/http_message_type.h"

namespace Chestnuthook
{

/** Metadata that a client sends with a request. */
struct RequestMetadata
{
    std::string requestId; ///< Unique for each attempt of the client.
    std::optional<Milliseconds> timeLeft; ///< Time until the client's deadline.
    std::string key; ///< API key of the customer; empty if none was sent.
    std::string program; ///< Id of the program that the request belongs to; empty for none.
    std::string session; ///< Id of a sequence of turns within the program.
    std::optional<Milliseconds> programTimeLeft; ///< Time until the deadline of the whole program; negative if late.
    std::optional<std::uint64_t> programTokens; ///< Token budget of all turns of the program together.
    std::uint32_t promptTokens = 0; ///< Number of tokens in the prompt.
    std::uint32_t outputTokens = 0; ///< Maximum number of tokens that the turn generates.
    std::uint32_t expectedTokens = 0; ///< Likely number of generated tokens; 0 if the client doesn't say.
    std::uint32_t promptParts = 0; ///< Number of parts of the prompt that can be cached separately.
    std::string previousTurn; ///< Request id of the turn that the request continues; empty for none.
    std::string object; ///< Object that the request concerns; empty if the client doesn't say.
    std::string lastEventId; ///< Last event that the client received of a stream that it resumes.
    std::string resumedRequest; ///< Request id of the attempt that received the first event of that stream.
};

/** Metadata that the gateway adds to an attempt at an endpoint. */
struct ForwardingMetadata
{
    Milliseconds timeLeft{0}; ///< Time until the deadline of the endpoint.
    std::string endpointId; ///< Incarnation that the request is meant for; others at the same address refuse it.
    std::string customer; ///< Customer name; empty on open routes without a key.
    std::string lastEventId; ///< Event after which a stream is resumed; empty to start at its beginning.
    std::optional<unsigned> priority; ///< 0 is the highest; empty for the endpoint's default.
    std::size_t bodyBytes = 0; ///< Size of the forwarded body.
    bool hasBody = false; ///< The forwarded request has a body, which may be empty.
};

/** Load that an endpoint reports in its responses. */
struct EndpointLoad
{
    unsigned running = 0; ///< Requests being executed.
    unsigned waiting = 0; ///< Requests queued for a slot.
    unsigned slots = 0; ///< Maximum number of requests executed concurrently.
    unsigned pace = 0; ///< Time that work takes now, in percent of the usual; 0 if not reported.
};

/** Metadata that an endpoint sends with a response. */
struct ResponseMetadata
{
    std::string requestId; ///< Id of the request that this is the response to; empty if not sent.
    bool hasConflictingIds = false; ///< The response names several requests.
    bool isSigned = false; ///< The response has a signature, which only an endpoint that handled the request adds.
    bool notExecuted = false; ///< The endpoint did not execute the request and never will.
    std::optional<EndpointLoad> load; ///< Empty if not reported.
    bool isLeaving = false; ///< The endpoint shuts down soon.
    std::optional<Milliseconds> coldLeft; ///< How much longer the endpoint stays cold; empty if not reported.
    double limitPerSecond =
        0; ///< Requests per second that the endpoint takes from all gateways; 0 if it names no limit.
};

/** Reads and writes the header fields of a platform. */
class HeaderCodec
{
public:
    HeaderCodec() = default;
    HeaderCodec(const HeaderCodec &) = delete;
    HeaderCodec &operator=(const HeaderCodec &) = delete;
    virtual ~HeaderCodec() = default;

    /** Errors: BadRequest, naming the invalid field. */
    [[nodiscard]] virtual Result<RequestMetadata> readRequestMetadata(const RequestHead &head) const = 0;
    /** Converts the head of a client request for an endpoint. */
    [[nodiscard]] virtual RequestHead endpointRequestHead(
        const RequestHead &head, const ForwardingMetadata &metadata) const = 0;
    [[nodiscard]] virtual ResponseMetadata readResponseMetadata(const ResponseHead &head) const = 0;
    /** Converts the head of an endpoint's response for the client. */
    [[nodiscard]] virtual ResponseHead clientResponseHead(const ResponseHead &head) const = 0;
};

} // namespace Chestnuthook
