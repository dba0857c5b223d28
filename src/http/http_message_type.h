/** @file http_message_type.h  Value types for the heads of HTTP/1.1 requests and responses. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/name_table_type.h"

namespace Chestnuthook
{

/** Status codes that this system sends or handles specially. */
namespace HttpStatus
{
constexpr unsigned Ok = 200;
constexpr unsigned TemporaryRedirect = 307;
constexpr unsigned BadRequest = 400;
constexpr unsigned Unauthorized = 401;
constexpr unsigned NotFound = 404;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned Conflict = 409;
constexpr unsigned BodyTooLarge = 413;
constexpr unsigned Misdirected = 421;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned HeaderTooLarge = 431;
constexpr unsigned FirstServerError = 500;
constexpr unsigned InternalError = 500;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;
} // namespace HttpStatus

/** Compares two field names, ignoring case. */
[[nodiscard]] bool isSameFieldName(std::string_view left, std::string_view right);

/** The header fields of a message, in the order in which they were received or added. */
class HttpFields
{
public:
    struct Field
    {
        std::string name; ///< In the case in which it was received.
        std::string value; ///< Without leading and trailing white space.
    };

    void add(std::string name, std::string value)
    {
        this->entries.push_back(Field{std::move(name), std::move(value)});
    }
    /** Removes all fields named @p name. */
    void remove(std::string_view name);
    /** Removes the hop-by-hop fields: Connection, the fields that it names, Keep-Alive, Transfer-Encoding and so on.
     * Content-Length is kept. */
    void removeHopByHop();
    /** Value of the first field named @p name, or null if there is none. */
    [[nodiscard]] const std::string *find(std::string_view name) const;

    std::vector<Field> entries; ///< In message order.
};

struct RequestHead
{
    std::string method; ///< For example GET.
    std::string target; ///< Request target: path and query, still percent-encoded.
    HttpFields fields;
    bool keepAlive = true; ///< The sender keeps the connection open after the response.

    /** The request target without its query. */
    [[nodiscard]] std::string_view path() const;
    /** Percent-decoded value of the query parameter @p name; empty if there is none. */
    [[nodiscard]] std::string queryParameter(std::string_view name) const;
};

/** How the end of a body is shown. */
enum class BodyFraming : std::uint8_t {
    Length, ///< By its declared length; also if there is no body.
    Chunks, ///< By the last chunk.
    Close, ///< By the end of the connection.
};

template<>
struct NameTable<BodyFraming>
{
    static constexpr auto Rows = std::to_array<NameRow<BodyFraming>>(
        {{BodyFraming::Length, "length"}, {BodyFraming::Chunks, "chunks"}, {BodyFraming::Close, "close"}});
};
static_assert(isNameTableWhole(BodyFraming::Close));

struct ResponseHead
{
    unsigned status = 0; ///< For example 200.
    std::string reason; ///< Reason phrase; empty for the standard one of the status.
    HttpFields fields;
    bool keepAlive = true; ///< The connection may be reused after the body.
    BodyFraming framing = BodyFraming::Length; ///< How the end of the body is shown.
    std::optional<std::size_t> contentLength; ///< Empty for chunked bodies and those that end at the close.
};

/** Standard reason phrase of @p status. */
[[nodiscard]] std::string_view reasonPhrase(unsigned status);

/** Serializes a message head, including the empty line that ends it. */
[[nodiscard]] std::string formatHead(const RequestHead &head);
[[nodiscard]] std::string formatHead(const ResponseHead &head);
/** Encodes @p data as one chunk of a chunked body. */
[[nodiscard]] std::string formatChunk(std::string_view data);
/** Terminator of a chunked body. */
constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace Chestnuthook
