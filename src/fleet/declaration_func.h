/** @file declaration_func.h  Parses and validates the JSON of one declaration against the section table. `ctl
 * validate`, the control members (before they accept an apply) and the entries share these functions. */
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/error_type.h"
#include "fleet/declaration_type.h"

namespace Chestnuthook
{

/** A validation fault of a field or of a whole item. */
struct FieldFault
{
    std::vector<std::string> path; ///< Field, then map key or list index; empty for the whole item.
    std::string what; ///< Description of the fault.
    std::string remedy; ///< Instruction that resolves the fault.
};

/** The parsers fail with BadDeclaration; the message names the first faulty field and the remedy. */
[[nodiscard]] Result<CustomerDeclaration> parseCustomer(const std::string &name, const std::string &json);
[[nodiscard]] Result<ModelDeclaration> parseModel(const std::string &name, const std::string &json);
[[nodiscard]] Result<AdapterDeclaration> parseAdapter(const std::string &name, const std::string &json);
[[nodiscard]] Result<ServiceDeclaration> parseService(const std::string &name, const std::string &json);
[[nodiscard]] Result<PoolDeclaration> parsePool(const std::string &name, const std::string &json);
[[nodiscard]] Result<RouteDeclaration> parseRoute(const std::string &name, const std::string &json);
[[nodiscard]] Result<SiteDeclaration> parseSite(const std::string &json);

/** Returns whether a request to @p path of @p service needs no API key: the service is open, or one of its routes
 * allows @p method on the path or on a parent path. */
[[nodiscard]] bool isOpenToAll(
    const ServiceDeclaration &service, const RouteTable &routes, const std::string &method, std::string_view path);

/** Validates item @p name of @p section. @return all faults found; empty for a valid item. */
[[nodiscard]] std::vector<FieldFault> declarationFaults(
    const std::string &section, const std::string &name, const std::string &json);

/** Validates a declaration of any section. @return BadDeclaration with the first fault if it isn't valid. */
[[nodiscard]] Result<void> checkDeclaration(
    const std::string &section, const std::string &name, const std::string &json);

/** Returns the closest of @p names to @p word by edit distance, or an empty text if none is within two edits. */
[[nodiscard]] std::string nearestName(std::string_view word, const std::vector<std::string_view> &names);

} // namespace Chestnuthook
