/** @file http_message_type.cpp  Header fields, and formatting of HTTP/1.1 message heads. */
#include "http/http_message_type.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <Poco/URI.h>

namespace Chestnuthook
{

namespace
{

constexpr auto HopByHopFieldNames = std::to_array<std::string_view>({"connection", "keep-alive", "proxy-connection",
    "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect"});

void formatFields(std::string &text, const HttpFields &fields)
{
    for (const auto &[name, value] : fields.entries) {
        text += name;
        text += ": ";
        text += value;
        text += "\r\n";
    }
    text += "\r\n";
}

} // namespace

bool isSameFieldName(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
    });
}

void HttpFields::remove(std::string_view name)
{
    std::erase_if(this->entries, [name](const Field &field) {
        return isSameFieldName(field.name, name);
    });
}

void HttpFields::removeHopByHop()
{
    if (const std::string *connection = this->find("Connection")) {
        constexpr int Options = Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY;
        for (const std::string &name : Poco::StringTokenizer(*connection, ",", Options)) {
            this->remove(name);
        }
    }
    for (const std::string_view name : HopByHopFieldNames) {
        this->remove(name);
    }
}

const std::string *HttpFields::find(std::string_view name) const
{
    const auto field = std::find_if(this->entries.begin(), this->entries.end(), [name](const Field &candidate) {
        return isSameFieldName(candidate.name, name);
    });
    return field == this->entries.end() ? nullptr : &field->value;
}

std::string_view RequestHead::path() const
{
    return std::string_view(this->target).substr(0, this->target.find('?'));
}

std::string RequestHead::queryParameter(std::string_view name) const
{
    const std::size_t at = this->target.find('?');
    if (at == std::string::npos) {
        return {};
    }
    for (const std::string &pair : Poco::StringTokenizer(this->target.substr(at + 1), "&")) {
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos && std::string_view(pair).substr(0, equals) == name) {
            std::string value;
            Poco::URI::decode(pair.substr(equals + 1), value, true);
            return value;
        }
    }
    return {};
}

std::string_view reasonPhrase(unsigned status)
{
    return Poco::Net::HTTPResponse::getReasonForStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

std::string formatHead(const RequestHead &head)
{
    std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
    formatFields(text, head.fields);
    return text;
}

std::string formatHead(const ResponseHead &head)
{
    const std::string_view reason = head.reason.empty() ? reasonPhrase(head.status) : std::string_view(head.reason);
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " " + std::string(reason) + "\r\n";
    formatFields(text, head.fields);
    return text;
}

std::string formatChunk(std::string_view data)
{
    std::array<char, 24> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    std::string chunk(size.data(), static_cast<std::size_t>(length));
    chunk += data;
    chunk += "\r\n";
    return chunk;
}

} // namespace Chestnuthook
