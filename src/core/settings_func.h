/** @file settings_func.h  Settings from flags and environment variables; all faults are reported at once. */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error_type.h"

namespace Chestnuthook
{

/** Validates the text of a flag's value; returns what is wrong, or nothing if it is valid. */
using SettingCheckFunction = std::function<std::optional<std::string>(const std::string &)>;

/** Definition of one setting of a program; flags without a definition are rejected. */
struct SettingCheck
{
    std::string_view flag; ///< The gflags name; its variable is CHESTNUTHOOK_ plus this name in upper case.
    std::string_view group; ///< Heading in `--help`, under which the settings of the group are listed.
    SettingCheckFunction check; ///< Empty if every value of the flag's type is valid.
    std::string_view remedy; ///< What the operator should do about a fault.
};

/** Result of loadSettings. */
struct SettingsOutcome
{
    std::vector<Error> faults; ///< All faults, of kind BadSetting with their remedies; empty if there are none.
    std::string help; ///< The text of `--help` or `--version` if requested, else empty.
};

/** Sets the flags from the command line, else from the environment; leaves only positional arguments in @p argv.
 *  Accepts `--flag=value`, `--flag value`, `--flag` and `--noflag` (booleans), and `--` before positional arguments.
 *  @p otherVariables are further CHESTNUTHOOK_* variables that may be set, e.g. those of secrets. */
[[nodiscard]] SettingsOutcome loadSettings(int &argc, char **&argv, const std::vector<SettingCheck> &checks,
    const std::vector<std::string_view> &otherVariables = {});
/** Adds a fault for each positional argument in @p argv; for binaries that accept only flags. */
void rejectPositionalArguments(SettingsOutcome &outcome, int argc, char **argv);
/** Prints help to stdout or faults to stderr; returns the exit code 0 or 2, or nothing if the process may continue. */
[[nodiscard]] std::optional<int> reportSettings(const SettingsOutcome &outcome);
/** The text of `--help`, with the flags by group. */
[[nodiscard]] std::string settingsHelp(const std::vector<SettingCheck> &checks);
/** The environment variable of a flag: `CHESTNUTHOOK_` and @p flag in upper case. */
[[nodiscard]] std::string settingVariable(std::string_view flag);

/** Reads a secret from the file @p fileFlagValue, or from the variable settingVariable(@p name) if no file is given.
 *  Trailing line breaks are removed. Errors: BadSetting if the secret is missing, empty, too long or unreadable. */
[[nodiscard]] Result<std::string> loadSecret(std::string_view name, const std::string &fileFlagValue);

/** Settings of a daemon that aren't flags, and whether it may start. */
struct DaemonSettings
{
    std::optional<int> exitCode; ///< Set if the process must exit at once: after help, or after printing faults.
    std::string secret; ///< Secret shared by the fleet.
};

/** Loads a daemon's flags, and the fleet's secret from the file named by the flag `secret_file` or from
 *  CHESTNUTHOOK_SECRET. Rejects positional arguments. Prints the help, the version or all faults. */
[[nodiscard]] DaemonSettings loadDaemonSettings(int argc, char **argv, const std::vector<SettingCheck> &checks);

/** Accepts `ip:port` with an IPv4 address or `[IPv6]`; port 0 (chosen by the system) only if @p portZero. */
[[nodiscard]] SettingCheckFunction addressCheck(bool portZero = false);
/** Accepts a comma-separated list of `ip:port`; an empty list only if @p emptyAllowed. */
[[nodiscard]] SettingCheckFunction addressListCheck(bool emptyAllowed = false);
/** Splits a comma-separated list into its items. */
[[nodiscard]] std::vector<std::string> splitList(const std::string &list);

/** Accepts an integer from @p minimum to @p maximum. */
[[nodiscard]] SettingCheckFunction rangeCheck(std::int64_t minimum, std::int64_t maximum);
/** Accepts a finite number above zero, integer or not. */
[[nodiscard]] SettingCheckFunction positiveCheck();
[[nodiscard]] SettingCheckFunction nonEmptyCheck();
/** Accepts one of @p names. */
[[nodiscard]] SettingCheckFunction oneOfCheck(std::vector<std::string> names);

} // namespace Chestnuthook
