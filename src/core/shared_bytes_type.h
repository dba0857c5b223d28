/** @file shared_bytes_type.h  Immutable bytes whose copies share their memory. */
#pragma once

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace Chestnuthook
{

/** May be copied and destroyed on any thread. */
class SharedBytes
{
public:
    SharedBytes() = default;
    SharedBytes(std::string content)
        : content(content.empty() ? nullptr : std::make_shared<const std::string>(std::move(content)))
    {
    }
    /** @p compressed is @p content in the zlib format, for whoever sends it on. */
    SharedBytes(std::string content, std::string compressed)
        : SharedBytes(std::move(content))
    {
        this->compressedContent = std::make_shared<const std::string>(std::move(compressed));
    }
    SharedBytes(const char *content)
        : SharedBytes(std::string(content))
    {
    }

    [[nodiscard]] const std::string &str() const
    {
        static const std::string None;
        return this->content == nullptr ? None : *this->content;
    }
    [[nodiscard]] std::size_t size() const
    {
        return this->str().size();
    }
    /** The bytes in the zlib format; empty if nobody has compressed them. Not part of the value. */
    [[nodiscard]] const std::string &compressed() const
    {
        static const std::string None;
        return this->compressedContent == nullptr ? None : *this->compressedContent;
    }
    operator std::string_view() const
    {
        return this->str();
    }

    friend bool operator==(const SharedBytes &left, const SharedBytes &right)
    {
        return left.content == right.content || left.str() == right.str();
    }
    friend std::ostream &operator<<(std::ostream &stream, const SharedBytes &bytes)
    {
        return stream << bytes.str();
    }

private:
    std::shared_ptr<const std::string> content; ///< Null if there are no bytes.
    std::shared_ptr<const std::string> compressedContent; ///< See `compressed`; null if nobody has compressed them.
};

} // namespace Chestnuthook
