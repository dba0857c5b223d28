/** @file ctl_type.h  Exit codes, options and output functions shared by the verbs of chestnuthook-ctl. */
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

/** Exit codes of chestnuthook-ctl. They are a stable interface for scripts. */
enum class CtlExit : int {
    Done = 0, ///< Success.
    Failed = 1, ///< The fleet rejected the command or can't be reached.
    Usage = 2, ///< Invalid command line.
    BadDeclaration = 3, ///< Invalid declaration file.
    StaleRevision = 4, ///< The expected revision is outdated: another operator's change came first.
    NotInForce = 5, ///< Accepted, but not yet in force on all entries.
};

/** Describes an exit code for `--help`. */
struct CtlExitRow
{
    CtlExit code; ///< Exit code.
    std::string_view meaning; ///< One-line description.
};

inline constexpr auto CtlExitRows = std::to_array<CtlExitRow>({
    {CtlExit::Done, "done"},
    {CtlExit::Failed, "the fleet refused or can't be reached"},
    {CtlExit::Usage, "the command line or a setting is wrong"},
    {CtlExit::BadDeclaration, "a declaration file is wrong; each fault is told with its line and remedy"},
    {CtlExit::StaleRevision, "another operator's change came first; look at diff and apply again"},
    {CtlExit::NotInForce, "accepted, but not in force on all entries within --wait_ms; those that lag are named"},
});

/** Options of the verbs, from the command-line flags. */
struct CtlOptions
{
    std::vector<std::string> controls; ///< Addresses of the control members.
    std::optional<std::uint64_t> expectedRevision; ///< `--expect`; the revision that was read if it isn't given.
    std::string requestId; ///< `--request_id`; a random one is used if it is empty.
    std::chrono::milliseconds wait{0}; ///< `--wait_ms`: how long to wait until a change is in force.
    std::string note; ///< `--note`: stored with an issued key.
    std::size_t limit = 0; ///< `--limit`: maximum number of programs to list.
    bool json = false; ///< `--output json`.
    bool colour = false; ///< Standard output is a terminal and colour isn't disabled.
};

/** Prints @p text, or @p object as one line of JSON with `--output json`. */
void printResult(const CtlOptions &options, const std::string &text, const Poco::JSON::Object &object);
/** Prints an error to stderr (as JSON to stdout with `--output json`). @return the matching exit code. */
[[nodiscard]] CtlExit printError(const CtlOptions &options, const Error &error);
/** Prints all faults to stderr (as JSON to stdout with `--output json`). @return BadDeclaration. */
[[nodiscard]] CtlExit printFaults(const CtlOptions &options, const std::vector<DeclarationFault> &faults);
/** Returns @p text in the ANSI colour @p colour if the options enable colour, otherwise unchanged. */
[[nodiscard]] std::string coloured(const CtlOptions &options, std::string_view colour, const std::string &text);

inline constexpr std::string_view ColourRed = "31";
inline constexpr std::string_view ColourGreen = "32";
inline constexpr std::string_view ColourYellow = "33";

/** Formats @p rows as lines of aligned cells. */
[[nodiscard]] std::string formatColumns(const std::vector<Words> &rows);

} // namespace Chestnuthook
