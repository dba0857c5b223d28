/** @file ctl_command_func.cpp  Table of verbs, which drives dispatch, usage and help texts. */
#include "ctl/ctl_command_func.h"

#include <algorithm>
#include <iostream>

#include "ctl/ctl_verb_func.h"

namespace Chestnuthook
{

namespace
{

using VerbFunction = CtlExit (*)(CtlSession &, const CtlOptions &, const Words &);

constexpr std::size_t MaxFileArguments = 1000;

/** Describes a verb. */
struct VerbRow
{
    std::string_view verb; ///< First word of the command.
    std::string_view subverb; ///< Second word of the command; empty for none.
    std::string_view arguments; ///< Argument names for the usage text.
    std::size_t minArguments; ///< Minimum number of arguments.
    std::size_t maxArguments; ///< Maximum number of arguments.
    std::string_view group; ///< Heading in the help; rows of a group are adjacent.
    std::string_view help; ///< One-line description.
    VerbFunction run; ///< Function that executes the verb.
};

CtlExit runValidate(CtlSession & /*session*/, const CtlOptions &options, const Words &files)
{
    return ctlValidate(options, files);
}

CtlExit runFields(CtlSession & /*session*/, const CtlOptions &options, const Words & /*words*/)
{
    return ctlFields(options);
}

CtlExit runErrors(CtlSession & /*session*/, const CtlOptions &options, const Words & /*words*/)
{
    return ctlErrors(options);
}

constexpr auto Verbs = std::to_array<VerbRow>({
    {"validate", "", "FILE…", 1, MaxFileArguments, "declarations",
        "checks the files and tells all faults; needs no fleet", runValidate},
    {"diff", "", "FILE…", 1, MaxFileArguments, "declarations", "shows, field by field, what apply would change",
        ctlDiff},
    {"apply", "", "FILE…", 1, MaxFileArguments, "declarations",
        "makes the files' declarations those of the fleet and waits for force (--expect, --request_id, --wait_ms)",
        ctlApply},
    {"fields", "", "", 0, 0, "declarations", "lists sections and fields; needs no fleet", runFields},
    {"keys", "issue", "TENANT", 1, 1, "keys", "makes a key, prints it once and waits for force (--note, --wait_ms)",
        ctlIssueKey},
    {"keys", "list", "", 0, 0, "keys", "lists ids, tenants and states", ctlListKeys},
    {"keys", "withdraw", "ID", 1, 1, "keys", "withdraws a key for good and waits for force (--wait_ms)",
        ctlWithdrawKey},
    {"status", "", "", 0, 0, "fleet", "members, entries with slots, revisions and freshness", ctlStatus},
    {"programs", "", "[TENANT]", 0, 1, "fleet", "lists agent programs (--limit)", ctlPrograms},
    {"drain", "", "ENTRY", 1, 1, "fleet", "has an entry hand over its slots, finish its calls and end", ctlDrain},
    {"errors", "", "", 0, 0, "help", "lists the codes of errors with their remedies; needs no fleet", runErrors},
    {"members", "list", "", 0, 0, "members", "lists the control members and what they hold", ctlListMembers},
    {"members", "add", "NAME ip:port", 2, 2, "members",
        "adds a control member started with --join, and waits until it holds all that is committed", ctlAddMember},
    {"members", "remove", "NAME", 1, 1, "members", "removes a control member, such as one whose disk is lost",
        ctlRemoveMember},
});

std::string formatUsage(const VerbRow &row)
{
    std::string text(row.verb);
    for (const std::string_view part : {row.subverb, row.arguments}) {
        if (!part.empty()) {
            text += " ";
            text += part;
        }
    }
    return text;
}

bool matches(const VerbRow &row, const Words &words)
{
    return !words.empty() && row.verb == words[0]
        && (row.subverb.empty() || (words.size() > 1 && row.subverb == words[1]));
}

CtlExit printUsageError(const Words &words)
{
    bool known = false;
    for (const VerbRow &row : Verbs) {
        if (!words.empty() && row.verb == words[0]) {
            std::cerr << "usage: chestnuthook-ctl " << formatUsage(row) << '\n';
            known = true;
        }
    }
    if (!known) {
        std::cerr << (words.empty() ? "a verb is missing" : "no verb " + words[0])
                  << "; remedy: see chestnuthook-ctl --help\n";
    }
    return CtlExit::Usage;
}

} // namespace

bool isOfflineCommand(const Words &words)
{
    constexpr std::array<std::string_view, 3> Offline = {"validate", "fields", "errors"};
    return !words.empty() && std::find(Offline.begin(), Offline.end(), words[0]) != Offline.end();
}

CtlExit runCtlCommand(CtlSession &session, const CtlOptions &options, const Words &words)
{
    for (const VerbRow &row : Verbs) {
        if (!matches(row, words)) {
            continue;
        }
        const Words rest(words.begin() + (row.subverb.empty() ? 1 : 2), words.end());
        if (rest.size() >= row.minArguments && rest.size() <= row.maxArguments) {
            return row.run(session, options, rest);
        }
    }
    return printUsageError(words);
}

std::string ctlVerbsHelp()
{
    std::string text = "chestnuthook-ctl [FLAGS] VERB …\n";
    std::string_view group;
    for (const VerbRow &row : Verbs) {
        if (row.group != group) {
            group = row.group;
            text += "\n" + std::string(group) + "\n";
        }
        text += "  " + formatUsage(row) + "\n      " + std::string(row.help) + "\n";
    }
    text += "\nexit codes\n";
    for (const CtlExitRow &row : CtlExitRows) {
        text += "  " + std::to_string(static_cast<int>(row.code)) + "  " + std::string(row.meaning) + "\n";
    }
    return text + "\n";
}

} // namespace Chestnuthook
