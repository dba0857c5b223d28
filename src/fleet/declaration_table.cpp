/** @file declaration_table.cpp  Table of all declaration sections and their fields. */
#include "fleet/declaration_table.h"

#include <algorithm>
#include <array>

namespace Chestnuthook
{

namespace
{

using enum FieldType;

constexpr double MaxRate = 1e6; ///< Requests per second.
constexpr double MaxWeight = 100;
constexpr double MaxTokens = 1e6;
constexpr double MaxBudgetCalls = 1e6;
constexpr double MaxBudgetTokens = 1e9;
constexpr double MaxSeconds = 1e7;
constexpr double MaxTimeoutMs = 3'600'000;
constexpr double MaxReplicas = 1e5;
constexpr double MaxDepth = 64;
constexpr double MaxVersion = 1e9;

constexpr std::array<std::string_view, 7> Methods = {"GET", "HEAD", "PUT", "DELETE", "POST", "PATCH", "OPTIONS"};

constexpr auto SiteFields = std::to_array<FieldRow>({
    {"default_calls", Whole, 1, MaxBudgetCalls, 88, false, "", {}, "Calls of a program that names no budget.",
        "give the number of calls that a usual program may make"},
    {"default_tokens", Whole, 1, MaxBudgetTokens, 130'000, false, "", {}, "Tokens of a program that names no budget.",
        "give the number of tokens that a usual program may use"},
    {"default_seconds", Number, 1, MaxSeconds, 3600, false, "", {},
        "Wall time in seconds of a program that names no budget.", "give the seconds that a usual program may take"},
    {"max_depth", Whole, 0, MaxDepth, 4, false, "", {}, "Levels of sub-agents.",
        "give the levels of sub-agents that a program may have"},
    {"retention_seconds", Number, 0, MaxSeconds, 600, false, "", {}, "How long ended programs are kept, in seconds.",
        "give the seconds for which callers may still read an ended program"},
});

constexpr auto CustomerFields = std::to_array<FieldRow>({
    {"rate", Number, 0.001, MaxRate, 1, true, "", {}, "Requests per second, counted over all entries.",
        "give the tenant's requests per second"},
    {"burst", Number, 1, MaxRate, 1, true, "", {}, "Requests that may come at once.",
        "give the requests that may come at once, at least 1"},
    {"weight", Number, 0.01, MaxWeight, 1, false, "", {}, "Share of the endpoints under overload, against the others.",
        "give the tenant's share against the others, 1 for an ordinary one"},
});

constexpr auto ModelFields = std::to_array<FieldRow>({
    {"max_tokens", Whole, 1, MaxTokens, 4096, false, "", {}, "Upper bound of a call's max_tokens.",
        "give the most tokens that one call may generate"},
    {"timeout_ms", Whole, 1, MaxTimeoutMs, 30'000, false, "", {}, "Deadline of a call in milliseconds.",
        "give milliseconds, at most an hour"},
    {"replicas", Whole, 0, MaxReplicas, 0, false, "", {}, "Endpoints that should serve it; 0 for all.",
        "give the number of endpoints, or 0 for all"},
});

constexpr auto AdapterFields = std::to_array<FieldRow>({
    {"model", Text, 0, 0, 0, true, "models", {}, "The model that it adapts.", "name a model of the section models"},
    {"version", Whole, 1, MaxVersion, 1, false, "", {}, "Version that endpoints should load.",
        "give the version's number in the weight store"},
});

constexpr auto ServiceFields = std::to_array<FieldRow>({
    {"idempotent_methods", Texts, 0, 0, 0, false, "", Methods, "Methods that may be repeated.",
        "list HTTP methods in capitals, such as [GET, HEAD]"},
    {"timeout_ms", Whole, 1, MaxTimeoutMs, 30'000, false, "", {}, "Deadline of a call in milliseconds.",
        "give milliseconds, at most an hour"},
    {"open", Flag, 0, 0, 0, false, "", {}, "Requests need no key.", "say true or false, without quotes"},
    {"checks_fencing", Flag, 0, 0, 0, false, "", {}, "Its endpoints refuse orders with an old fencing number.",
        "say true or false, without quotes"},
});

constexpr auto PoolFields = std::to_array<FieldRow>({
    {"model", Text, 0, 0, 0, false, "models", {}, "The model that its endpoints serve; or give service.",
        "name a model of the section models"},
    {"service", Text, 0, 0, 0, false, "services", {}, "The service that its endpoints serve; or give model.",
        "name a service of the section services"},
    {"replicas", Counts, 0, MaxReplicas, 0, true, "", {}, "Endpoints in each data centre.",
        "give a map of data centre to number, such as {dc1: 4, dc2: 3}"},
    {"checks_fencing", Flag, 0, 0, 0, false, "", {}, "Its endpoints refuse orders with an old fencing number.",
        "say true or false, without quotes"},
});

constexpr auto RouteFields = std::to_array<FieldRow>({
    {"service", Text, 0, 0, 0, true, "services", {}, "The service that it leads to.",
        "name a service of the section services"},
    {"path", Text, 0, 0, 0, true, "", {}, "Start of the paths that are open to all; begins with `/`.",
        "give the start of a path, such as /prices"},
    {"methods", Texts, 0, 0, 0, true, "", Methods, "Methods that are open to all.",
        "list HTTP methods in capitals, such as [GET, HEAD]"},
});

constexpr auto Sections = std::to_array<SectionRow>({
    {"site", true, SiteFields, "Budgets and retention of the whole site."},
    {"tenants", false, CustomerFields, "Customers with their rate and burst, counted over all entries."},
    {"models", false, ModelFields, "Models that callers may name."},
    {"adapters", false, AdapterFields, "Adapters of models."},
    {"services", false, ServiceFields, "Plain services that calls are routed to."},
    {"pools", false, PoolFields, "Endpoints that serve a model or a service, by data centre."},
    {"routes", false, RouteFields, "Routes of services that are open to all, without a key."},
});

} // namespace

std::span<const SectionRow> declarationSections()
{
    return Sections;
}

const SectionRow *findSection(std::string_view name)
{
    const auto *const found = std::find_if(Sections.begin(), Sections.end(), [name](const SectionRow &row) {
        return row.name == name;
    });
    return found == Sections.end() ? nullptr : found;
}

const FieldRow *findField(const SectionRow &section, std::string_view name)
{
    const auto found = std::find_if(section.fields.begin(), section.fields.end(), [name](const FieldRow &row) {
        return row.name == name;
    });
    return found == section.fields.end() ? nullptr : &*found;
}

bool isPlainName(std::string_view name)
{
    constexpr std::size_t MaxName = 64;
    const auto isPlain = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    return !name.empty() && name.size() <= MaxName && name.front() >= 'a' && name.front() <= 'z'
        && std::all_of(name.begin(), name.end(), isPlain);
}

} // namespace Chestnuthook
