/** @file http_message_type.h  Heads of HTTP/1.1 messages as plain values. */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chestnuthook
{

/** Statuses that our programs give by themselves or tell apart. */
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
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;
} // namespace HttpStatus

/** Whether two field names are the same; case doesn't count. */
[[nodiscard]] bool isSameFieldName(std::string_view left, std::string_view right);

/** The fields of a head in their order. */
class HttpFields
{
public:
    struct Row
    {
        std::string name; ///< As it was sent.
        std::string value; ///< Without blanks around it.
    };

    void add(std::string name, std::string value)
    {
        this->rows.push_back(Row{std::move(name), std::move(value)});
    }
    /** Removes all fields called @p name. */
    void remove(std::string_view name);
    /** Removes fields that concern one connection: Connection, those that it names, Keep-Alive, Transfer-Encoding and
     * the like. Content-Length stays. */
    void removeHopByHop();
    /** The first value of @p name; null where there is none. */
    [[nodiscard]] const std::string *find(std::string_view name) const;

    std::vector<Row> rows; ///< In order.
};

struct RequestHead
{
    std::string method; ///< Such as GET.
    std::string target; ///< Path and query, as sent.
    HttpFields fields; ///< All of them.
    bool keepAlive = true; ///< Whether the sender keeps the connection.

    /** The target without its query. */
    [[nodiscard]] std::string_view path() const;
    /** Value of the query parameter @p name, percent-decoded; empty where there is none. */
    [[nodiscard]] std::string parameter(std::string_view name) const;
};

struct ResponseHead
{
    unsigned status = 0; ///< Such as 200.
    std::string reason; ///< Phrase beside the status.
    HttpFields fields; ///< All of them.
    bool keepAlive = true; ///< Whether the connection may be used again after the body.
    bool endsWithConnection = false; ///< The body has no length.
    std::optional<std::size_t> length; ///< Content-Length.
};

/** The phrase for @p status. */
[[nodiscard]] std::string_view reasonPhrase(unsigned status);

/** The head as it goes on the wire. */
[[nodiscard]] std::string formatHead(const RequestHead &head);
[[nodiscard]] std::string formatHead(const ResponseHead &head);
/** @p data as one chunk of a chunked body. */
[[nodiscard]] std::string formatChunk(std::string_view data);
/** Ends a chunked body. */
constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace Chestnuthook
