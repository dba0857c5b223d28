/** @file platform_decode_test.cpp  Decoding of the platform's settings, configurations, endpoint lists and header
 * fields, both valid and invalid. */
#define BOOST_TEST_MODULE platform_decode
#include <boost/test/unit_test.hpp>

#include "platform_configuration_func.h"
#include "platform_endpoint_source_base.h"
#include "platform_header_codec_base.h"
#include "platform_settings_type.h"

using namespace Chestnuthook;
using namespace Chestnuthook::Platform;

namespace
{

const std::string Services =
    R"("services":[{"name":"s1","healthPath":"/h","maxConns":5,"engine":{"stride":9}},{"name":"s2"}])";
const std::string Route = R"({"name":"r","host":"A.example","pathPrefix":"/p/","kind":"stream","timeoutMs":4000,)"
                          R"("targetLatencyMs":200,"priority":1,"service":"s1","maxAttempts":2,"retain":true,)"
                          R"("retentionS":60.0,"public":false,"sticky":true,"resumable":false,"later":[1]})";

std::string configurationDocument(const std::string &routes, const std::string &rest = "")
{
    return R"({"version":7,"routes":[)" + routes + "]," + Services + rest + "}";
}

void expectRejected(const std::string &text, const std::string &part)
{
    const auto read = readConfiguration(text);
    BOOST_REQUIRE_MESSAGE(!read.has_value(), text);
    BOOST_TEST((read.error().kind == ErrorKind::BadDeclaration));
    BOOST_TEST(read.error().what.find(part) != std::string::npos, read.error().what);
}

std::string replaceFirst(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

RequestHead requestHead(std::vector<HttpFields::Field> fields)
{
    RequestHead head{"POST", "/p/1?q=2", {}, true};
    head.fields.entries = std::move(fields);
    return head;
}

} // namespace

BOOST_AUTO_TEST_CASE(configuration_is_decoded)
{
    const auto read = readConfiguration(configurationDocument(Route,
        R"(,"limits":{"maxBodyBytes":9},"tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":0,"ratePerS":236,"burst":12}])"));
    BOOST_REQUIRE(read.has_value());
    const Configuration &configuration = **read;
    BOOST_TEST(configuration.version == 7U);
    const RouteConfig *route = configuration.findRoute("a.EXAMPLE:80", "/p/x/y");
    BOOST_REQUIRE(route != nullptr);
    BOOST_TEST(route->retainsTurns);
    BOOST_TEST((route->kind == RouteKind::Stream));
    BOOST_TEST(route->timeout.count() == 4000);
    BOOST_TEST(route->targets.front().service == "s1");
    BOOST_TEST(configuration.services.at("s1").engine->tokensPerEvent == 9U);
    BOOST_TEST(!configuration.services.at("s2").engine.has_value());
    BOOST_TEST(configuration.limits.maxBodyBytes == 9U);
    BOOST_TEST(configuration.findCustomer("k2")->ratePerSecond == 236);
    BOOST_TEST(configuration.findCustomer("k3") == nullptr);
}

BOOST_AUTO_TEST_CASE(longest_matching_path_prefix_selects_the_route)
{
    const auto read = readConfiguration(
        configurationDocument(Route + "," + replaceFirst(replaceFirst(Route, "/p/", "/p/q/"), R"("r")", R"("long")")));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read)->findRoute("a.example", "/p/q/1")->name == "long");
    BOOST_TEST((*read)->findRoute("a.example", "/p/q")->name == "r");
    BOOST_TEST((*read)->findRoute("a.example", "/x/") == nullptr);
    BOOST_TEST((*read)->findRoute("b.example", "/p/") == nullptr);
}

BOOST_AUTO_TEST_CASE(invalid_configurations_are_rejected_with_a_reason)
{
    expectRejected("{", "not valid JSON");
    expectRejected("[]", "not a JSON object");
    expectRejected(configurationDocument(Route).substr(0, 150), "not valid JSON");
    expectRejected(R"({"version":7,"routes":[]})", "services");
    expectRejected(replaceFirst(configurationDocument(Route), "7", "\"7\""), "version");
    expectRejected(configurationDocument(replaceFirst(Route, R"("service":"s1")", R"("service":"s9")")), "s9");
    expectRejected(configurationDocument(Route + "," + Route), "same host");
    expectRejected(
        configurationDocument(replaceFirst(Route, R"("service":"s1")", R"("split":[{"service":"s1","weight":0}])")),
        "add up to 0");
    expectRejected(configurationDocument(replaceFirst(Route, "4000", "0")), "time-out");
    expectRejected(configurationDocument(replaceFirst(Route, "stream", "river")), "kind");
    expectRejected(configurationDocument(replaceFirst(Route, "/p/", "/p")), "slash");
    expectRejected(configurationDocument(replaceFirst(Route, "true", "1")), "retain");
    expectRejected(
        configurationDocument(Route, R"(,"tenants":[{"name":"t","apiKeys":["k"]},{"name":"u","apiKeys":["k"]}])"),
        "share a key");
}

BOOST_AUTO_TEST_CASE(settings_are_decoded_and_errors_name_the_field)
{
    const std::string good = R"({"node":"n","ip":"10.1.0.3","zone":"z","innerPorts":[7780,7795],"dataDir":null,
        "seeds":["10.1.0.35:8367"],"bootstrap":true,"listen":{"front":"10.1.0.3:8368","ready":"10.1.0.3:8369"},
        "faultTolerance":{"machines":2},"bounds":{"graceS":6.5},"cloud":{"addr":"10.200.0.99:8362"},"new":{}})";
    const auto read = readSettings(good);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->rpcAddress == "10.1.0.3:7780");
    BOOST_TEST(read->rpcListenAddress == read->rpcAddress);
    const auto translated = readSettings(replaceFirst(good, R"("front")", R"("rpc":"10.9.0.3:7780","front")"));
    BOOST_REQUIRE(translated.has_value());
    BOOST_TEST(translated->rpcAddress == "10.1.0.3:7780");
    BOOST_TEST(translated->rpcListenAddress == "10.9.0.3:7780");
    BOOST_TEST(read->controlSeeds.front() == "10.1.0.35:7780");
    BOOST_TEST(read->isBootstrap);
    BOOST_TEST(read->toleratedFailures == 2U);
    BOOST_TEST(read->gracePeriod.count() == 6500000);
    BOOST_TEST(read->dataDirectory.empty());
    BOOST_TEST(read->coldTolerance.factor == 1.5);
    BOOST_TEST(read->coldTolerance.requests == 5);
    const auto strict = readSettings(replaceFirst(good, R"("graceS":6.5)", R"("coldOver":1.25,"coldSlack":3)"));
    BOOST_REQUIRE(strict.has_value());
    BOOST_TEST(strict->coldTolerance.factor == 1.25);
    BOOST_TEST(strict->coldTolerance.requests == 3);
    const auto bad = readSettings(replaceFirst(good, "innerPorts", "outerPorts"));
    BOOST_REQUIRE(!bad.has_value());
    BOOST_TEST((bad.error().kind == ErrorKind::BadSetting));
    BOOST_TEST(bad.error().what.find("innerPorts") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(malformed_list_entries_are_skipped)
{
    const auto page = readEndpointPage(R"({"instances":[
        {"id":"i1","service":"s","addr":"1.2.3.4:5","zone":"z","slots":8,"state":"ready"},
        {"id":"i2","service":"s","addr":"1.2.3.4:6","zone":"z","slots":8,"state":"draining","born":1,"version":"v1.2"},
        {"id":"i3","service":"s","addr":"1.2.3.4:7","zone":"z","slots":8,"state":"odd"},
        {"id":5,"service":"s","addr":"1.2.3.4:7","zone":"z","slots":8,"state":"ready"},
        {"service":"s"}, 7, "x", null],"nextToken":"p-50"})");
    BOOST_REQUIRE(page.has_value());
    BOOST_REQUIRE(page->endpoints.size() == 2U);
    BOOST_TEST(!page->endpoints[0].leaving);
    BOOST_TEST(page->endpoints[1].leaving);
    BOOST_TEST(page->endpoints[0].version.empty());
    BOOST_TEST(page->endpoints[1].version == "v1.2");
    BOOST_TEST(page->nextPage == "p-50");
    BOOST_TEST(readEndpointPage(R"({"instances":[],"nextToken":null})")->nextPage.empty());
    BOOST_TEST(!readEndpointPage("{}").has_value());
    BOOST_TEST(!readEndpointPage("").has_value());
}

/** Guards against one entry of another writer that hides all endpoints. */
BOOST_AUTO_TEST_CASE(entry_that_cannot_be_read_does_not_hide_the_others)
{
    constexpr std::size_t Depth = 100000;
    const auto entry = [](const std::string &id, const std::string &fields) {
        return R"({"id":")" + id + R"(","service":"s","zone":"z","state":"ready",)" + fields + "}";
    };
    const std::string sound = R"("addr":"1.2.3.4:5","slots":8)";
    const std::vector<std::string> oddEntries = {
        std::string(Depth, '[') + std::string(Depth, ']'),
        entry("odd", sound + R"(,"x":)" + std::string(Depth, '[') + std::string(Depth, ']')),
        entry("odd", R"("addr":"1.2.3.4:5","slots":1e400)"),
        entry("odd", R"("addr":"1.2.3.4:5","slots":)" + std::string(400, '9')),
        entry("odd", R"("addr":"1.2.3.4:5","slots":-1)"),
        entry("odd", R"("addr":"1.2.3.4:5","slots":NaN)"),
        entry("odd", sound + R"(,"x":-Infinity)"),
        entry("odd", sound + R"(,"x":"\ud800")"),
        entry("odd", sound + ",\"x\":\"\xff\xfe\""),
        entry("odd", sound + ",\"x\":\"\n\""),
        entry("odd", sound + ",\"x\":\"" + std::string(100000, 'x') + "\""),
        entry(std::string(2000, 'x'), sound),
        entry("a\\r\\nX-Odd: 1", sound),
        entry("odd", R"("addr":"1.2.3.4:70000","slots":8)"),
        entry("odd", R"("addr":"1.2.3.4:0","slots":8)"),
        entry("odd", R"("addr":"1.2.3.4:-1","slots":8)"),
        entry("odd", R"("addr":"1.2.3.400:5","slots":8)"),
        entry("odd", R"("addr":"host.example:5","slots":8)"),
        entry("odd", R"("addr":"0.0.0.0:5","slots":8)"),
        entry("odd", R"("addr":"224.0.0.1:5","slots":8)"),
        entry("odd", R"("addr":"1.2.3.4","slots":8)"),
        "\xff\xfe\xff",
        R"({"id":"odd)",
        R"({"id":"odd"x","service":"s"})",
        R"({"id":"odd","x":[1,2})",
        R"({"id":"odd"]})",
        R"({"id":)",
        std::string(Depth, '['),
        std::string(Depth, '{'),
        "",
    };
    const std::string first = entry("first", sound);
    const std::string last = entry("last", sound + R"(,"models":[{"name":"m"},{"name":"n"}])");
    const auto pageWith = [](const std::string &entries) {
        return readEndpointPage(R"({"instances":[)" + entries + R"(],"nextToken":"p-50"})");
    };
    const auto checkPages = [&](const std::string &odd) {
        const std::vector<std::string> lists = {first + "," + odd + "," + last, odd + "," + first + "," + last};
        for (const std::string &list : lists) {
            const auto page = pageWith(list);
            BOOST_REQUIRE(page.has_value());
            BOOST_REQUIRE(page->endpoints.size() == 2U);
            BOOST_TEST(page->endpoints[0].id == "first");
            BOOST_TEST(page->endpoints[1].id == "last");
            BOOST_TEST(page->nextPage == "p-50");
        }
        const auto page =
            readEndpointPage(R"({"nextToken":"p-50","instances":[)" + first + "," + last + "," + odd + "]}");
        BOOST_REQUIRE(page.has_value());
        BOOST_TEST(page->endpoints.size() == 2U);
    };
    for (const std::string &odd : oddEntries) {
        BOOST_TEST_CONTEXT("entry " << odd.substr(0, 100))
        {
            checkPages(odd);
        }
    }
}

BOOST_AUTO_TEST_CASE(list_that_does_not_end_is_malformed)
{
    constexpr std::size_t Depth = 500000;
    BOOST_TEST(!readEndpointPage(R"({"instances":)" + std::string(Depth, '[')).has_value());
    BOOST_TEST(!readEndpointPage(R"({"instances":[)").has_value());
    BOOST_TEST(!readEndpointPage(R"({"instances":{}})").has_value());
    BOOST_TEST(!readEndpointPage(R"({"instances":[],"nextToken":5})").has_value());
    BOOST_TEST(!readEndpointPage(R"({"instances":[]})" + std::string("x")).has_value());
    const auto nested = readEndpointPage(R"({"instances":)" + std::string(Depth, '[') + std::string(Depth, ']') + "}");
    BOOST_REQUIRE(nested.has_value());
    BOOST_TEST(nested->endpoints.empty());
}

/** A configuration counts as a whole, so one that can't be read in full is rejected; settings are kept as they were. */
BOOST_AUTO_TEST_CASE(values_that_cannot_be_read_make_a_configuration_invalid)
{
    constexpr std::size_t Depth = 100000;
    for (const std::string &odd : {std::string(Depth, '[') + std::string(Depth, ']'), std::string("1e400"),
             std::string(400, '9'), std::string("NaN"), std::string(R"("\ud800")"), std::string("\"\xff\"")}) {
        BOOST_TEST(!readConfiguration(R"({"version":1,"routes":[],"services":[],"x":)" + odd + "}").has_value());
        BOOST_TEST(!readSettings(R"({"node":"n","x":)" + odd + "}").has_value());
    }
}

BOOST_AUTO_TEST_CASE(request_metadata_is_decoded)
{
    const PlatformHeaderCodec headerCodec;
    const auto metadata = headerCodec.readRequestMetadata(
        requestHead({{"x-request-id", "r1"}, {"X-Deadline-Ms", "3000"}, {"Authorization", "Bearer key"},
            {"X-Program-Id", "p"}, {"X-Finish-Ms", "-5"}, {"X-Token-Budget", "2304"}, {"X-Token-Count", "1840,288"},
            {"X-Previous-Turn", "r0"}, {"X-Prompt-Prefix", "a:1,b:2"}, {"Last-Event-Id", "7"}, {"Resumes", "r00"}}));
    BOOST_REQUIRE(metadata.has_value());
    BOOST_TEST(metadata->requestId == "r1");
    BOOST_TEST(metadata->key == "key");
    BOOST_TEST(metadata->timeLeft->count() == 3000);
    BOOST_TEST(metadata->programTimeLeft->count() == -5);
    BOOST_TEST(*metadata->programTokens == 2304U);
    BOOST_TEST(metadata->outputTokens == 288U);
    BOOST_TEST(metadata->promptParts == 2U);
    BOOST_TEST(metadata->lastEventId == "7");
    BOOST_TEST(metadata->resumedRequest == "r00");
    BOOST_TEST(!headerCodec.readRequestMetadata(requestHead({{"X-Deadline-Ms", "soon"}})).has_value());
    BOOST_TEST(!headerCodec.readRequestMetadata(requestHead({{"X-Token-Count", "5"}})).has_value());
}

BOOST_AUTO_TEST_CASE(forwarded_head_has_no_key_and_no_client_supplied_control_fields)
{
    const PlatformHeaderCodec headerCodec;
    ForwardingMetadata metadata;
    metadata.timeLeft = Milliseconds(250);
    metadata.endpointId = "i1";
    metadata.customer = "glue";
    metadata.priority = 3;
    metadata.bodyBytes = 5;
    metadata.hasBody = true;
    const RequestHead head = headerCodec.endpointRequestHead(
        requestHead({{"Host", "h"}, {"Authorization", "Bearer key"}, {"X-Tenant", "other"}, {"X-Kv-Hold", "1"},
            {"Kv-From", "1.2.3.4:5/6"}, {"x-pin-ms", "1"}, {"X-Kv-Backup", "a"}, {"Connection", "x-odd, close"},
            {"X-Odd", "1"}, {"Transfer-Encoding", "chunked"}, {"X-Own", "kept"}}),
        metadata);
    for (const char *name : {"Authorization", "X-Kv-Hold", "Kv-From", "X-Pin-Ms", "X-Kv-Backup", "Connection", "X-Odd",
             "Transfer-Encoding"}) {
        BOOST_TEST(head.fields.find(name) == nullptr, name);
    }
    BOOST_TEST(*head.fields.find("X-Tenant") == "glue");
    BOOST_TEST(*head.fields.find("X-Own") == "kept");
    BOOST_TEST(*head.fields.find("X-Deadline-Ms") == "250");
    BOOST_TEST(*head.fields.find("X-Expected-Instance") == "i1");
    BOOST_TEST(*head.fields.find("Content-Length") == "5");
    BOOST_TEST(head.target == "/p/1?q=2");
}

BOOST_AUTO_TEST_CASE(limit_of_an_endpoint_is_decoded)
{
    const PlatformHeaderCodec headerCodec;
    const auto limitOf = [&headerCodec](const std::vector<std::string> &values) {
        ResponseHead head;
        for (const std::string &value : values) {
            head.fields.add("server-limit", value);
        }
        return headerCodec.readResponseMetadata(head).limitPerSecond;
    };
    BOOST_TEST(limitOf({}) == 0);
    BOOST_TEST(limitOf({"4.2"}) == 4.2);
    BOOST_TEST(limitOf({"11"}) == 11);
    BOOST_TEST(limitOf({"1.7000000000000000000000000000000000001"}) == 1.7);
    BOOST_TEST(limitOf({"1000000000000"}) == 1e12);
    BOOST_TEST(limitOf({"7", "3"}) == 3);
    BOOST_TEST(limitOf({"x", "3"}) == 3);
    BOOST_TEST(limitOf({"0"}) == 0.1); // A request now and then shows whether the limit has ended.
    for (const std::string value : {"-1", "nan", "inf", "-inf", "", " ", "none", "5x", "1e400", "0x10", "3,4"}) {
        BOOST_TEST(limitOf({value}) == 0, "the value '" << value << "'");
    }
}

BOOST_AUTO_TEST_CASE(length_hint_is_decoded_and_an_invalid_one_ignored)
{
    const PlatformHeaderCodec headerCodec;
    const auto hintOf = [&headerCodec](const std::string &value) {
        const auto metadata = headerCodec.readRequestMetadata(requestHead({{"x-length-hint", value}}));
        BOOST_REQUIRE(
            metadata.has_value()); // The field was not decoded by earlier builds and must not refuse requests.
        return metadata->expectedTokens;
    };
    BOOST_TEST(hintOf("120") == 120U);
    for (const std::string value : {"", "-1", "many", "1.5", "99999999999"}) {
        BOOST_TEST(hintOf(value) == 0U, "the value '" << value << "'");
    }
    BOOST_TEST(headerCodec.readRequestMetadata(requestHead({}))->expectedTokens == 0U);
}

BOOST_AUTO_TEST_CASE(load_with_more_than_three_figures_is_decoded)
{
    const PlatformHeaderCodec headerCodec;
    const auto loadOf = [&headerCodec](const std::string &value) {
        ResponseHead head;
        head.fields.add("x-load", value);
        return headerCodec.readResponseMetadata(head).load;
    };
    BOOST_REQUIRE(loadOf("3,1,8").has_value());
    BOOST_TEST(loadOf("3,1,8")->slots == 8U);
    BOOST_TEST(loadOf("3,1,8")->pace == 0U);
    for (const std::string value : {"3,1,8,250", "3, 1, 8, 250, 17", "3,1,8,250,x,1.5"}) {
        BOOST_REQUIRE_MESSAGE(loadOf(value).has_value(), value);
        BOOST_TEST(loadOf(value)->running == 3U);
        BOOST_TEST(loadOf(value)->waiting == 1U);
        BOOST_TEST(loadOf(value)->slots == 8U);
        BOOST_TEST(loadOf(value)->pace == 250U);
    }
    BOOST_TEST(loadOf("3,1,8,slow")->pace == 0U); // The first three figures remain usable.
    for (const std::string value : {"", "3", "3,1", "3,x,8", "3,x,8,100", ",,,"}) {
        BOOST_TEST(!loadOf(value).has_value(), "the value '" << value << "'");
    }
}

// Guards against a list entry that is skipped, with its endpoint, because of a field that only matters while it is
// cold.
BOOST_AUTO_TEST_CASE(time_that_an_endpoint_stays_cold_is_decoded)
{
    const auto coldOf = [](const std::string &field) {
        const auto page = readEndpointPage(
            R"({"instances":[{"id":"i1","service":"s","addr":"1.2.3.4:5","zone":"z","slots":8,"state":"ready")" + field
            + R"(}],"nextToken":null})");
        BOOST_REQUIRE(page.has_value());
        BOOST_REQUIRE(page->endpoints.size() == 1U);
        return page->endpoints[0].coldLeft.count() / 1000;
    };
    BOOST_TEST(coldOf("") == 0);
    BOOST_TEST(coldOf(R"(,"coldLeftMs":0)") == 0);
    BOOST_TEST(coldOf(R"(,"coldLeftMs":4200)") == 4200);
    BOOST_TEST(coldOf(R"(,"coldLeftMs":0.5)") == 1);
    BOOST_TEST(coldOf(R"(,"coldLeftMs":-5)") == 0);
    BOOST_TEST(coldOf(R"(,"coldLeftMs":1e300)") == 3600000);
    BOOST_TEST(coldOf(R"(,"coldLeftMs":"soon")") == 0);
    BOOST_TEST(coldOf(R"(,"coldLeftMs":null)") == 0);

    const PlatformHeaderCodec headerCodec;
    ResponseHead head;
    BOOST_TEST(!headerCodec.readResponseMetadata(head).coldLeft.has_value());
    head.fields.entries = {{"x-cold-ms", "1500"}};
    BOOST_TEST(headerCodec.readResponseMetadata(head).coldLeft->count() == 1500);
    head.fields.entries = {{"X-Cold-Ms", "0"}};
    BOOST_TEST(headerCodec.readResponseMetadata(head).coldLeft->count() == 0);
    head.fields.entries = {{"X-Cold-Ms", "soon"}};
    BOOST_TEST(!headerCodec.readResponseMetadata(head).coldLeft.has_value());
}

BOOST_AUTO_TEST_CASE(cold_rates_of_services_and_sticky_routes_are_decoded)
{
    const auto read = readConfiguration(replaceFirst(configurationDocument(Route), R"("services":[{)",
        R"("services":[{"name":"s3","coldS":20,"coldPerS":25.5},{"name":"s4","engine":{"coldS":2.5,"coldPerS":4}},{)"));
    BOOST_REQUIRE(read.has_value());
    const auto &services = (*read)->services;
    BOOST_TEST(services.at("s3").coldSeconds == 20);
    BOOST_TEST(services.at("s3").coldPerSecond == 25.5);
    BOOST_TEST(services.at("s4").coldSeconds == 2.5);
    BOOST_TEST(services.at("s4").coldPerSecond == 4);
    BOOST_TEST(services.at("s2").coldPerSecond == 0);
    BOOST_TEST((*read)->findRoute("a.example", "/p/x")->isSticky);
    const auto plain = readConfiguration(configurationDocument(replaceFirst(Route, R"("sticky":true,)", "")));
    BOOST_REQUIRE(plain.has_value());
    BOOST_TEST(!(*plain)->findRoute("a.example", "/p/x")->isSticky);
}

BOOST_AUTO_TEST_CASE(object_of_a_request_is_decoded)
{
    const PlatformHeaderCodec headerCodec;
    const auto objectOf = [&headerCodec](const std::vector<std::string> &cookies) {
        std::vector<HttpFields::Field> fields;
        fields.reserve(cookies.size());
        for (const std::string &cookie : cookies) {
            fields.push_back({"cookie", cookie});
        }
        return headerCodec.readRequestMetadata(requestHead(fields))->object;
    };
    BOOST_TEST(objectOf({"X-Affinity-Key=o-17"}) == "o-17");
    BOOST_TEST(objectOf({"a=b; X-Affinity-Key=o=1 ;c=d"}) == "o=1");
    BOOST_TEST(objectOf({"a=b", "c=d;X-Affinity-Key=o"}) == "o");
    for (const std::string value : {"", ";", "X-Affinity-Key", "X-Affinity-Key=", "Y-X-Affinity-Key=o",
             "a=X-Affinity-Key=o", "X-Affinity-Keys=o", "; ; "}) {
        BOOST_TEST(objectOf({value}).empty(), "the field '" << value << "'");
    }
    BOOST_TEST(objectOf({}).empty());
}

BOOST_AUTO_TEST_CASE(capacity_of_an_engine_is_decoded)
{
    const auto engineOf = [](const std::string &facts) {
        const std::string services = replaceFirst(configurationDocument(Route), R"("stride":9)", facts);
        const auto read = readConfiguration(services);
        BOOST_REQUIRE(read.has_value());
        return *(*read)->services.at("s1").engine;
    };
    const EngineConfig stated = engineOf(R"("stride":9,"slots":6,"kvTokens":71000,"most":4)");
    BOOST_TEST(stated.tokensPerEvent == 9U);
    BOOST_TEST(stated.slots == 6U);
    BOOST_TEST(stated.memoryTokens == 71000U);
    BOOST_TEST(engineOf(R"("stride":9)").slots == 0U);
    BOOST_TEST(engineOf(R"("stride":9)").memoryTokens == 0U);
}

BOOST_AUTO_TEST_CASE(response_metadata_is_decoded)
{
    const PlatformHeaderCodec headerCodec;
    ResponseHead head;
    head.fields.entries = {{"X-Request-Id", "r1"}, {"X-Response-Signature", "s"}, {"X-Load", "3,1,8"}};
    const ResponseMetadata metadata = headerCodec.readResponseMetadata(head);
    BOOST_TEST(metadata.isSigned);
    BOOST_TEST(!metadata.notExecuted);
    BOOST_TEST(metadata.load->waiting == 1U);
    BOOST_TEST(!metadata.isLeaving);
    head.fields.entries = {{"X-Not-Executed", "1"}, {"X-Load", "3,x,8"}, {"Server-Leaving", "1"}};
    BOOST_TEST(headerCodec.readResponseMetadata(head).isLeaving);
    BOOST_TEST(headerCodec.clientResponseHead(head).fields.find("Server-Leaving") != nullptr);
    BOOST_TEST(headerCodec.readResponseMetadata(head).notExecuted);
    BOOST_TEST(!headerCodec.readResponseMetadata(head).load.has_value());
}
