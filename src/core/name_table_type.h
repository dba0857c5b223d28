/** @file name_table_type.h  Conversion between the enumerators of `enum class` types and their names. */
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Chestnuthook
{

/** An enumerator and its name in texts and on the wire. */
template<typename Enum>
struct NameRow
{
    Enum value; ///< The enumerator.
    std::string_view name; ///< Its name; unique within the table.
};

/** Specialise with `static constexpr auto Rows = std::to_array<NameRow<Enum>>({…});`, one row per enumerator. */
template<typename Enum>
struct NameTable;

/** Whether there is one row per enumerator from 0 to @p last, in order and with unique names; for static_assert. */
template<typename Enum>
[[nodiscard]] constexpr bool isNameTableWhole(Enum last)
{
    const auto &rows = NameTable<Enum>::Rows;
    if (rows.size() != static_cast<std::size_t>(last) + 1) {
        return false;
    }
    for (std::size_t i = 0; i < rows.size(); ++i) {
        if (static_cast<std::size_t>(rows[i].value) != i || rows[i].name.empty()) {
            return false;
        }
        for (std::size_t j = 0; j < i; ++j) {
            if (rows[j].name == rows[i].name) {
                return false;
            }
        }
    }
    return true;
}

/** The name of @p value; `unknown` if it has no row. */
template<typename Enum>
[[nodiscard]] constexpr std::string_view nameOf(Enum value)
{
    for (const NameRow<Enum> &row : NameTable<Enum>::Rows) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "unknown";
}

/** The enumerator whose name is @p text; empty if there is none. */
template<typename Enum>
[[nodiscard]] constexpr std::optional<Enum> parseName(std::string_view text)
{
    for (const NameRow<Enum> &row : NameTable<Enum>::Rows) {
        if (row.name == text) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace Chestnuthook
