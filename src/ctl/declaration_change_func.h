/** @file declaration_change_func.h  Differences between declaration files and the fleet, field by field. */
#pragma once

#include <string>
#include <vector>

#include "ctl/ctl_type.h"
#include "ctl/declaration_file_base.h"
#include "fleet/fleet_base.h"

namespace Chestnuthook
{

/** One field that differs. */
struct FieldChange
{
    std::string path; ///< Dotted, below the item.
    std::string before; ///< JSON; empty where it wasn't there.
    std::string after; ///< JSON; empty where it goes.
};

/** One declaration that differs. */
struct DeclarationChange
{
    DeclarationName name; ///< What changes.
    std::string before; ///< Its JSON in the fleet; empty where it is new.
    std::string after; ///< Its JSON in the files; empty where it goes.
    std::vector<FieldChange> fields; ///< What differs in it.
};

/** All differences; objects that differ only in the order of their fields are the same. */
[[nodiscard]] std::vector<DeclarationChange> declarationChanges(const FleetState &state, const DeclaredItems &items);
/** One line a field: `+` added, `-` removed, `~` changed. */
[[nodiscard]] std::string changesText(const CtlOptions &options, const std::vector<DeclarationChange> &changes);
[[nodiscard]] Poco::JSON::Array changesJson(const std::vector<DeclarationChange> &changes);

} // namespace Chestnuthook
