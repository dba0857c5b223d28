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

/** What callers and operators see of an ErrorKind. */
struct ErrorRow
{
    ErrorKind kind; ///< The kind; rows stand in the order of the enumerators.
    std::string_view code; ///< Stable text for programs.
    int httpStatus; ///< Status of the answer.
    int exitCode; ///< Exit code of a process that ends of it.
    std::string_view message; ///< What went wrong.
    std::string_view remedy; ///< What to do about it.
};

template<>
struct NameTable<Ran>
{
    static constexpr auto Rows =
        std::to_array<NameRow<Ran>>({{Ran::No, "no"}, {Ran::Yes, "yes"}, {Ran::Unknown, "unknown"}});
};
static_assert(isNameTableWhole(Ran::Unknown));

[[nodiscard]] const ErrorRow &errorRow(ErrorKind kind);
/** The kind with this code; empty where there is none. */
[[nodiscard]] std::optional<ErrorKind> errorKindOf(std::string_view code);
/** `code: message: what; remedy: …`. */
[[nodiscard]] std::string errorText(const Error &error);

} // namespace Chestnuthook
