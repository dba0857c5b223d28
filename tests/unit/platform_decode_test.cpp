/** @file platform_decode_test.cpp  The platform's settings, configurations, lists and header fields, whole and broken.
 */
#define BOOST_TEST_MODULE platform_decode
#include <boost/test/unit_test.hpp>

#include "platform_configuration_func.h"
#include "platform_dialect_base.h"
#include "platform_endpoint_source_base.h"
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

std::string document(const std::string &routes, const std::string &rest = "")
{
    return R"({"version":7,"routes":[)" + routes + "]," + Services + rest + "}";
}

void refuses(const std::string &text, const std::string &part)
{
    const auto read = readConfiguration(text);
    BOOST_REQUIRE_MESSAGE(!read.has_value(), text);
    BOOST_TEST((read.error().kind == ErrorKind::BadDeclaration));
    BOOST_TEST(read.error().what.find(part) != std::string::npos, read.error().what);
}

std::string with(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

RequestHead requestHead(std::vector<HttpFields::Row> rows)
{
    RequestHead head{"POST", "/p/1?q=2", {}, true};
    head.fields.rows = std::move(rows);
    return head;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_configuration_is_read_whole)
{
    const auto read = readConfiguration(document(Route,
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

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_decides)
{
    const auto read =
        readConfiguration(document(Route + "," + with(with(Route, "/p/", "/p/q/"), R"("r")", R"("long")")));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read)->findRoute("a.example", "/p/q/1")->name == "long");
    BOOST_TEST((*read)->findRoute("a.example", "/p/q")->name == "r");
    BOOST_TEST((*read)->findRoute("a.example", "/x/") == nullptr);
    BOOST_TEST((*read)->findRoute("b.example", "/p/") == nullptr);
}

BOOST_AUTO_TEST_CASE(invalid_configurations_are_refused_and_say_why)
{
    refuses("{", "no JSON");
    refuses("[]", "no JSON object");
    refuses(document(Route).substr(0, 150), "no JSON");
    refuses(R"({"version":7,"routes":[]})", "services");
    refuses(with(document(Route), "7", "\"7\""), "version");
    refuses(document(with(Route, R"("service":"s1")", R"("service":"s9")")), "s9");
    refuses(document(Route + "," + Route), "same host");
    refuses(document(with(Route, R"("service":"s1")", R"("split":[{"service":"s1","weight":0}])")), "add up to 0");
    refuses(document(with(Route, "4000", "0")), "time-out");
    refuses(document(with(Route, "stream", "river")), "kind");
    refuses(document(with(Route, "/p/", "/p")), "slash");
    refuses(document(with(Route, "true", "1")), "retain");
    refuses(
        document(Route, R"(,"tenants":[{"name":"t","apiKeys":["k"]},{"name":"u","apiKeys":["k"]}])"), "share a key");
}

BOOST_AUTO_TEST_CASE(settings_are_read_and_faults_named)
{
    const std::string good = R"({"node":"n","ip":"10.1.0.3","zone":"z","innerPorts":[7780,7795],"dataDir":null,
        "seeds":["10.1.0.35:8367"],"bootstrap":true,"listen":{"front":"10.1.0.3:8368","ready":"10.1.0.3:8369"},
        "faultTolerance":{"machines":2},"bounds":{"graceS":6.5},"cloud":{"addr":"10.200.0.99:8362"},"new":{}})";
    const auto read = readSettings(good);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->rpcAddress == "10.1.0.3:7780");
    BOOST_TEST(read->controlSeeds.front() == "10.1.0.35:7780");
    BOOST_TEST(read->isBootstrap);
    BOOST_TEST(read->toleratedFailures == 2U);
    BOOST_TEST(read->stopGrace.count() == 6500000);
    BOOST_TEST(read->dataFolder.empty());
    const auto bad = readSettings(with(good, "innerPorts", "outerPorts"));
    BOOST_REQUIRE(!bad.has_value());
    BOOST_TEST((bad.error().kind == ErrorKind::BadSetting));
    BOOST_TEST(bad.error().what.find("innerPorts") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(entries_of_another_writer_name_no_endpoint_and_the_others_hold)
{
    const auto page = readEndpointPage(R"({"instances":[
        {"id":"i1","service":"s","addr":"1.2.3.4:5","zone":"z","slots":8,"state":"ready"},
        {"id":"i2","service":"s","addr":"1.2.3.4:6","zone":"z","slots":8,"state":"draining","born":1},
        {"id":"i3","service":"s","addr":"1.2.3.4:7","zone":"z","slots":8,"state":"odd"},
        {"id":5,"service":"s","addr":"1.2.3.4:7","zone":"z","slots":8,"state":"ready"},
        {"service":"s"}, 7, "x", null],"nextToken":"p-50"})");
    BOOST_REQUIRE(page.has_value());
    BOOST_REQUIRE(page->endpoints.size() == 2U);
    BOOST_TEST(!page->endpoints[0].leaving);
    BOOST_TEST(page->endpoints[1].leaving);
    BOOST_TEST(page->nextPage == "p-50");
    BOOST_TEST(readEndpointPage(R"({"instances":[],"nextToken":null})")->nextPage.empty());
    BOOST_TEST(!readEndpointPage("{}").has_value());
    BOOST_TEST(!readEndpointPage("").has_value());
}

BOOST_AUTO_TEST_CASE(facts_of_a_call_are_read)
{
    const PlatformDialect dialect;
    const auto facts = dialect.readCall(requestHead({{"x-request-id", "r1"}, {"X-Deadline-Ms", "3000"},
        {"Authorization", "Bearer key"}, {"X-Program-Id", "p"}, {"X-Finish-Ms", "-5"}, {"X-Token-Budget", "2304"},
        {"X-Token-Count", "1840,288"}, {"X-Previous-Turn", "r0"}, {"X-Prompt-Prefix", "a:1,b:2"}}));
    BOOST_REQUIRE(facts.has_value());
    BOOST_TEST(facts->requestId == "r1");
    BOOST_TEST(facts->key == "key");
    BOOST_TEST(facts->timeLeft->count() == 3000);
    BOOST_TEST(facts->programTimeLeft->count() == -5);
    BOOST_TEST(*facts->programTokens == 2304U);
    BOOST_TEST(facts->outputTokens == 288U);
    BOOST_TEST(facts->promptParts == 2U);
    BOOST_TEST(!dialect.readCall(requestHead({{"X-Deadline-Ms", "soon"}})).has_value());
    BOOST_TEST(!dialect.readCall(requestHead({{"X-Token-Count", "5"}})).has_value());
}

BOOST_AUTO_TEST_CASE(the_head_for_an_endpoint_holds_no_key_and_only_our_own_orders)
{
    const PlatformDialect dialect;
    ForwardFacts facts;
    facts.timeLeft = Milliseconds(250);
    facts.endpointId = "i1";
    facts.customer = "glue";
    facts.urgency = 3;
    facts.bodyBytes = 5;
    facts.hasBody = true;
    const RequestHead head = dialect.forwardHead(
        requestHead({{"Host", "h"}, {"Authorization", "Bearer key"}, {"X-Tenant", "other"}, {"X-Kv-Hold", "1"},
            {"Kv-From", "1.2.3.4:5/6"}, {"x-pin-ms", "1"}, {"X-Kv-Backup", "a"}, {"Connection", "x-odd, close"},
            {"X-Odd", "1"}, {"Transfer-Encoding", "chunked"}, {"X-Own", "kept"}}),
        facts);
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

BOOST_AUTO_TEST_CASE(facts_of_an_answer_are_read)
{
    const PlatformDialect dialect;
    ResponseHead head;
    head.fields.rows = {{"X-Request-Id", "r1"}, {"X-Response-Signature", "s"}, {"X-Load", "3,1,8"}};
    const AnswerFacts facts = dialect.readAnswer(head);
    BOOST_TEST(facts.isSigned);
    BOOST_TEST(!facts.notRun);
    BOOST_TEST(facts.load->waiting == 1U);
    head.fields.rows = {{"X-Not-Executed", "1"}, {"X-Load", "3,x,8"}};
    BOOST_TEST(dialect.readAnswer(head).notRun);
    BOOST_TEST(!dialect.readAnswer(head).load.has_value());
}
