/** @file settings_func.h  Settings from flags and environment; all faults are reported at once. */
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

/** Tells what is wrong with a flag's text; empty where it is right. */
using SettingCheckFunction = std::function<std::optional<std::string>(const std::string &)>;

/** One row of a daemon's table of settings. Only flags with a row are accepted. */
struct SettingCheck
{
    std::string_view flag; ///< The gflags name; the variable is CHESTNUTHOOK_ and this name in upper case.
    std::string_view group; ///< Heading in `--help`; rows of one group stand together.
    SettingCheckFunction check; ///< Empty where every value of the flag's type is right.
    std::string_view remedy; ///< What to do about a fault; for people.
};

/** What loadSettings found. */
struct SettingsOutcome
{
    std::vector<Error> faults; ///< All faults, each of kind BadSetting with its remedy; empty where all is right.
    std::string help; ///< The text of `--help` or `--version` where that was asked for, else empty.
};

/** Sets the flags from the command line, else from the environment; leaves the words that are no flags in @p argv.
 *  Takes `--flag=value`, `--flag value`, `--flag` and `--noflag` (truth values), and `--` before words.
 *  @p otherVariables are further CHESTNUTHOOK_* variables that may be set, e.g. those of secrets. */
[[nodiscard]] SettingsOutcome loadSettings(int &argc, char **&argv, const std::vector<SettingCheck> &checks,
    const std::vector<std::string_view> &otherVariables = {});
/** Adds a fault for each word in @p argv that is no flag; for binaries that take flags only. */
void rejectPositionalArguments(SettingsOutcome &outcome, int argc, char **argv);
/** Prints help to stdout or faults to stderr; gives the exit code 0 or 2, or nothing where the daemon should go on. */
[[nodiscard]] std::optional<int> reportSettings(const SettingsOutcome &outcome);
/** The `--help` text, grouped. */
[[nodiscard]] std::string settingsHelp(const std::vector<SettingCheck> &checks);
/** `CHESTNUTHOOK_` and @p flag in upper case. */
[[nodiscard]] std::string settingVariable(std::string_view flag);

/** Reads a secret from the file @p fileFlagValue where that is given, else from the variable settingVariable(@p name).
 *  Line ends at its end are dropped. Errors: BadSetting where it is missing, empty or unreadable. */
[[nodiscard]] Result<std::string> loadSecret(std::string_view name, const std::string &fileFlagValue);

/** What a daemon begins with. */
struct DaemonSettings
{
    std::optional<int> exitCode; ///< Set where it must end at once: after help, or on faults, which were printed.
    std::string secret; ///< The fleet's secret.
};

/** Loads a daemon's settings and the fleet's secret, from the file that the flag `secret_file` names or from
 *  CHESTNUTHOOK_SECRET; refuses words; prints help, version or all faults at once. */
[[nodiscard]] DaemonSettings loadDaemonSettings(int argc, char **argv, const std::vector<SettingCheck> &checks);

/** `ip:port` with an IPv4 address or `[IPv6]`; port 0 only where @p portZero (the system chooses). */
[[nodiscard]] SettingCheckFunction addressCheck(bool portZero = false);
/** Comma-separated `ip:port`; an empty list only where @p emptyAllowed. */
[[nodiscard]] SettingCheckFunction addressListCheck(bool emptyAllowed = false);
/** The words of a comma-separated list. */
[[nodiscard]] std::vector<std::string> splitList(const std::string &list);

/** A whole number from @p least to @p most. */
[[nodiscard]] SettingCheckFunction rangeCheck(std::int64_t least, std::int64_t most);
/** A number above zero, whole or not. */
[[nodiscard]] SettingCheckFunction positiveCheck();
[[nodiscard]] SettingCheckFunction nonEmptyCheck();
/** One of @p names. */
[[nodiscard]] SettingCheckFunction oneOfCheck(std::vector<std::string> names);

} // namespace Chestnuthook
