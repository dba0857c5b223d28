/** @file declaration_file_base.h  Reads the base file and the site's overlay (YAML), merges them, and gives each
 * declaration as JSON with the file and line it came from. Maps merge field by field, lists whose items have a `name`
 * merge by it, other lists and scalars are replaced, null removes. */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ctl/declaration_tree_type.h"
#include "fleet/fleet_type.h"

namespace Chestnuthook
{

/** One merged declaration and where it was written last. */
struct DeclaredItem
{
    std::string json; ///< The object.
    Origin origin; ///< Of its last part.
};

using DeclaredItems = std::map<DeclarationName, DeclaredItem>;

/** What reading and checking gave. */
struct DeclarationFiles
{
    DeclaredItems items; ///< All declarations that could be read.
    std::vector<DeclarationFault> faults; ///< All faults, by file in the order given, then by line.
};

/** Reads, merges and checks @p files in order; later files go before earlier ones. */
[[nodiscard]] DeclarationFiles readDeclarations(const std::vector<std::string> &files);

} // namespace Chestnuthook
