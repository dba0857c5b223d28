/** @file settings_func.cpp  Reads flags and environment without the gflags parser, which exits at the first fault. */
#include "core/settings_func.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <system_error>

#include <arpa/inet.h>
#include <gflags/gflags.h>
#include <unistd.h>

namespace Chestnuthook
{

namespace
{

constexpr const char *Version = CHESTNUTHOOK_VERSION;
constexpr std::string_view VariablePrefix = "CHESTNUTHOOK_";
constexpr std::size_t MaxSecretBytes = 64 * 1024;

/** Value of a flag and its source. */
struct FlagValue
{
    std::string value; ///< Text of the value.
    std::string source; ///< `--flag` or the name of the variable, for messages.
};

void addFault(std::vector<Error> &faults, const std::string &what, std::string_view remedy)
{
    std::string text = what;
    if (!remedy.empty()) {
        text += "; ";
        text += remedy;
    }
    faults.push_back(Error{ErrorKind::BadSetting, std::move(text), Ran::No, 0});
}

bool isBooleanFlag(const std::string &name)
{
    gflags::CommandLineFlagInfo info;
    return gflags::GetCommandLineFlagInfo(name.c_str(), &info) && info.type == "bool";
}

const SettingCheck *findCheck(const std::vector<SettingCheck> &checks, std::string_view flag)
{
    const auto found = std::find_if(checks.begin(), checks.end(), [flag](const SettingCheck &check) {
        return check.flag == flag;
    });
    return found == checks.end() ? nullptr : &*found;
}

/** The parsed command line. */
struct CommandLine
{
    std::map<std::string, FlagValue, std::less<>> flags; ///< Known flags by name; the last occurrence counts.
    std::vector<char *> positional; ///< The program's name and the positional arguments.
    bool help = false; ///< `--help` was given.
    bool version = false; ///< `--version` was given.
};

CommandLine readCommandLine(int argc, char **argv, const std::vector<SettingCheck> &checks, std::vector<Error> &faults)
{
    CommandLine line;
    if (argc > 0) {
        line.positional.push_back(argv[0]);
    }
    for (int i = 1; i < argc; ++i) {
        const std::string_view argument = argv[i];
        if (argument == "--") {
            line.positional.insert(line.positional.end(), argv + i + 1, argv + argc);
            break;
        }
        if (argument.size() < 2 || argument.front() != '-') {
            line.positional.push_back(argv[i]);
            continue;
        }
        const std::string_view body = argument.substr(argument.starts_with("--") ? 2 : 1);
        const std::size_t equals = body.find('=');
        std::string name(body.substr(0, equals));
        if (name == "help" || name == "h" || name == "version") {
            line.help = line.help || name != "version";
            line.version = line.version || name == "version";
            continue;
        }
        const bool hasValue = equals != std::string_view::npos;
        std::string value = hasValue ? std::string(body.substr(equals + 1)) : std::string();
        if (findCheck(checks, name) == nullptr) {
            const std::string positive = name.starts_with("no") ? name.substr(2) : std::string();
            if (hasValue || findCheck(checks, positive) == nullptr || !isBooleanFlag(positive)) {
                addFault(faults, "unknown flag --" + name, "see --help for all flags");
                continue;
            }
            name = positive;
            value = "false";
        } else if (!hasValue) {
            if (isBooleanFlag(name)) {
                value = "true";
            } else if (i + 1 < argc) {
                value = argv[++i];
            } else {
                addFault(faults, "flag --" + name + " has no value", "give it as --" + name + "=VALUE");
                continue;
            }
        }
        line.flags[name] = FlagValue{value, "--" + name};
    }
    return line;
}

/** Reads the variables of known flags; adds a fault for each unknown CHESTNUTHOOK_* variable. */
std::map<std::string, FlagValue, std::less<>> readEnvironment(const std::vector<SettingCheck> &checks,
    const std::vector<std::string_view> &otherVariables, std::vector<Error> &faults)
{
    std::set<std::string, std::less<>> allowed{"CHESTNUTHOOK_BIN", "CHESTNUTHOOK_BUILD", "CHESTNUTHOOK_SOURCE"};
    allowed.insert(otherVariables.begin(), otherVariables.end());
    std::map<std::string, std::string, std::less<>> flagOf;
    for (const SettingCheck &check : checks) {
        flagOf.emplace(settingVariable(check.flag), check.flag);
    }
    std::map<std::string, FlagValue, std::less<>> given;
    std::set<std::string> unknown;
    for (char **variable = environ; variable != nullptr && *variable != nullptr; ++variable) {
        const std::string_view entry = *variable;
        if (!entry.starts_with(VariablePrefix)) {
            continue;
        }
        const std::size_t equals = entry.find('=');
        const std::string name(entry.substr(0, equals));
        const auto flag = flagOf.find(name);
        if (flag != flagOf.end()) {
            given[flag->second] = FlagValue{
                equals == std::string_view::npos ? std::string() : std::string(entry.substr(equals + 1)), name};
        } else if (!allowed.contains(name)) {
            unknown.insert(name);
        }
    }
    for (const std::string &name : unknown) {
        addFault(faults, "unknown environment variable " + name, "unset it, or see --help for all variables");
    }
    return given;
}

std::optional<std::string> addressFault(const std::string &text, bool portZero)
{
    const std::string expected = "'" + text + "' is not ip:port";
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return expected;
    }
    std::string host = text.substr(0, colon);
    unsigned char address[sizeof(in6_addr)] = {};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        if (inet_pton(AF_INET6, host.c_str(), address) != 1) {
            return expected;
        }
    } else if (inet_pton(AF_INET, host.c_str(), address) != 1) {
        return expected;
    }
    unsigned int port = 0;
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    constexpr unsigned int MaxPort = 65535;
    if (parsed.ec != std::errc() || parsed.ptr != end || port > MaxPort || (port == 0 && !portZero)) {
        return "'" + text + "' has no port from " + (portZero ? "0" : "1") + " to 65535";
    }
    return std::nullopt;
}

} // namespace

SettingsOutcome loadSettings(int &argc, char **&argv, const std::vector<SettingCheck> &checks,
    const std::vector<std::string_view> &otherVariables)
{
    SettingsOutcome outcome;
    CommandLine line = readCommandLine(argc, argv, checks, outcome.faults);
    if (line.help) {
        outcome.faults.clear();
        outcome.help = settingsHelp(checks);
        return outcome;
    }
    if (line.version) {
        outcome.faults.clear();
        outcome.help = std::string("chestnuthook ") + Version + "\n";
        return outcome;
    }
    const auto environment = readEnvironment(checks, otherVariables, outcome.faults);
    for (const SettingCheck &check : checks) {
        const std::string flag(check.flag);
        gflags::CommandLineFlagInfo info;
        if (!gflags::GetCommandLineFlagInfo(flag.c_str(), &info)) {
            outcome.faults.push_back(Error{
                ErrorKind::Internal, "the settings table contains --" + flag + ", which is not defined", Ran::No, 0});
            continue;
        }
        std::string source = "--" + flag;
        std::string value = info.current_value;
        auto given = line.flags.find(flag);
        const bool onCommandLine = given != line.flags.end();
        const auto inEnvironment = environment.find(flag);
        if (onCommandLine || inEnvironment != environment.end()) {
            const FlagValue &chosen = onCommandLine ? given->second : inEnvironment->second;
            source = chosen.source;
            value = chosen.value;
            if (gflags::SetCommandLineOption(flag.c_str(), value.c_str()).empty()) {
                source.append(": '").append(value).append("' is not of type ").append(info.type);
                addFault(outcome.faults, source, check.remedy);
                continue;
            }
        }
        if (check.check) {
            if (const std::optional<std::string> fault = check.check(value)) {
                addFault(outcome.faults, source + ": " + *fault, check.remedy);
            }
        }
    }
    std::copy(line.positional.begin(), line.positional.end(), argv);
    if (static_cast<int>(line.positional.size()) < argc) {
        argv[line.positional.size()] = nullptr;
    }
    argc = static_cast<int>(line.positional.size());
    return outcome;
}

void rejectPositionalArguments(SettingsOutcome &outcome, int argc, char **argv)
{
    for (int i = 1; i < argc; ++i) {
        addFault(outcome.faults, "unexpected word '" + std::string(argv[i]) + "'", "give settings as --FLAG=VALUE");
    }
}

DaemonSettings loadDaemonSettings(int argc, char **argv, const std::vector<SettingCheck> &checks)
{
    DaemonSettings settings;
    SettingsOutcome outcome = loadSettings(argc, argv, checks, {"CHESTNUTHOOK_SECRET"});
    if (outcome.help.empty()) {
        rejectPositionalArguments(outcome, argc, argv);
        std::string file;
        gflags::GetCommandLineOption("secret_file", &file);
        const Result<std::string> secret = loadSecret("secret", file);
        if (secret) {
            settings.secret = *secret;
        } else {
            outcome.faults.push_back(secret.error());
        }
    }
    settings.exitCode = reportSettings(outcome);
    return settings;
}

std::optional<int> reportSettings(const SettingsOutcome &outcome)
{
    constexpr int SettingsExitCode = 2;
    if (!outcome.help.empty()) {
        std::fputs(outcome.help.c_str(), stdout);
        std::fflush(stdout);
        return 0;
    }
    if (outcome.faults.empty()) {
        return std::nullopt;
    }
    for (const Error &fault : outcome.faults) {
        std::fprintf(stderr, "bad_setting: %s\n", fault.what.c_str());
    }
    return SettingsExitCode;
}

std::string settingsHelp(const std::vector<SettingCheck> &checks)
{
    std::vector<std::string_view> groups;
    for (const SettingCheck &check : checks) {
        if (std::find(groups.begin(), groups.end(), check.group) == groups.end()) {
            groups.push_back(check.group);
        }
    }
    std::string text =
        "Flags; each also from the environment, where the command line wins. Besides: --help, --version.\n";
    for (const std::string_view group : groups) {
        text += "\n" + std::string(group) + "\n";
        for (const SettingCheck &check : checks) {
            gflags::CommandLineFlagInfo info;
            if (check.group != group || !gflags::GetCommandLineFlagInfo(std::string(check.flag).c_str(), &info)) {
                continue;
            }
            text += "  --" + info.name + " (" + info.type + ", default '" + info.default_value + "', "
                + settingVariable(check.flag) + ")\n      " + info.description + "\n";
        }
    }
    return text;
}

std::string settingVariable(std::string_view flag)
{
    std::string name(VariablePrefix);
    for (const char c : flag) {
        name += c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : (c == '-' ? '_' : c);
    }
    return name;
}

Result<std::string> loadSecret(std::string_view name, const std::string &fileFlagValue)
{
    const std::string variable = settingVariable(name);
    std::string secret;
    std::string source = variable;
    if (!fileFlagValue.empty()) {
        source = "the file " + fileFlagValue;
        std::ifstream file(fileFlagValue, std::ios::binary);
        if (!file) {
            return fail(ErrorKind::BadSetting,
                "the secret " + std::string(name) + " can't be read from " + source + "; make the file readable or set "
                    + variable);
        }
        secret.resize(MaxSecretBytes + 1);
        file.read(secret.data(), static_cast<std::streamsize>(secret.size()));
        if (file.bad()) {
            return fail(ErrorKind::BadSetting, "the secret " + std::string(name) + " can't be read from " + source);
        }
        secret.resize(static_cast<std::size_t>(file.gcount()));
        if (secret.size() > MaxSecretBytes) {
            return fail(ErrorKind::BadSetting,
                "the secret " + std::string(name) + " in " + source + " is larger than 64 KiB; give the right file");
        }
    } else if (const char *const value = std::getenv(variable.c_str())) {
        secret = value;
    } else {
        return fail(ErrorKind::BadSetting,
            "the secret " + std::string(name) + " is missing; give its file by flag or set " + variable);
    }
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) {
        secret.pop_back();
    }
    if (secret.empty()) {
        return fail(ErrorKind::BadSetting,
            "the secret " + std::string(name) + " in " + source + " is empty; put the secret there");
    }
    return secret;
}

SettingCheckFunction addressCheck(bool portZero)
{
    return [portZero](const std::string &text) {
        return addressFault(text, portZero);
    };
}

SettingCheckFunction addressListCheck(bool emptyAllowed)
{
    return [emptyAllowed](const std::string &text) -> std::optional<std::string> {
        if (text.empty()) {
            return emptyAllowed ? std::nullopt : std::optional<std::string>("the list is empty");
        }
        std::size_t begin = 0;
        while (begin <= text.size()) {
            const std::size_t end = std::min(text.find(',', begin), text.size());
            if (std::optional<std::string> fault = addressFault(text.substr(begin, end - begin), false)) {
                return fault;
            }
            begin = end + 1;
        }
        return std::nullopt;
    };
}

SettingCheckFunction rangeCheck(std::int64_t minimum, std::int64_t maximum)
{
    return [minimum, maximum](const std::string &text) -> std::optional<std::string> {
        std::int64_t number = 0;
        const char *const end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, number);
        if (parsed.ec != std::errc() || parsed.ptr != end || number < minimum || number > maximum) {
            return "'" + text + "' is not a whole number from " + std::to_string(minimum) + " to "
                + std::to_string(maximum);
        }
        return std::nullopt;
    };
}

SettingCheckFunction positiveCheck()
{
    return [](const std::string &text) -> std::optional<std::string> {
        double number = 0;
        const char *const end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, number);
        if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(number) || number <= 0) {
            return "'" + text + "' is not a number above 0";
        }
        return std::nullopt;
    };
}

SettingCheckFunction nonEmptyCheck()
{
    return [](const std::string &text) {
        return text.empty() ? std::optional<std::string>("it is empty") : std::nullopt;
    };
}

SettingCheckFunction oneOfCheck(std::vector<std::string> names)
{
    return [names = std::move(names)](const std::string &text) -> std::optional<std::string> {
        if (std::find(names.begin(), names.end(), text) != names.end()) {
            return std::nullopt;
        }
        std::string fault = "'" + text + "' is none of";
        for (const std::string &name : names) {
            fault += " " + name;
        }
        return fault;
    };
}

std::vector<std::string> splitList(const std::string &list)
{
    std::vector<std::string> items;
    std::size_t at = 0;
    while (at <= list.size()) {
        const std::size_t comma = std::min(list.find(',', at), list.size());
        items.push_back(list.substr(at, comma - at));
        at = comma + 1;
    }
    return items;
}

} // namespace Chestnuthook
