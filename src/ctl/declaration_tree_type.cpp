/** @file declaration_tree_type.cpp  Reads YAML files with yaml-cpp and merges the trees. */
#include "ctl/declaration_tree_type.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <set>

#include <yaml-cpp/yaml.h>

#include "observe/event_ring_base.h"

namespace Chestnuthook
{

namespace
{

constexpr std::size_t MaxDepth = 16;
constexpr std::size_t MaxFileBytes = 16UL * 1024 * 1024;

using FaultCallback = std::function<void(DeclarationFault)>;

std::string joinPath(const std::vector<std::string> &path)
{
    std::string text;
    for (const std::string &part : path) {
        text += text.empty() ? part : "." + part;
    }
    return text;
}

bool isNumber(const std::string &text)
{
    double number = 0;
    return YAML::convert<double>::decode(YAML::Node(text), number) && text.front() != '+' && text.front() != '.'
        && text.find_first_not_of("+-.0123456789eE") == std::string::npos && text.back() != '.';
}

/** Converts yaml-cpp nodes to declaration nodes. */
class TreeReader
{
public:
    TreeReader(const std::string &file, const FaultCallback &reportFault)
        : file(file)
        , reportFault(reportFault)
    {
    }

    DeclarationNode read(const YAML::Node &node, int line)
    {
        DeclarationNode result;
        result.origin = Origin{this->file, line};
        if (this->path.size() > MaxDepth) {
            this->addFault(line, "is nested too deep", "give at most 16 levels");
        } else if (node.IsScalar()) {
            result.kind = DeclarationNodeKind::Scalar;
            result.scalar = node.Scalar();
            result.quoted = node.Tag() == "!";
        } else if (node.IsMap()) {
            this->readMap(node, result);
        } else if (node.IsSequence()) {
            this->readList(node, result);
        }
        return result;
    }

private:
    void addFault(int line, std::string what, std::string remedy)
    {
        this->reportFault(
            DeclarationFault{Origin{this->file, line}, joinPath(this->path), std::move(what), std::move(remedy)});
    }

    void readMap(const YAML::Node &node, DeclarationNode &result)
    {
        result.kind = DeclarationNodeKind::Map;
        for (const auto &part : node) {
            const int line = part.first.Mark().line + 1;
            if (!part.first.IsScalar()) {
                this->addFault(line, "has a key that is no name", "use plain names as keys");
                continue;
            }
            this->addMember(result, part.first.Scalar(), part.second, line);
        }
    }

    void addMember(DeclarationNode &result, const std::string &name, const YAML::Node &node, int line)
    {
        this->path.push_back(name);
        const DeclarationNode *known = result.find(name);
        if (known == nullptr) {
            DeclarationNode member = this->read(node, line);
            result.members.push_back(DeclarationMember{name, std::move(member)});
        } else {
            this->addFault(line, "stands twice in this file, first on line " + std::to_string(known->origin.line),
                "keep one of the two");
        }
        this->path.pop_back();
    }

    void readList(const YAML::Node &node, DeclarationNode &result)
    {
        const bool named = node.size() > 0 && std::all_of(node.begin(), node.end(), [](const YAML::Node &item) {
            return item.IsMap() && item["name"] && item["name"].IsScalar();
        });
        result.kind = named ? DeclarationNodeKind::Map : DeclarationNodeKind::List;
        for (const auto &item : node) {
            const int line = item.Mark().line + 1;
            if (named) {
                YAML::Node fields = YAML::Clone(item);
                const std::string name = fields["name"].Scalar();
                fields.remove("name");
                this->addMember(result, name, fields, line);
            } else {
                this->path.push_back(std::to_string(result.members.size()));
                result.members.push_back(DeclarationMember{"", this->read(item, line)});
                this->path.pop_back();
            }
        }
    }

    const std::string &file; ///< File name as given on the command line.
    const FaultCallback &reportFault; ///< Called for each fault.
    std::vector<std::string> path; ///< Path of the current node.
};

/** Reports tabs in indentation. YAML forbids them, but the error messages of YAML parsers are unhelpful. */
bool hasTabIndentation(const std::string &file, const std::string &text, const FaultCallback &reportFault)
{
    bool found = false;
    int line = 1;
    for (std::size_t begin = 0; begin < text.size(); ++line) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        const std::size_t first = std::min(text.find_first_not_of(" \t", begin), end);
        if (first != end && text.find('\t', begin) < first) {
            reportFault(DeclarationFault{
                Origin{file, line}, "", "a tab stands in the indentation", "indent by spaces, two a level"});
            found = true;
        }
        begin = end + 1;
    }
    return found;
}

std::optional<std::string> readText(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(stream), {});
    if (!stream.is_open() || stream.bad() || text.size() > MaxFileBytes) {
        return std::nullopt;
    }
    return text;
}

} // namespace

std::string DeclarationFault::text() const
{
    std::string location = this->origin.file;
    if (this->origin.line > 0) {
        location += ":" + std::to_string(this->origin.line);
    }
    return location + ": " + (this->path.empty() ? "" : this->path + ": ") + this->what + "; remedy: " + this->remedy;
}

const DeclarationNode *DeclarationNode::find(const std::string &name) const
{
    const auto found = std::find_if(this->members.begin(), this->members.end(), [&](const DeclarationMember &member) {
        return member.name == name;
    });
    return found == this->members.end() ? nullptr : &found->node;
}

const Origin &DeclarationNode::originOf(const std::vector<std::string> &path) const
{
    const DeclarationNode *node = this;
    for (const std::string &part : path) {
        const bool isList = node->kind == DeclarationNodeKind::List;
        const std::size_t position = isList ? std::stoul(part) : 0;
        const DeclarationNode *next = !isList ? node->find(part)
            : position < node->members.size() ? &node->members[position].node
                                              : nullptr;
        if (next == nullptr) {
            break;
        }
        node = next;
    }
    return node->origin;
}

std::string DeclarationNode::toJson() const
{
    if (this->kind == DeclarationNodeKind::Null) {
        return "null";
    }
    if (this->kind == DeclarationNodeKind::Scalar) {
        const bool isBoolean = this->scalar == "true" || this->scalar == "false";
        const bool isLiteral = !this->quoted && !this->scalar.empty() && (isBoolean || isNumber(this->scalar));
        return isLiteral ? this->scalar : jsonQuoted(this->scalar);
    }
    const bool isMap = this->kind == DeclarationNodeKind::Map;
    std::string json;
    for (const DeclarationMember &member : this->members) {
        json += json.empty() ? "" : ",";
        json += isMap ? jsonQuoted(member.name) + ":" + member.node.toJson() : member.node.toJson();
    }
    return isMap ? "{" + json + "}" : "[" + json + "]";
}

void mergeDeclarations(DeclarationNode &base, const DeclarationNode &overlay)
{
    if (overlay.kind != DeclarationNodeKind::Map) {
        base = overlay;
        return;
    }
    if (base.kind != DeclarationNodeKind::Map) {
        base = DeclarationNode{DeclarationNodeKind::Map, "", false, {}, {}};
    }
    base.origin = overlay.origin;
    for (const DeclarationMember &member : overlay.members) {
        const auto known = std::find_if(base.members.begin(), base.members.end(), [&](const auto &candidate) {
            return candidate.name == member.name;
        });
        if (member.node.kind == DeclarationNodeKind::Null) {
            if (known != base.members.end()) {
                base.members.erase(known);
            }
        } else if (known != base.members.end()) {
            mergeDeclarations(known->node, member.node);
        } else {
            base.members.push_back(DeclarationMember{member.name, DeclarationNode{}});
            mergeDeclarations(base.members.back().node, member.node);
        }
    }
}

DeclarationNode readDeclarationTree(const std::string &file, const FaultCallback &reportFault)
{
    const std::optional<std::string> text = readText(file);
    if (!text) {
        reportFault(DeclarationFault{Origin{file, 0}, "", "can't be read", "name a readable file of at most 16 MiB"});
        return {};
    }
    if (hasTabIndentation(file, *text, reportFault)) {
        return {};
    }
    try {
        const std::vector<YAML::Node> documents = YAML::LoadAll(*text);
        if (documents.empty() || documents.front().IsNull()) {
            reportFault(DeclarationFault{
                Origin{file, 1}, "", "the file is empty", "write at least one section, or leave the file out"});
            return {};
        }
        if (documents.size() > 1) {
            reportFault(DeclarationFault{Origin{file, documents[1].Mark().line + 1}, "",
                "a second document begins here", "keep one document a file; remove the line ---"});
            return {};
        }
        if (!documents.front().IsMap()) {
            reportFault(DeclarationFault{
                Origin{file, 1}, "", "the file must hold a map of sections", "begin with a section, such as tenants:"});
            return {};
        }
        return TreeReader(file, reportFault).read(documents.front(), 1);
    } catch (const YAML::Exception &exception) {
        reportFault(
            DeclarationFault{Origin{file, std::max(exception.mark.line, 0) + 1}, "", "is not YAML: " + exception.msg,
                "mend the indentation, brackets or quotes on this line or the one before"});
        return {};
    }
}

} // namespace Chestnuthook
