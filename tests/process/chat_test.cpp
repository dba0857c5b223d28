/** @file chat_test.cpp  A standard chat completions client needs only another base URL and API key. */
#define BOOST_TEST_MODULE chat
#include <boost/test/unit_test.hpp>

#include "support/program_call.h"

using namespace Chestnuthook::Testing;

namespace
{

const std::string Question = R"({"model":"verse","temperature":0.2,"messages":[{"role":"system","content":"Be brief"},
    {"role":"user","content":[{"type":"text","text":"A verse"}]}],"max_completion_tokens":8})";

} // namespace

BOOST_AUTO_TEST_CASE(chat_completion_leaves_no_cache)
{
    ProcessFleet fleet;
    const HttpAnswer whole = fleet.ask(0, "POST", "/v1/chat/completions", Question);
    BOOST_TEST(whole.status == 200, whole.body);
    BOOST_TEST(!completionText(whole.body).empty());
    for (const std::string part : {"\"chat.completion\"", "\"finish_reason\"", "\"prompt_tokens\"", "\"index\":0"}) {
        BOOST_TEST(whole.body.find(part) != std::string::npos, part);
    }
    std::string streaming = Question;
    streaming.back() = ',';
    const HttpAnswer streamed = fleet.ask(0, "POST", "/v1/chat/completions", streaming + R"("stream":true})");
    BOOST_TEST(streamedText(streamed.body).done);
    BOOST_TEST(streamedText(streamed.body).text == completionText(whole.body));
    BOOST_TEST(waitUntil([&]() {
        return http(fleet.engineAddresses[0], "GET", "/v1/load").body.find("\"held_programs\":[]") != std::string::npos;
    }));
    const Headers key = {{"Idempotency-Key", "chat-1"}};
    const HttpAnswer first = fleet.ask(0, "POST", "/v1/chat/completions", Question, key);
    BOOST_TEST(fleet.ask(0, "POST", "/v1/chat/completions", Question, key).body == first.body);
    BOOST_TEST(fleet.ask(0, "POST", "/v1/chat/completions", R"({"model":"verse","messages":[]})").status == 400);
    BOOST_TEST(
        fleet.ask(0, "POST", "/v1/chat/completions", R"({"model":"none","messages":[{"role":"user","content":"x"}]})")
            .status
        == 404);
}

BOOST_AUTO_TEST_CASE(chat_completion_continues_a_program)
{
    ProcessFleet fleet({.entries = 2});
    const std::string id = fleet.createProgram(0);
    const Headers header = {{"X-Program-Id", id}};
    const HttpAnswer first = fleet.ask(1, "POST", "/v1/chat/completions",
        R"({"model":"verse","messages":[{"role":"user","content":"one"}],"max_tokens":4})", header);
    BOOST_TEST(first.status == 200, first.body);
    const std::string both = R"({"model":"verse","messages":[{"role":"user","content":"one"},{"role":"assistant",)"
                             R"("content":")"
        + completionText(first.body) + R"("},{"role":"user","content":"two"}],"max_tokens":4})";
    const HttpAnswer second = fleet.ask(0, "POST", "/v1/chat/completions", both, header);
    BOOST_TEST(second.status == 200, second.body);
    const std::string shown = fleet.ask(0, "GET", "/v1/programs/" + id).body;
    BOOST_TEST(shown.find("\"number\":2") != std::string::npos);
    // The second call must contain only the new message.
    BOOST_TEST(shown.find("one", shown.find("\"number\":2")) == std::string::npos, shown);
}
