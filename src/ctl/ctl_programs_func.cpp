/** @file ctl_programs_func.cpp  The verb programs: lists agent programs. */
#include "ctl/ctl_verb_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::uint16_t SlotsPerRead = 64;

Poco::JSON::Object programJson(const ProgramRecord &program)
{
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("id", program.id.text);
    object.set("tenant", program.customer.text);
    object.set("parent", program.parent.text);
    object.set("state", program.endedMs == 0 ? "open" : "ended");
    object.set("calls", program.calls.size());
    object.set("tokens_spent", program.spent.tokens);
    object.set("tokens_granted", program.budget.tokens);
    return object;
}

Words programRow(const ProgramRecord &program)
{
    return {program.id.text, program.customer.text, program.endedMs == 0 ? "open" : "ended",
        std::to_string(program.calls.size()),
        std::to_string(program.spent.tokens) + "/" + std::to_string(program.budget.tokens),
        program.parent.empty() ? "-" : program.parent.text};
}

} // namespace

CtlExit ctlPrograms(CtlSession &session, const CtlOptions &options, const Words &words)
{
    std::vector<Words> rows = {{"PROGRAM", "TENANT", "STATE", "CALLS", "TOKENS", "PARENT"}};
    Poco::JSON::Array list;
    std::size_t found = 0;
    for (std::uint16_t first = 0; first < SlotCount && found < options.limit; first += SlotsPerRead) {
        const auto programs = session.loadSlots(first, SlotsPerRead);
        if (!programs) {
            return printError(options, programs.error());
        }
        for (const ProgramRecord &program : *programs) {
            if ((words.empty() || program.customer.text == words[0]) && found < options.limit) {
                ++found;
                rows.push_back(programRow(program));
                list.add(programJson(program));
            }
        }
    }
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("programs", list);
    object.set("more", found == options.limit);
    std::string text = formatColumns(rows);
    if (found == options.limit) {
        text += "the first " + std::to_string(found) + "; give --limit for more\n";
    }
    printResult(options, text, object);
    return CtlExit::Done;
}

} // namespace Chestnuthook
