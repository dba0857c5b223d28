/** @file declaration_file_base.cpp  Merges declaration files and validates the result, so that all faults are reported
 * together. */
#include "ctl/declaration_file_base.h"

#include <algorithm>

#include "fleet/declaration_func.h"
#include "fleet/declaration_table.h"

namespace Chestnuthook
{

namespace
{

std::vector<std::string_view> sectionNames()
{
    std::vector<std::string_view> names;
    for (const SectionRow &row : declarationSections()) {
        names.push_back(row.name);
    }
    return names;
}

std::string joinNames(const std::vector<std::string_view> &names)
{
    std::string text;
    for (const std::string_view name : names) {
        text += text.empty() ? "" : ", ";
        text += name;
    }
    return text;
}

/** Validates a merged tree and collects its items. */
class TreeChecker
{
public:
    TreeChecker(const DeclarationNode &root, DeclarationFiles &result)
        : root(root)
        , result(result)
    {
    }

    void run()
    {
        for (const auto &[name, section] : this->root.members) {
            const SectionRow *row = findSection(name);
            if (row == nullptr) {
                this->addUnknownSectionFault(name, section.origin);
            } else if (section.kind != DeclarationNodeKind::Map) {
                this->addFault(section.origin, name, "must be a map", "give its items by name");
            } else {
                this->readSection(*row, section);
            }
        }
    }

private:
    void addFault(const Origin &origin, std::string path, std::string what, std::string remedy)
    {
        this->result.faults.push_back(DeclarationFault{origin, std::move(path), std::move(what), std::move(remedy)});
    }

    void addUnknownSectionFault(const std::string &name, const Origin &origin)
    {
        const std::string suggestion = nearestName(name, sectionNames());
        this->addFault(origin, name, "is not a section",
            suggestion.empty() ? "use " + joinNames(sectionNames()) : "did you mean " + suggestion + "?");
    }

    void readSection(const SectionRow &row, const DeclarationNode &section)
    {
        const std::string sectionName(row.name);
        if (row.single) {
            this->readItem(row, DeclarationName{sectionName, sectionName}, section);
            return;
        }
        for (const auto &[name, item] : section.members) {
            this->readItem(row, DeclarationName{sectionName, name}, item);
        }
    }

    void readItem(const SectionRow &row, const DeclarationName &name, const DeclarationNode &item)
    {
        const std::string path = row.single ? name.section : name.section + "." + name.name;
        const std::string json = item.toJson();
        for (const FieldFault &fault : declarationFaults(name.section, name.name, json)) {
            std::string full = path;
            for (const std::string &part : fault.path) {
                full += "." + part;
            }
            this->addFault(item.originOf(fault.path), std::move(full), fault.what, fault.remedy);
        }
        if (item.kind == DeclarationNodeKind::Map) {
            this->checkReferences(row, path, item);
        }
        this->result.items[name] = DeclaredItem{json, item.origin};
    }

    void checkReferences(const SectionRow &row, const std::string &path, const DeclarationNode &item)
    {
        for (const FieldRow &field : row.fields) {
            const DeclarationNode *value = field.reference.empty() ? nullptr : item.find(std::string(field.name));
            if (value == nullptr || value->kind != DeclarationNodeKind::Scalar || value->scalar.empty()) {
                continue;
            }
            const DeclarationNode *section = this->root.find(std::string(field.reference));
            if (section == nullptr || section->find(value->scalar) == nullptr) {
                this->addReferenceFault(field, path + "." + std::string(field.name), *value, section);
            }
        }
    }

    void addReferenceFault(
        const FieldRow &field, std::string path, const DeclarationNode &value, const DeclarationNode *section)
    {
        std::vector<std::string_view> names;
        if (section != nullptr) {
            for (const auto &member : section->members) {
                names.emplace_back(member.name);
            }
        }
        const std::string suggestion = nearestName(value.scalar, names);
        const std::string sectionName(field.reference);
        this->addFault(value.origin, std::move(path), value.scalar + " is not declared in " + sectionName,
            suggestion.empty() ? "declare it in " + sectionName + " or name another"
                               : "did you mean " + suggestion + "?");
    }

    const DeclarationNode &root; ///< Merged tree of all files.
    DeclarationFiles &result; ///< Receives the items and faults.
};

} // namespace

DeclarationFiles readDeclarations(const std::vector<std::string> &files)
{
    DeclarationFiles result;
    DeclarationNode root;
    root.kind = DeclarationNodeKind::Map;
    for (const std::string &file : files) {
        const DeclarationNode tree = readDeclarationTree(file, [&](DeclarationFault fault) {
            result.faults.push_back(std::move(fault));
        });
        if (tree.kind == DeclarationNodeKind::Map) {
            mergeDeclarations(root, tree);
        }
    }
    TreeChecker(root, result).run();
    const auto position = [&](const DeclarationFault &fault) {
        return std::find(files.begin(), files.end(), fault.origin.file) - files.begin();
    };
    std::stable_sort(result.faults.begin(), result.faults.end(), [&](const auto &left, const auto &right) {
        return std::pair(position(left), left.origin.line) < std::pair(position(right), right.origin.line);
    });
    return result;
}

} // namespace Chestnuthook
