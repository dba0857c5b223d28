/** @file error_table.h  Code, HTTP status, exit code, message and remedy of each kind of error. */
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "core/error_type.h"
#include "core/name_table_type.h"

namespace Chestnuthook
{

/** How an ErrorKind is reported to clients and operators. */
struct ErrorRow
{
    ErrorKind kind; ///< The kind; rows are in the order of the enumerators.
    std::string_view code; ///< Stable machine-readable code.
    int httpStatus; ///< Status of the HTTP response.
    int exitCode; ///< Exit code of a process that ends because of the error.
    std::string_view message; ///< What went wrong.
    std::string_view remedy; ///< What the client or operator should do.
};

template<>
struct NameTable<Ran>
{
    static constexpr auto Rows =
        std::to_array<NameRow<Ran>>({{Ran::No, "no"}, {Ran::Yes, "yes"}, {Ran::Unknown, "unknown"}});
};
static_assert(isNameTableWhole(Ran::Unknown));

[[nodiscard]] const ErrorRow &errorRow(ErrorKind kind);
/** The kind whose code is @p code; empty if there is none. */
[[nodiscard]] std::optional<ErrorKind> errorKindOf(std::string_view code);
/** Formats @p error as `code: message: what; remedy: …`. */
[[nodiscard]] std::string errorText(const Error &error);

} // namespace Chestnuthook
