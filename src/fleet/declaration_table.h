/** @file declaration_table.h  Sections of the declarations and their fields. The row of each field drives the parsers,
 * `ctl validate` and the generated settings reference. */
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Chestnuthook
{

/** Type of a field's value. */
enum class FieldType : std::uint8_t {
    Number, ///< Number within bounds.
    Whole, ///< Integer within bounds.
    Flag, ///< Boolean.
    Text, ///< Non-empty text.
    Texts, ///< List of texts; each one must be in `allowed` unless that is empty.
    Counts, ///< Map of plain names to integers within bounds.
};

/** Describes a field of a section's items. */
struct FieldRow
{
    std::string_view name; ///< Unique in its section.
    FieldType type = FieldType::Text; ///< Type of the value.
    double minimum = 0; ///< Lower bound of numbers.
    double maximum = 0; ///< Upper bound of numbers.
    double defaultValue = 0; ///< Value of a number that is missing.
    bool required = false; ///< The item is invalid without the field.
    std::string_view reference; ///< Section in which the value must be declared; empty for no such check.
    std::span<const std::string_view> allowed; ///< Valid texts; empty for any.
    std::string_view meaning; ///< One-line description for the settings reference.
    std::string_view remedy; ///< Instruction for a faulty value.
};

/** Describes a section of a declaration file. */
struct SectionRow
{
    std::string_view name; ///< Top-level key in a declaration file.
    bool single = false; ///< The section is a single item that has the name of the section.
    std::span<const FieldRow> fields; ///< Fields of each item.
    std::string_view meaning; ///< One-line description for the settings reference.
};

/** Returns all sections in display order. */
[[nodiscard]] std::span<const SectionRow> declarationSections();
/** Returns the section with this name, or null. */
[[nodiscard]] const SectionRow *findSection(std::string_view name);
/** Returns the field with this name, or null. */
[[nodiscard]] const FieldRow *findField(const SectionRow &section, std::string_view name);
/** Returns whether @p name is a valid item name: lower-case letters, digits, `-`, `_` and `.`, up to 64 characters, a
 * letter first. */
[[nodiscard]] bool isPlainName(std::string_view name);

} // namespace Chestnuthook
