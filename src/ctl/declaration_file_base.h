/** @file declaration_file_base.h  Reads the base file and the site's overlay (YAML), merges them, and gives each
 * declaration as JSON with the file and line it came from. Maps merge field by field, lists are replaced, null removes.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "fleet/fleet_type.h"

namespace Chestnuthook
{

/** One merged declaration and where it was written last. */
struct DeclaredItem
{
    std::string json; ///< The object.
    std::string file; ///< Of its last part.
    int line = 0; ///< From 1.
};

using DeclaredItems = std::map<DeclarationName, DeclaredItem>;

/** What reading and checking gave. */
struct DeclarationFiles
{
    DeclaredItems items; ///< All declarations that could be read.
    std::vector<Error> faults; ///< Each with file, line, path and remedy.
};

/** Reads, merges and checks @p files in order; later files go before earlier ones. */
[[nodiscard]] DeclarationFiles readDeclarations(const std::vector<std::string> &files);

} // namespace Chestnuthook
