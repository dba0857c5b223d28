/** @file declaration_change_func.cpp  Compares declarations field by field after flattening their JSON. */
#include "ctl/declaration_change_func.h"

#include <map>
#include <sstream>

#include <Poco/JSON/Parser.h>

namespace Chestnuthook
{

namespace
{

using Fields = std::map<std::string, std::string>;

void flatten(const Poco::Dynamic::Var &value, const std::string &path, Fields &fields)
{
    if (value.type() != typeid(Poco::JSON::Object::Ptr)) {
        std::ostringstream text;
        Poco::JSON::Stringifier::stringify(value, text);
        fields[path] = text.str();
        return;
    }
    const auto &object = value.extract<Poco::JSON::Object::Ptr>();
    for (const std::string &name : object->getNames()) {
        if (!object->isNull(name)) {
            std::string childPath = path;
            childPath += path.empty() ? "" : ".";
            childPath += name;
            flatten(object->get(name), childPath, fields);
        }
    }
}

Fields flattenJson(const std::string &json)
{
    Fields fields;
    if (!json.empty()) {
        flatten(Poco::JSON::Parser().parse(json), "", fields);
    }
    return fields;
}

std::vector<FieldChange> fieldChanges(const std::string &before, const std::string &after)
{
    Fields oldFields = flattenJson(before);
    std::vector<FieldChange> changes;
    for (const auto &[path, value] : flattenJson(after)) {
        const auto current = oldFields.find(path);
        if (current == oldFields.end()) {
            changes.push_back(FieldChange{path, "", value});
            continue;
        }
        if (current->second != value) {
            changes.push_back(FieldChange{path, current->second, value});
        }
        oldFields.erase(current);
    }
    for (const auto &[path, value] : oldFields) {
        changes.push_back(FieldChange{path, value, ""});
    }
    return changes;
}

std::string formatFieldChange(const std::string &item, const FieldChange &field)
{
    const std::string path = item + "." + field.path;
    if (field.before.empty()) {
        return "+ " + path + ": " + field.after;
    }
    if (field.after.empty()) {
        return "- " + path + ": " + field.before;
    }
    return "~ " + path + ": " + field.before + " -> " + field.after;
}

std::string dottedPath(const DeclarationName &name)
{
    return name.section == name.name ? name.section : name.section + "." + name.name;
}

/** Parses a JSON value, which may be a scalar. @return null for an empty text. */
Poco::Dynamic::Var parseJsonValue(const std::string &json)
{
    return Poco::JSON::Parser().parse("[" + json + "]").extract<Poco::JSON::Array::Ptr>()->get(0);
}

std::string_view signColour(char sign)
{
    return sign == '+' ? ColourGreen : sign == '-' ? ColourRed : ColourYellow;
}

} // namespace

std::vector<DeclarationChange> declarationChanges(const FleetState &state, const DeclaredItems &items)
{
    std::vector<DeclarationChange> changes;
    for (const auto &[name, item] : items) {
        const DeclarationRecord *current = state.declarations.find(name);
        const std::string before = current == nullptr ? "" : current->json;
        std::vector<FieldChange> fields = fieldChanges(before, item.json);
        if (current == nullptr || !fields.empty()) {
            changes.push_back(DeclarationChange{name, before, item.json, std::move(fields)});
        }
    }
    for (const auto &[name, row] : state.declarations.all()) {
        if (!row.removed && !items.contains(name)) {
            changes.push_back(DeclarationChange{name, row.record.json, "", fieldChanges(row.record.json, "")});
        }
    }
    return changes;
}

std::string changesText(const CtlOptions &options, const std::vector<DeclarationChange> &changes)
{
    std::string text;
    for (const DeclarationChange &change : changes) {
        const std::string path = dottedPath(change.name);
        if (change.before.empty() || change.after.empty()) {
            const std::string line = (change.before.empty() ? "+ " : "- ") + path;
            text += coloured(options, signColour(line.front()), line) + "\n";
        }
        for (const FieldChange &field : change.fields) {
            const std::string line = formatFieldChange(path, field);
            text += coloured(options, signColour(line.front()), line) + "\n";
        }
    }
    return text + std::to_string(changes.size())
        + (changes.size() == 1 ? " declaration differs\n" : " declarations differ\n");
}

Poco::JSON::Array changesJson(const std::vector<DeclarationChange> &changes)
{
    Poco::JSON::Array list;
    for (const DeclarationChange &change : changes) {
        Poco::JSON::Array fields;
        for (const FieldChange &field : change.fields) {
            Poco::JSON::Object row(Poco::JSON_PRESERVE_KEY_ORDER);
            row.set("path", field.path);
            row.set("before", parseJsonValue(field.before));
            row.set("after", parseJsonValue(field.after));
            fields.add(row);
        }
        Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
        object.set("section", change.name.section);
        object.set("name", change.name.name);
        object.set("change", change.before.empty() ? "added" : change.after.empty() ? "removed" : "changed");
        object.set("fields", fields);
        list.add(object);
    }
    return list;
}

} // namespace Chestnuthook
