/** @file declaration_tree_type.h  Tree of merged YAML files in which each node has the file and line that wrote it
 * last. */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Chestnuthook
{

/** Location in a declaration file. */
struct Origin
{
    std::string file; ///< File name as given on the command line.
    int line = 0; ///< Line number from 1; 0 for the whole file.
};

/** A fault of a declaration file. */
struct DeclarationFault
{
    Origin origin; ///< Location of the fault.
    std::string path; ///< Dotted path of keys; empty for the whole file.
    std::string what; ///< Description of the fault.
    std::string remedy; ///< Instruction that resolves the fault.

    /** Formats the fault as `file:line: path: what; remedy: …`. */
    [[nodiscard]] std::string text() const;
};

enum class DeclarationNodeKind : std::uint8_t { Null, Scalar, Map, List };

struct DeclarationMember;

/** Node of a declaration tree. Its children are the members of a map in file order, or the items of a list. */
struct DeclarationNode
{
    DeclarationNodeKind kind = DeclarationNodeKind::Null; ///< Determines which of the other fields are used.
    std::string scalar; ///< Text of a scalar.
    bool quoted = false; ///< The scalar was quoted and is therefore a text.
    std::vector<DeclarationMember> members; ///< Children; names are unique in a map and empty in a list.
    Origin origin; ///< Location of the key or item that wrote the node last.

    /** Returns the member with this name, or null. */
    [[nodiscard]] const DeclarationNode *find(const std::string &name) const;
    /** Returns the origin of the deepest existing node on @p path, or of this node if there is none. */
    [[nodiscard]] const Origin &originOf(const std::vector<std::string> &path) const;
    [[nodiscard]] std::string toJson() const;
};

/** Child of a node. */
struct DeclarationMember
{
    std::string name; ///< Key in a map; empty in a list.
    DeclarationNode node; ///< Value.
};

/** Merges @p overlay into @p base: maps are merged field by field, `null` removes, and all else is replaced. */
void mergeDeclarations(DeclarationNode &base, const DeclarationNode &overlay);

/** Reads a YAML file. Lists whose items all have a `name` become maps with the names as keys. Calls @p reportFault for
 * each fault. @return a null node if the file can't be read. */
[[nodiscard]] DeclarationNode readDeclarationTree(
    const std::string &file, const std::function<void(DeclarationFault)> &reportFault);

} // namespace Chestnuthook
