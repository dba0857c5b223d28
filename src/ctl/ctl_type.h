/** @file ctl_type.h  What the verbs of chestnuthook-ctl share: exit codes, options, and the two forms of output. */
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <Poco/JSON/Object.h>

#include "core/error_type.h"
#include "ctl/declaration_tree_type.h"

namespace Chestnuthook
{

using Words = std::vector<std::string>;

/** Exit codes, which scripts may rely on. */
enum class CtlExit : int {
    Done = 0, ///< All is well.
    Failed = 1, ///< The fleet refused or can't be reached.
    Usage = 2, ///< The command line is wrong.
    BadDeclaration = 3, ///< A declaration file is wrong.
    Lost = 4, ///< Another operator's change came first.
    NotInForce = 5, ///< Accepted, but not yet in force on all entries.
};

/** One exit code with its meaning, for `--help`. */
struct CtlExitRow
{
    CtlExit code; ///< The code.
    std::string_view meaning; ///< One line for people.
};

inline constexpr auto CtlExitRows = std::to_array<CtlExitRow>({
    {CtlExit::Done, "done"},
    {CtlExit::Failed, "the fleet refused or can't be reached"},
    {CtlExit::Usage, "the command line or a setting is wrong"},
    {CtlExit::BadDeclaration, "a declaration file is wrong; each fault is told with its line and remedy"},
    {CtlExit::Lost, "another operator's change came first; look at diff and apply again"},
    {CtlExit::NotInForce, "accepted, but not in force on all entries within --wait_ms; those that lag are named"},
});

/** The flags that verbs look at. */
struct CtlOptions
{
    std::vector<std::string> controls; ///< Addresses of the control members.
    std::optional<std::uint64_t> expectedRevision; ///< `--expect`; without it the revision that was read.
    std::string requestId; ///< `--request_id`; a new one where it is empty.
    std::chrono::milliseconds wait{0}; ///< How long apply waits for force.
    std::string note; ///< Kept with an issued key.
    std::size_t limit = 0; ///< Most programs listed.
    bool json = false; ///< `--output json`.
    bool colour = false; ///< Standard output is a terminal that takes colour.
};

/** Prints @p text, or @p object as one line of JSON, as the options say. */
void printResult(const CtlOptions &options, const std::string &text, const Poco::JSON::Object &object);
/** Prints an error to stderr (as JSON to stdout with `--output json`). @return the exit code that fits. */
[[nodiscard]] CtlExit complain(const CtlOptions &options, const Error &error);
/** Prints all faults. @return BadDeclaration. */
[[nodiscard]] CtlExit complainAll(const CtlOptions &options, const std::vector<DeclarationFault> &faults);
/** @p text in an ANSI colour where the options allow colour. */
[[nodiscard]] std::string coloured(const CtlOptions &options, std::string_view colour, const std::string &text);

inline constexpr std::string_view ColourRed = "31";
inline constexpr std::string_view ColourGreen = "32";
inline constexpr std::string_view ColourYellow = "33";

/** Rows of words as columns of even width, a line each. */
[[nodiscard]] std::string columns(const std::vector<Words> &rows);

} // namespace Chestnuthook
