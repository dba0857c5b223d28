/** @file ctl_members_func.cpp  members list, add and remove. */
#include "ctl/ctl_members_func.h"

#include <iostream>

#include "rpc/message_func.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

CtlExit complain(const Error &error)
{
    std::cerr << errorText(error) << '\n';
    return CtlExit::Failed;
}

/** Prints the members as a leader that a quorum confirms sees them. */
CtlExit listMembers(CtlSession &session, const std::vector<std::string> &controls)
{
    for (const std::string &address : controls) {
        auto response = session.status(address);
        if (!response) {
            continue;
        }
        const auto status = response->getStatus();
        if (!status.getConfirmed()) {
            continue;
        }
        for (const auto member : status.getMembers()) {
            std::cout << "member " << textOf(member.getId()) << ' ' << textOf(member.getAddress()) << ' '
                      << textOf(member.getRole()) << " holds " << member.getMatchIndex() << '\n';
        }
        return CtlExit::Done;
    }
    return complain(Error{ErrorKind::NoQuorum, "no control member that leads answered", Ran::No, 0});
}

CtlExit change(CtlSession &session, const std::string &name, const std::string &address, bool remove)
{
    const Result<void> done = session.changeMember(name, address, remove);
    if (!done) {
        return complain(done.error());
    }
    std::cout << "member " << name << (remove ? " removed\n" : " added; it holds all that is committed\n");
    return CtlExit::Done;
}

} // namespace

CtlExit runMembersCommand(
    CtlSession &session, const std::vector<std::string> &words, const std::vector<std::string> &controls)
{
    if (words == std::vector<std::string>{"list"}) {
        return listMembers(session, controls);
    }
    if (words.size() == 3 && words[0] == "add") {
        return change(session, words[1], words[2], false);
    }
    if (words.size() == 2 && words[0] == "remove") {
        return change(session, words[1], "", true);
    }
    std::cerr << "usage: chestnuthook-ctl members list | members add NAME ip:port | members remove NAME\n";
    return CtlExit::Usage;
}

} // namespace Chestnuthook
