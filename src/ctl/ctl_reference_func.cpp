/** @file ctl_reference_func.cpp  The verbs fields and errors: print the field and error tables as text or JSON. */
#include "ctl/ctl_verb_func.h"
#include "fleet/declaration_table.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

std::string numberText(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
        text.pop_back();
    }
    return text;
}

std::string typeText(const FieldRow &row)
{
    switch (row.type) {
    case FieldType::Number:
        return "number, " + numberText(row.minimum) + " to " + numberText(row.maximum);
    case FieldType::Whole:
        return "whole number, " + numberText(row.minimum) + " to " + numberText(row.maximum);
    case FieldType::Flag:
        return "true or false";
    case FieldType::Text:
        return row.reference.empty() ? "text" : "name of " + std::string(row.reference);
    case FieldType::Texts:
        return "list of texts";
    case FieldType::Counts:
        return "map of names to whole numbers";
    }
    return "";
}

std::string defaultText(const FieldRow &row)
{
    if (row.required) {
        return "must be given";
    }
    const bool isNumber = row.type == FieldType::Number || row.type == FieldType::Whole;
    return isNumber                   ? "else " + numberText(row.defaultValue)
        : row.type == FieldType::Flag ? "else false"
                                      : "may be left out";
}

} // namespace

CtlExit ctlFields(const CtlOptions &options)
{
    std::string text;
    Poco::JSON::Array list;
    for (const SectionRow &section : declarationSections()) {
        text += std::string(section.name) + ": " + std::string(section.meaning) + "\n";
        for (const FieldRow &row : section.fields) {
            text += "  " + std::string(row.name) + " (" + typeText(row) + "; " + defaultText(row) + ")\n      "
                + std::string(row.meaning) + "\n";
            Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
            object.set("section", std::string(section.name));
            object.set("field", std::string(row.name));
            object.set("type", typeText(row));
            object.set("otherwise", defaultText(row));
            object.set("meaning", std::string(row.meaning));
            list.add(object);
        }
    }
    Poco::JSON::Object object;
    object.set("fields", list);
    printResult(options, text, object);
    return CtlExit::Done;
}

CtlExit ctlErrors(const CtlOptions &options)
{
    std::vector<Words> rows = {{"CODE", "HTTP", "EXIT", "MESSAGE", "REMEDY"}};
    Poco::JSON::Array list;
    for (int i = 0; i <= static_cast<int>(ErrorKind::Internal); ++i) {
        const ErrorRow &row = errorRow(static_cast<ErrorKind>(i));
        rows.push_back({std::string(row.code), std::to_string(row.httpStatus), std::to_string(row.exitCode),
            std::string(row.message), std::string(row.remedy)});
        Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
        object.set("code", std::string(row.code));
        object.set("http_status", row.httpStatus);
        object.set("exit_code", row.exitCode);
        object.set("message", std::string(row.message));
        object.set("remedy", std::string(row.remedy));
        list.add(object);
    }
    Poco::JSON::Object object;
    object.set("errors", list);
    printResult(options, formatColumns(rows), object);
    return CtlExit::Done;
}

} // namespace Chestnuthook
