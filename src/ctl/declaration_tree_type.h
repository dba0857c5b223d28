/** @file declaration_tree_type.h  A merged YAML tree whose every node remembers the file and line that wrote it last.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Chestnuthook
{

/** A place in a declaration file. */
struct Origin
{
    std::string file; ///< As named on the command line.
    int line = 0; ///< From 1; 0 for the file as a whole.
};

/** A fault of a declaration file. */
struct DeclarationFault
{
    Origin origin; ///< Where it stands.
    std::string path; ///< Dotted path of keys; empty for the file as a whole.
    std::string what; ///< What is wrong.
    std::string remedy; ///< What to do about it.

    /** `file:line: path: what; remedy: …`. */
    [[nodiscard]] std::string text() const;
};

enum class DeclarationNodeKind : std::uint8_t { Null, Scalar, Map, List };

struct DeclarationMember;

/** One node; children are members of maps, in the order of the files, or items of lists. */
struct DeclarationNode
{
    DeclarationNodeKind kind = DeclarationNodeKind::Null; ///< Chooses which of the rest counts.
    std::string scalar; ///< Text of a scalar.
    bool quoted = false; ///< The scalar stood in quotes, so that it is a text.
    std::vector<DeclarationMember> members; ///< Of a map, with unique names; of a list, with empty ones.
    Origin origin; ///< Of the key or item that wrote it last.

    /** The member of that name, or null. */
    [[nodiscard]] const DeclarationNode *find(const std::string &name) const;
    /** Where the deepest node on @p path stands; this node's origin where none is there. */
    [[nodiscard]] const Origin &originOf(const std::vector<std::string> &path) const;
    [[nodiscard]] std::string toJson() const;
};

/** A child of a node. */
struct DeclarationMember
{
    std::string name; ///< Its key in a map; empty in a list.
    DeclarationNode node; ///< Its value.
};

/** Merges @p over into @p base: maps field by field, `null` removes, all else is replaced. */
void mergeDeclarations(DeclarationNode &base, const DeclarationNode &over);

/** Reads a YAML file; lists whose items all have a `name` become maps by that name. Calls @p blame for each fault.
 * @return a null node where nothing could be read. */
[[nodiscard]] DeclarationNode readDeclarationTree(
    const std::string &file, const std::function<void(DeclarationFault)> &blame);

} // namespace Chestnuthook
