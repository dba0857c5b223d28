/** @file ctl_output_func.cpp  Text and JSON output for all verbs. */
#include "ctl/ctl_type.h"

#include <algorithm>
#include <iostream>

#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

Poco::JSON::Object faultObject(const DeclarationFault &fault)
{
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("file", fault.origin.file);
    object.set("line", fault.origin.line);
    object.set("path", fault.path);
    object.set("what", fault.what);
    object.set("remedy", fault.remedy);
    return object;
}

/** Returns the display width of a text, without ANSI colour sequences and UTF-8 continuation bytes. */
std::size_t displayWidth(const std::string &text)
{
    std::size_t width = 0;
    bool escape = false;
    for (const char c : text) {
        if (c == '\x1b') {
            escape = true;
        } else if (escape) {
            escape = c != 'm';
        } else if ((static_cast<unsigned char>(c) & 0xc0U) != 0x80U) {
            ++width;
        }
    }
    return width;
}

} // namespace

void printResult(const CtlOptions &options, const std::string &text, const Poco::JSON::Object &object)
{
    if (options.json) {
        object.stringify(std::cout);
        std::cout << '\n';
    } else {
        std::cout << text;
    }
    std::cout.flush();
}

CtlExit printError(const CtlOptions &options, const Error &error)
{
    if (options.json) {
        const ErrorRow &row = errorRow(error.kind);
        Poco::JSON::Object body(Poco::JSON_PRESERVE_KEY_ORDER);
        body.set("code", std::string(row.code));
        body.set("message", std::string(row.message));
        body.set("what", error.what);
        body.set("remedy", std::string(row.remedy));
        Poco::JSON::Object object;
        object.set("error", body);
        printResult(options, "", object);
    } else {
        std::cerr << errorText(error) << '\n';
    }
    return error.kind == ErrorKind::StaleRevision ? CtlExit::StaleRevision : CtlExit::Failed;
}

CtlExit printFaults(const CtlOptions &options, const std::vector<DeclarationFault> &faults)
{
    Poco::JSON::Array list;
    for (const DeclarationFault &fault : faults) {
        list.add(faultObject(fault));
        if (!options.json) {
            std::cerr << fault.text() << '\n';
        }
    }
    if (options.json) {
        Poco::JSON::Object object;
        object.set("faults", list);
        printResult(options, "", object);
    }
    return CtlExit::BadDeclaration;
}

std::string coloured(const CtlOptions &options, std::string_view colour, const std::string &text)
{
    return options.colour ? "\x1b[" + std::string(colour) + "m" + text + "\x1b[0m" : text;
}

std::string formatColumns(const std::vector<Words> &rows)
{
    std::vector<std::size_t> widths;
    for (const Words &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], displayWidth(row[i]));
        }
    }
    std::string text;
    for (const Words &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            text += row[i];
            text += i + 1 == row.size() ? "\n" : std::string(widths[i] - displayWidth(row[i]) + 2, ' ');
        }
    }
    return text;
}

} // namespace Chestnuthook
