/** @file ctl_members_func.cpp  The verbs members list, members add and members remove. */
#include "ctl/ctl_verb_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

CtlExit updateMembership(CtlSession &session, const CtlOptions &options, const Words &words, bool remove)
{
    const Result<void> done = session.changeMember(words[0], remove ? "" : words[1], remove);
    if (!done) {
        return printError(options, done.error());
    }
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("member", words[0]);
    object.set("state", remove ? "removed" : "added");
    printResult(
        options, "member " + words[0] + (remove ? " removed\n" : " added; it holds all that is committed\n"), object);
    return CtlExit::Done;
}

} // namespace

CtlExit ctlListMembers(CtlSession &session, const CtlOptions &options, const Words & /*words*/)
{
    for (const auto &response : session.status(options.controls)) {
        if (!response || !response->getStatus().getConfirmed()) {
            continue;
        }
        std::vector<Words> rows;
        Poco::JSON::Array list;
        for (const auto member : response->getStatus().getMembers()) {
            rows.push_back({textOf(member.getId()), textOf(member.getAddress()), textOf(member.getRole()), "holds",
                std::to_string(member.getMatchIndex())});
            Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
            object.set("id", textOf(member.getId()));
            object.set("address", textOf(member.getAddress()));
            object.set("role", textOf(member.getRole()));
            object.set("holds", member.getMatchIndex());
            list.add(object);
        }
        Poco::JSON::Object object;
        object.set("members", list);
        printResult(options, formatColumns(rows), object);
        return CtlExit::Done;
    }
    return printError(options, Error{ErrorKind::NoQuorum, "no control member that leads answered", Ran::No, 0});
}

CtlExit ctlAddMember(CtlSession &session, const CtlOptions &options, const Words &words)
{
    return updateMembership(session, options, words, false);
}

CtlExit ctlRemoveMember(CtlSession &session, const CtlOptions &options, const Words &words)
{
    return updateMembership(session, options, words, true);
}

} // namespace Chestnuthook
