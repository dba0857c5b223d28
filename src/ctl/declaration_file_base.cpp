/** @file declaration_file_base.cpp  YAML to declarations, by yaml-cpp. */
#include "ctl/declaration_file_base.h"

#include <algorithm>
#include <array>

#include <yaml-cpp/yaml.h>

#include "fleet/declaration_func.h"
#include "observe/event_ring_base.h"

namespace Chestnuthook
{

namespace
{

constexpr std::array<std::string_view, 4> Sections = {"site", "tenants", "models", "services"};
constexpr int MaxDepth = 16;

std::string place(const std::string &file, const YAML::Mark &mark, const std::string &path)
{
    return file + ":" + std::to_string(mark.line + 1) + ": " + path;
}

/** JSON of a scalar: numbers and truth values as such, unless they are quoted. */
std::string scalarJson(const YAML::Node &node)
{
    const std::string &text = node.Scalar();
    bool flag = false;
    double number = 0;
    if (node.Tag() != "!" && YAML::convert<bool>::decode(node, flag)) {
        return flag ? "true" : "false";
    }
    if (node.Tag() != "!" && YAML::convert<double>::decode(node, number)) {
        const bool plain = text.find_first_not_of("+-.0123456789eE") == std::string::npos && text.front() != '+'
            && text.front() != '.';
        return plain ? text : jsonQuoted(text);
    }
    return jsonQuoted(text);
}

std::string toJson(const YAML::Node &node, int depth)
{
    if (depth > MaxDepth || node.IsNull()) {
        return "null";
    }
    if (node.IsScalar()) {
        return scalarJson(node);
    }
    std::string json;
    for (const auto &part : node) {
        json += json.empty() ? "" : ",";
        json += node.IsMap() ? jsonQuoted(part.first.Scalar()) + ":" + toJson(part.second, depth + 1)
                             : toJson(part, depth + 1);
    }
    return node.IsMap() ? "{" + json + "}" : "[" + json + "]";
}

/** Merges @p over into @p base, both maps. */
void mergeMap(YAML::Node base, const YAML::Node &over)
{
    for (const auto &part : over) {
        const std::string name = part.first.Scalar();
        if (part.second.IsNull()) {
            base.remove(name);
        } else if (part.second.IsMap() && base[name] && base[name].IsMap()) {
            mergeMap(base[name], part.second);
        } else {
            base[name] = YAML::Clone(part.second);
        }
    }
}

/** Collects declarations of one file into the merged maps. */
class Merger
{
public:
    explicit Merger(DeclarationFiles &result)
        : result(result)
    {
    }

    void addFile(const std::string &file)
    {
        YAML::Node root;
        try {
            root = YAML::LoadFile(file);
        } catch (const YAML::BadFile &) {
            this->blame(file + ": can't be read; name a readable file");
            return;
        } catch (const YAML::Exception &exception) {
            this->blame(place(file, exception.mark, "not YAML: ") + exception.msg);
            return;
        }
        if (!root.IsMap()) {
            this->blame(file + ":1: the file must hold a map of sections");
            return;
        }
        for (const auto &section : root) {
            this->addSection(file, section.first, section.second);
        }
    }

    void finish()
    {
        for (const auto &[name, node] : this->nodes) {
            DeclaredItem item = this->origins[name];
            item.json = toJson(node, 0);
            const Result<void> checked = checkDeclaration(name.section, name.name, item.json);
            if (!checked) {
                this->blame(item.file + ":" + std::to_string(item.line) + ": " + name.section + "." + name.name + ": "
                    + checked.error().what);
            }
            this->result.items[name] = std::move(item);
        }
    }

private:
    void addSection(const std::string &file, const YAML::Node &key, const YAML::Node &section)
    {
        const std::string &name = key.Scalar();
        if (std::find(Sections.begin(), Sections.end(), name) == Sections.end()) {
            this->blame(
                place(file, key.Mark(), name) + ": section is not known; use site, tenants, models or services");
            return;
        }
        if (!section.IsMap()) {
            this->blame(place(file, key.Mark(), name) + ": must be a map; give items by name");
            return;
        }
        if (name == "site") {
            this->addItem(file, DeclarationName{name, name}, key, section);
            return;
        }
        for (const auto &item : section) {
            this->addItem(file, DeclarationName{name, item.first.Scalar()}, item.first, item.second);
        }
    }

    void addItem(const std::string &file, const DeclarationName &name, const YAML::Node &key, const YAML::Node &item)
    {
        if (item.IsNull()) {
            this->nodes.erase(name);
            return;
        }
        if (!item.IsMap()) {
            this->blame(place(file, key.Mark(), name.section + "." + name.name) + ": must be a map of fields");
            return;
        }
        this->origins[name] = DeclaredItem{"", file, key.Mark().line + 1};
        const auto known = this->nodes.find(name);
        if (known == this->nodes.end()) {
            this->nodes.emplace(name, YAML::Clone(item));
        } else {
            mergeMap(known->second, item);
        }
    }

    void blame(std::string what)
    {
        this->result.faults.push_back(Error{ErrorKind::BadDeclaration, std::move(what), Ran::No, 0});
    }

    DeclarationFiles &result; ///< Gets items and faults.
    std::map<DeclarationName, YAML::Node> nodes; ///< Merged so far.
    std::map<DeclarationName, DeclaredItem> origins; ///< Where each was written last.
};

} // namespace

DeclarationFiles readDeclarations(const std::vector<std::string> &files)
{
    DeclarationFiles result;
    Merger merger(result);
    for (const std::string &file : files) {
        merger.addFile(file);
    }
    merger.finish();
    return result;
}

} // namespace Chestnuthook
