/** @file declaration_func.h  Parses and checks one declaration's JSON after the table of sections. The same functions
 * serve `ctl validate`, the control members' test of an apply, and the entries. */
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/error_type.h"
#include "fleet/declaration_type.h"

namespace Chestnuthook
{

/** One fault of one field. */
struct FieldFault
{
    std::vector<std::string> path; ///< Below the item: the field, then a key or list position in it; empty for all.
    std::string what; ///< What is wrong.
    std::string remedy; ///< What to do about it.
};

/** Each parser's errors are BadDeclaration, with the first faulty field and the remedy in the text. */
[[nodiscard]] Result<CustomerDeclaration> parseCustomer(const std::string &name, const std::string &json);
[[nodiscard]] Result<ModelDeclaration> parseModel(const std::string &name, const std::string &json);
[[nodiscard]] Result<AdapterDeclaration> parseAdapter(const std::string &name, const std::string &json);
[[nodiscard]] Result<ServiceDeclaration> parseService(const std::string &name, const std::string &json);
[[nodiscard]] Result<PoolDeclaration> parsePool(const std::string &name, const std::string &json);
[[nodiscard]] Result<RouteDeclaration> parseRoute(const std::string &name, const std::string &json);
[[nodiscard]] Result<SiteDeclaration> parseSite(const std::string &json);

/** Whether a request to @p path of @p service needs no key: the service is open, or a route with this method leads to
 * the path or one below it. */
[[nodiscard]] bool isOpenToAll(
    const ServiceDeclaration &service, const RouteTable &routes, const std::string &method, std::string_view path);

/** All faults of one item of @p section. */
[[nodiscard]] std::vector<FieldFault> declarationFaults(
    const std::string &section, const std::string &name, const std::string &json);

/** Checks any declaration by its section; the error holds the first fault. */
[[nodiscard]] Result<void> checkDeclaration(
    const std::string &section, const std::string &name, const std::string &json);

/** The one of @p names that is within two edits of @p word and nearest to it; empty where there is none. */
[[nodiscard]] std::string nearestName(std::string_view word, const std::vector<std::string_view> &names);

} // namespace Chestnuthook
