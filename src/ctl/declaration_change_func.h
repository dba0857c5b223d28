/** @file declaration_change_func.h  Computes the differences between declaration files and the fleet state, field by
 * field. */
#pragma once

#include <string>
#include <vector>

#include "ctl/ctl_type.h"
#include "ctl/declaration_file_base.h"
#include "fleet/fleet_base.h"

namespace Chestnuthook
{

/** Change of a field. */
struct FieldChange
{
    std::string path; ///< Dotted path below the item.
    std::string before; ///< Old value as JSON; empty for an added field.
    std::string after; ///< New value as JSON; empty for a removed field.
};

/** Change of a declaration. */
struct DeclarationChange
{
    DeclarationName name; ///< Section and name of the declaration.
    std::string before; ///< JSON in the fleet; empty for an added declaration.
    std::string after; ///< JSON in the files; empty for a removed declaration.
    std::vector<FieldChange> fields; ///< Changed fields.
};

/** Returns the changes that bring @p state to @p items. The order of fields in an object is ignored. */
[[nodiscard]] std::vector<DeclarationChange> declarationChanges(const FleetState &state, const DeclaredItems &items);
/** Formats the changes, one line per field: `+` added, `-` removed, `~` changed. */
[[nodiscard]] std::string changesText(const CtlOptions &options, const std::vector<DeclarationChange> &changes);
[[nodiscard]] Poco::JSON::Array changesJson(const std::vector<DeclarationChange> &changes);

} // namespace Chestnuthook
