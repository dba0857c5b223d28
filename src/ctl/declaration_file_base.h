/** @file declaration_file_base.h  Reads and merges YAML declaration files, such as a base file and the overlay of a
 * site, and converts each declaration to JSON with its source file and line. Maps are merged field by field, and lists
 * whose items all have a `name` are merged by name. Other lists and scalars are replaced; null removes. */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ctl/declaration_tree_type.h"
#include "fleet/fleet_type.h"

namespace Chestnuthook
{

/** A merged declaration and its source location. */
struct DeclaredItem
{
    std::string json; ///< Declaration as a JSON object.
    Origin origin; ///< Location of the last file that wrote a part of it.
};

using DeclaredItems = std::map<DeclarationName, DeclaredItem>;

/** Result of reading and validating declaration files. */
struct DeclarationFiles
{
    DeclaredItems items; ///< All declarations that could be read, including faulty ones.
    std::vector<DeclarationFault> faults; ///< All faults, by file in the order given, then by line.
};

/** Reads, merges and validates @p files in order; later files override earlier ones. */
[[nodiscard]] DeclarationFiles readDeclarations(const std::vector<std::string> &files);

} // namespace Chestnuthook
