/** @file declaration_file_base.cpp  Merges declaration files and checks the whole, so that all faults are told at once.
 */
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

std::string listed(const std::vector<std::string_view> &names)
{
    std::string text;
    for (const std::string_view name : names) {
        text += text.empty() ? "" : ", ";
        text += name;
    }
    return text;
}

/** Checks a merged tree and takes its items. */
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
                this->blameSection(name, section.origin);
            } else if (section.kind != DeclarationNodeKind::Map) {
                this->blame(section.origin, name, "must be a map", "give its items by name");
            } else {
                this->takeSection(*row, section);
            }
        }
    }

private:
    void blame(const Origin &origin, std::string path, std::string what, std::string remedy)
    {
        this->result.faults.push_back(DeclarationFault{origin, std::move(path), std::move(what), std::move(remedy)});
    }

    void blameSection(const std::string &name, const Origin &origin)
    {
        const std::string near = nearestName(name, sectionNames());
        this->blame(origin, name, "is not a section",
            near.empty() ? "use " + listed(sectionNames()) : "did you mean " + near + "?");
    }

    void takeSection(const SectionRow &row, const DeclarationNode &section)
    {
        const std::string sectionName(row.name);
        if (row.single) {
            this->takeItem(row, DeclarationName{sectionName, sectionName}, section);
            return;
        }
        for (const auto &[name, item] : section.members) {
            this->takeItem(row, DeclarationName{sectionName, name}, item);
        }
    }

    void takeItem(const SectionRow &row, const DeclarationName &name, const DeclarationNode &item)
    {
        const std::string path = row.single ? name.section : name.section + "." + name.name;
        const std::string json = item.toJson();
        for (const FieldFault &fault : declarationFaults(name.section, name.name, json)) {
            std::string full = path;
            for (const std::string &part : fault.path) {
                full += "." + part;
            }
            this->blame(item.originOf(fault.path), std::move(full), fault.what, fault.remedy);
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
                this->blameReference(field, path + "." + std::string(field.name), *value, section);
            }
        }
    }

    void blameReference(
        const FieldRow &field, std::string path, const DeclarationNode &value, const DeclarationNode *section)
    {
        std::vector<std::string_view> names;
        if (section != nullptr) {
            for (const auto &member : section->members) {
                names.emplace_back(member.name);
            }
        }
        const std::string near = nearestName(value.scalar, names);
        const std::string sectionName(field.reference);
        this->blame(value.origin, std::move(path), value.scalar + " is not declared in " + sectionName,
            near.empty() ? "declare it in " + sectionName + " or name another" : "did you mean " + near + "?");
    }

    const DeclarationNode &root; ///< All files, merged.
    DeclarationFiles &result; ///< Gets items and faults.
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
