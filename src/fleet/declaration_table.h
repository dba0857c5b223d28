/** @file declaration_table.h  Sections of the declarations and their fields: one row a field drives the parsers, `ctl
 * validate` and the page of settings. */
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Chestnuthook
{

/** What a field's value must be. */
enum class FieldType : std::uint8_t {
    Number, ///< With bounds.
    Whole, ///< A whole number with bounds.
    Flag, ///< true or false.
    Text, ///< Not empty.
    Texts, ///< A list of texts, each of them one of `allowed` where that isn't empty.
    Counts, ///< A map of plain names to whole numbers with bounds.
};

/** One field of a section's items. */
struct FieldRow
{
    std::string_view name; ///< Unique in its section.
    FieldType type = FieldType::Text; ///< What its value must be.
    double least = 0; ///< Lower bound of numbers.
    double most = 0; ///< Upper bound of numbers.
    double standard = 0; ///< Value of a number that isn't given.
    bool required = false; ///< Must be given.
    std::string_view reference; ///< Section that must declare the value; empty for none.
    std::span<const std::string_view> allowed; ///< Values of texts; empty for any.
    std::string_view meaning; ///< One line for the page of settings.
    std::string_view remedy; ///< What to do where the value is wrong.
};

/** One section. */
struct SectionRow
{
    std::string_view name; ///< Key at the top of a declaration file.
    bool single = false; ///< The section is itself one item, named like the section.
    std::span<const FieldRow> fields; ///< Of each item.
    std::string_view meaning; ///< One line for the page of settings.
};

/** All sections, in the order in which they are shown. */
[[nodiscard]] std::span<const SectionRow> declarationSections();
/** The section of that name, or null. */
[[nodiscard]] const SectionRow *findSection(std::string_view name);
/** The field of that name, or null. */
[[nodiscard]] const FieldRow *findField(const SectionRow &section, std::string_view name);
/** Whether @p name may name an item: lower-case letters, digits, `-`, `_` and `.`, at most 64, a letter first. */
[[nodiscard]] bool isPlainName(std::string_view name);

} // namespace Chestnuthook
