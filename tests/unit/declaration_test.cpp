/** @file declaration_test.cpp  Tests of merging and validating declaration files. All faults of invalid files are
 * reported together, each with line, path and remedy. */
#define BOOST_TEST_MODULE declaration
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "ctl/declaration_change_func.h"
#include "ctl/declaration_file_base.h"
#include "entry/fleet_follower_base.h"
#include "fleet/declaration_func.h"
#include "fleet/declaration_table.h"

using namespace Chestnuthook;

namespace
{

/** A temporary folder with declaration files; removed by the destructor. */
class TemporaryFiles
{
public:
    TemporaryFiles()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "declaration-XXXXXX").string();
        this->folder = mkdtemp(pattern.data());
    }
    TemporaryFiles(const TemporaryFiles &) = delete;
    TemporaryFiles &operator=(const TemporaryFiles &) = delete;
    ~TemporaryFiles()
    {
        std::filesystem::remove_all(this->folder);
    }

    std::string add(const std::string &text)
    {
        std::string path = this->folder + "/" + std::to_string(this->count++) + ".yaml";
        std::ofstream(path, std::ios::binary) << text;
        return path;
    }

private:
    std::string folder; ///< Path in the system's temporary folder.
    int count = 0; ///< Number of files added.
};

DeclarationFiles readTexts(const std::vector<std::string> &texts)
{
    TemporaryFiles files;
    std::vector<std::string> paths;
    paths.reserve(texts.size());
    for (const std::string &text : texts) {
        paths.push_back(files.add(text));
    }
    return readDeclarations(paths);
}

/** An invalid file with the expected fault. */
struct InvalidFileCase
{
    std::string text; ///< Content of the file.
    int line; ///< Line of the fault.
    std::string path; ///< Path of the fault.
    std::string what; ///< Part of the description.
    std::string remedy; ///< Part of the remedy.
};

const std::vector<InvalidFileCase> InvalidFileCases = {
    {"", 1, "", "empty", "write at least one section"},
    {"# only a comment\n", 1, "", "empty", "write at least one section"},
    {"- a\n- b\n", 1, "", "map of sections", "begin with a section"},
    {"just a text\n", 1, "", "map of sections", "begin with a section"},
    {"tenants:\n\ta: {rate: 1, burst: 1}\n", 2, "", "tab", "indent by spaces"},
    {"tenants:\n  a:\n    rate: 1\n   burst: 1\n", 4, "", "not YAML", "mend the indentation"},
    {"tenants:\n  a: {rate: 1, burst: 1\nmodels: {}\n", 3, "", "not YAML", "brackets"},
    {"site: {max_depth: 1}\n---\nsite: {max_depth: 2}\n", 3, "", "second document", "remove the line ---"},
    {"tenant:\n  a: {rate: 1, burst: 1}\n", 1, "tenant", "not a section", "did you mean tenants?"},
    {"site: {}\nfarms:\n  a: {}\n", 2, "farms", "not a section", "use site, tenants"},
    {"tenants: 5\n", 1, "tenants", "must be a map", "by name"},
    {"tenants:\n  - 5\n", 1, "tenants", "must be a map", "by name"},
    {"site: 5\n", 1, "site", "must be a map", "by name"},
    {"tenants:\n  a: 5\n", 2, "tenants.a", "must be a map of fields", "by name"},
    {"tenants:\n  Big One: {rate: 1, burst: 1}\n", 2, "tenants.Big One", "plain name", "lower-case letters"},
    {"tenants:\n  1st: {rate: 1, burst: 1}\n", 2, "tenants.1st", "plain name", "a letter first"},
    {"tenants:\n  a: {rate: 1, burst: 1}\n  b: {rate: 1, burst: 1}\n  a: {rate: 2, burst: 2}\n", 4, "tenants.a",
        "stands twice in this file, first on line 2", "keep one"},
    {"tenants:\n  a:\n    rate: 1\n    burst: 1\n    rate: 2\n", 5, "tenants.a.rate", "first on line 3", "keep one"},
    {"site: {}\ntenants: {}\nsite: {}\n", 3, "site", "first on line 1", "keep one"},
    {"routes:\n  - {name: x, service: s, path: /, methods: [GET]}\n  - {name: x}\nservices: {s: {}}\n", 3, "routes.x",
        "first on line 2", "keep one"},
    {"tenants:\n  a:\n    burst: 1\n", 2, "tenants.a", "rate is missing", "requests per second"},
    {"tenants:\n  a:\n    rate: 1\n", 2, "tenants.a", "burst is missing", "come at once"},
    {"tenants:\n  a:\n    rate: \"30\"\n    burst: 1\n", 3, "tenants.a.rate", "not text; write it without quotes",
        "requests per second"},
    {"tenants:\n  a:\n    rate: fast\n    burst: 1\n", 3, "tenants.a.rate", "must be a number", "requests per second"},
    {"tenants:\n  a:\n    rate: 0\n    burst: 1\n", 3, "tenants.a.rate", "from 0.001 to 1000000",
        "requests per second"},
    {"tenants:\n  a:\n    burst: 1\n    rate: -4\n", 4, "tenants.a.rate", "must be from", "requests per second"},
    {"tenants:\n  a:\n    rate: 1\n    burst: [1]\n", 4, "tenants.a.burst", "must be a number", "at least 1"},
    {"tenants:\n  a:\n    rate: 1\n    burst: 0.5\n", 4, "tenants.a.burst", "from 1", "at least 1"},
    {"tenants:\n  a:\n    rate: .inf\n    burst: 1\n", 3, "tenants.a.rate", "must be a number", "requests per second"},
    {"tenants:\n  a:\n    rate: 1\n    burst: 1\n    wieght: 3\n", 5, "tenants.a.wieght", "not a field",
        "did you mean weight?"},
    {"tenants:\n  a:\n    rate: 1\n    burst: 1\n    colour: red\n", 5, "tenants.a.colour", "not a field",
        "the fields are rate, burst, weight"},
    {"models:\n  m:\n    max_tokens: 1.5\n", 3, "models.m.max_tokens", "whole number", "most tokens"},
    {"models:\n  m:\n    timeout_ms: 3600001\n", 3, "models.m.timeout_ms", "to 3600000", "at most an hour"},
    {"models:\n  m:\n    replicas: true\n", 3, "models.m.replicas", "whole number", "0 for all"},
    {"adapters:\n  formal:\n    version: 2\n    model: verse\n", 4, "adapters.formal.model",
        "verse is not declared in models", "declare it"},
    {"models: {verse: {}}\nadapters:\n  formal:\n    model: vers\n", 4, "adapters.formal.model",
        "vers is not declared in models", "did you mean verse?"},
    {"adapters:\n  formal:\n    version: 2\n", 2, "adapters.formal", "model is missing", "name a model"},
    {"services:\n  s:\n    idempotent_methods: GET\n", 3, "services.s.idempotent_methods", "must be a list",
        "[GET, HEAD]"},
    {"services:\n  s:\n    idempotent_methods:\n      - GET\n      - get\n", 5, "services.s.idempotent_methods.1",
        "get is not allowed", "in capitals"},
    {"services:\n  s:\n    open: \"true\"\n", 3, "services.s.open", "true or false", "without quotes"},
    {"services:\n  s:\n    checks_fencing: yes\n", 3, "services.s.checks_fencing", "true or false", "without quotes"},
    {"pools:\n  p:\n    replicas: {a: 1}\n", 2, "pools.p", "either a model or a service", "one of model and service"},
    {"models: {m: {}}\npools:\n  p:\n    model: m\n    replicas: 4\n", 5, "pools.p.replicas", "must be a map",
        "{dc1: 4"},
    {"models: {m: {}}\npools:\n  p:\n    model: m\n    replicas:\n      dc1: 2\n      dc2: many\n", 7,
        "pools.p.replicas.dc2", "whole number", "{dc1: 4"},
    {"models: {m: {}}\npools:\n  p:\n    model: m\n    replicas:\n      DC 1: 2\n", 6, "pools.p.replicas.DC 1",
        "plain name", "lower-case"},
    {"pools:\n  p:\n    service: s\n    replicas: {a: 1}\n", 3, "pools.p.service", "s is not declared in services",
        "declare it"},
    {"services: {s: {}}\nroutes:\n  r:\n    service: s\n    path: prices\n    methods: [GET]\n", 5, "routes.r.path",
        "begin with /", "/prices"},
    {"site:\n  max_depth: 65\n", 2, "site.max_depth", "from 0 to 64", "levels of sub-agents"},
    {"site:\n  default_calls: 0\n", 2, "site.default_calls", "from 1", "usual program"},
};

} // namespace

BOOST_AUTO_TEST_CASE(each_invalid_file_is_reported_with_line_path_and_remedy)
{
    BOOST_TEST(InvalidFileCases.size() >= 30U);
    for (const InvalidFileCase &invalid : InvalidFileCases) {
        TemporaryFiles files;
        const std::string path = files.add(invalid.text);
        const DeclarationFiles read = readDeclarations({path});
        BOOST_TEST_CONTEXT(invalid.text)
        {
            BOOST_REQUIRE_EQUAL(read.faults.size(), 1U);
            const DeclarationFault &fault = read.faults[0];
            BOOST_TEST(fault.origin.file == path);
            BOOST_TEST(fault.origin.line == invalid.line);
            BOOST_TEST(fault.path == invalid.path);
            BOOST_TEST(fault.what.find(invalid.what) != std::string::npos, fault.what);
            BOOST_TEST(fault.remedy.find(invalid.remedy) != std::string::npos, fault.remedy);
            BOOST_TEST(fault.text().starts_with(path + ":" + std::to_string(invalid.line) + ": "), fault.text());
        }
    }
}

BOOST_AUTO_TEST_CASE(missing_file_is_reported_with_its_name)
{
    const DeclarationFiles read = readDeclarations({"/nowhere/base.yaml"});
    BOOST_REQUIRE_EQUAL(read.faults.size(), 1U);
    BOOST_TEST(
        read.faults[0].text() == "/nowhere/base.yaml: can't be read; remedy: name a readable file of at most 16 MiB");
}

BOOST_AUTO_TEST_CASE(faults_of_all_files_are_reported_in_order_of_file_and_line)
{
    TemporaryFiles files;
    const std::string base = files.add(
        "tenants:\n  a: {rate: 0, burst: 1}\n  b:\n    rate: 1\n    burst: 0\nmodels:\n  m: {max_tokens: x}\n");
    const std::string broken = files.add("site: [\n");
    const std::string overlay = files.add("services:\n  s: {open: 3}\ntenants:\n  b: {weight: 0}\n");
    const DeclarationFiles read = readDeclarations({base, broken, overlay});
    std::vector<std::string> places;
    for (const DeclarationFault &fault : read.faults) {
        places.push_back(fault.text().substr(0, fault.text().find(": ")));
    }
    const std::vector<std::string> expected = {
        base + ":2", base + ":5", base + ":7", broken + ":2", overlay + ":2", overlay + ":4"};
    BOOST_TEST(places == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(fault_names_the_last_file_that_set_the_field)
{
    TemporaryFiles files;
    const std::string base = files.add("tenants:\n  a:\n    rate: 0\n    burst: 0\n");
    const std::string overlay = files.add("\n\ntenants:\n  a:\n    rate: -1\n");
    const DeclarationFiles read = readDeclarations({base, overlay});
    BOOST_REQUIRE_EQUAL(read.faults.size(), 2U);
    BOOST_TEST(read.faults[0].text().starts_with(base + ":4: tenants.a.burst"));
    BOOST_TEST(read.faults[1].text().starts_with(overlay + ":5: tenants.a.rate"));
}

BOOST_AUTO_TEST_CASE(maps_merge_lists_are_replaced_and_null_removes)
{
    const DeclarationFiles read = readTexts({
        "tenants:\n  a: {rate: 1, burst: 2, weight: 3}\n  b: {rate: 1, burst: 1}\n"
        "services:\n  s: {idempotent_methods: [GET, HEAD], timeout_ms: 5}\n  gone: {}\n",
        "tenants:\n  a: {rate: 9, weight: null}\n  b: ~\nservices:\n  s: {idempotent_methods: [PUT]}\n  gone:\n",
    });
    BOOST_REQUIRE(read.faults.empty());
    BOOST_REQUIRE_EQUAL(read.items.size(), 2U);
    BOOST_TEST(read.items.at({"tenants", "a"}).json == R"({"rate":9,"burst":2})");
    BOOST_TEST(read.items.at({"services", "s"}).json == R"({"idempotent_methods":["PUT"],"timeout_ms":5})");
}

BOOST_AUTO_TEST_CASE(null_removes_a_whole_section_and_a_nested_null_in_a_new_item_is_no_field)
{
    const DeclarationFiles read = readTexts(
        {"models: {m: {}}\nservices: {s: {}}\n", "services: null\ntenants: {a: {rate: 1, burst: 1, weight: null}}\n"});
    BOOST_REQUIRE(read.faults.empty());
    BOOST_REQUIRE_EQUAL(read.items.size(), 2U);
    BOOST_TEST(read.items.at({"tenants", "a"}).json == R"({"rate":1,"burst":1})");
}

BOOST_AUTO_TEST_CASE(lists_by_name_merge_with_each_other_and_with_maps)
{
    const DeclarationFiles read = readTexts({
        "services: {print: {}}\nroutes:\n  - name: prices\n    service: print\n    path: /prices\n    methods: [GET]\n"
        "  - {name: old, service: print, path: /old, methods: [GET]}\n",
        "routes:\n  - name: prices\n    methods: [GET, HEAD]\n  - {name: stock, service: print, path: /stock, methods: "
        "[GET]}\n",
        "routes: {old: null}\n",
    });
    BOOST_REQUIRE(read.faults.empty());
    BOOST_TEST(
        read.items.at({"routes", "prices"}).json == R"({"service":"print","path":"/prices","methods":["GET","HEAD"]})");
    BOOST_TEST(read.items.contains({"routes", "stock"}));
    BOOST_TEST(!read.items.contains({"routes", "old"}));
}

BOOST_AUTO_TEST_CASE(deployed_site_declarations_are_valid)
{
    const char *const source = std::getenv("CHESTNUTHOOK_SOURCE");
    BOOST_REQUIRE(source != nullptr);
    for (const std::string site : {"kortagatt", "derwent"}) {
        const std::string folder = std::string(source) + "/deploy/";
        const DeclarationFiles read = readDeclarations({folder + "base.yaml", folder + site + ".yaml"});
        for (const DeclarationFault &fault : read.faults) {
            BOOST_ERROR(fault.text());
        }
        std::map<std::string, int> counts;
        for (const auto &[name, item] : read.items) {
            ++counts[name.section];
        }
        BOOST_TEST(counts["tenants"] == 8);
        BOOST_TEST(counts["pools"] == 2);
        BOOST_TEST(counts["site"] == 1);
    }
}

BOOST_AUTO_TEST_CASE(missing_numbers_have_default_values)
{
    const auto customer = parseCustomer("a", R"({"rate":2.5,"burst":7})");
    BOOST_REQUIRE(customer.has_value());
    BOOST_TEST(customer->ratePerSecond == 2.5);
    BOOST_TEST(customer->weight == 1);
    const auto site = parseSite("{}");
    BOOST_REQUIRE(site.has_value());
    BOOST_TEST(site->defaultCalls == 88U);
    BOOST_TEST(site->retentionMs == 600'000);
    const auto pool = parsePool("p", R"({"model":"verse","replicas":{"dc1":4,"dc2":3}})");
    BOOST_REQUIRE(pool.has_value());
    BOOST_TEST(pool->replicas.at(DataCentreId{"dc2"}) == 3U);
    BOOST_TEST(!parseCustomer("a", "[]").has_value());
    BOOST_TEST(!parseCustomer("a", "{").has_value());
}

BOOST_AUTO_TEST_CASE(route_opens_only_its_paths_and_methods)
{
    ServiceDeclaration print;
    print.id = ServiceId{"print"};
    const RouteTable routes = {{"prices", {"prices", ServiceId{"print"}, "/prices", {"GET"}}}};
    BOOST_TEST(isOpenToAll(print, routes, "GET", "/prices"));
    BOOST_TEST(isOpenToAll(print, routes, "GET", "/prices/a4"));
    for (const std::string path :
        {"/price", "/prices2", "/orders", "/prices/../orders", "/prices/%2e%2e/orders", "//prices", ""}) {
        BOOST_TEST(!isOpenToAll(print, routes, "GET", path), path);
    }
    BOOST_TEST(!isOpenToAll(print, routes, "POST", "/prices"));
    ServiceDeclaration other;
    other.id = ServiceId{"billing"};
    BOOST_TEST(!isOpenToAll(other, routes, "GET", "/prices"));
    other.open = true;
    BOOST_TEST(isOpenToAll(other, routes, "POST", "/anything"));
}

BOOST_AUTO_TEST_CASE(route_change_and_removal_reach_the_next_view)
{
    const DeclarationName name{"routes", "prices"};
    FleetState state;
    state.declarations.put(name, {R"({"service":"print","path":"/prices","methods":["GET"]})"}, 1);
    const auto first = makeView(state);
    BOOST_TEST(first->routes.at("prices").path == "/prices");
    state.declarations.put(name, {R"({"service":"print","path":"/lists","methods":["GET"]})"}, 2);
    const auto second = updateView(*first, state, 1);
    BOOST_TEST(second->routes.size() == 1U);
    BOOST_TEST(second->routes.at("prices").path == "/lists");
    state.declarations.remove(name, 3);
    BOOST_TEST(updateView(*second, state, 2)->routes.empty());
}

BOOST_AUTO_TEST_CASE(every_field_has_a_meaning_and_a_remedy)
{
    for (const SectionRow &section : declarationSections()) {
        for (const FieldRow &field : section.fields) {
            BOOST_TEST(!field.meaning.empty(), field.name);
            BOOST_TEST(!field.remedy.empty(), field.name);
            BOOST_TEST((field.reference.empty() || findSection(field.reference) != nullptr), field.name);
        }
    }
}

BOOST_AUTO_TEST_CASE(differences_are_listed_by_field)
{
    const DeclarationFiles read = readTexts({"tenants:\n  a: {burst: 2, rate: 1}\n  b: {rate: 1, burst: 1}\n"});
    FleetState state;
    state.declarations.put({"tenants", "a"}, DeclarationRecord{R"({"rate":1,"burst":2})"}, 1);
    state.declarations.put({"tenants", "b"}, DeclarationRecord{R"({"rate":5,"burst":1,"weight":2})"}, 1);
    state.declarations.put({"models", "m"}, DeclarationRecord{"{}"}, 1);
    const auto changes = declarationChanges(state, read.items);
    BOOST_TEST(changesText(CtlOptions{}, changes)
        == "~ tenants.b.rate: 5 -> 1\n- tenants.b.weight: 2\n- models.m\n2 declarations differ\n");
}
