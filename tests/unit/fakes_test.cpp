/** @file fakes_test.cpp  Parts of the fakes without network: completions, prefix cache, faults, instances, ledger. */
#define BOOST_TEST_MODULE fakes
#include <boost/test/unit_test.hpp>

#include <Poco/JSON/Parser.h>

#include "fakes/fake_answer_func.h"
#include "fakes/fake_cache_base.h"
#include "fakes/fake_fault_base.h"
#include "fakes/fake_ledger_base.h"
#include "fakes/fake_platform_base.h"

namespace Chestnuthook
{

namespace
{

FakeChatRequest chatOf(
    std::uint64_t maxTokens, const std::string &sent = "", const std::string &question = "what is near?")
{
    FakeChatRequest chat;
    chat.model = "verse";
    chat.messages = {{"system", "be brief"}, {"user", question}};
    chat.sent = sent;
    chat.maxTokens = maxTokens;
    return chat;
}

std::string textOf(const FakeCompletion &answer)
{
    std::string text;
    for (const std::string &piece : answer.pieces) {
        text += piece;
    }
    return text;
}

std::vector<std::string> numberedWords(const std::string &prefix, std::size_t count)
{
    std::vector<std::string> words;
    for (std::size_t index = 0; index < count; ++index) {
        words.push_back(prefix + std::to_string(index));
    }
    return words;
}

Result<FakeChatRequest> parse(const std::string &text)
{
    return parseFakeChatRequest(*Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>());
}

} // namespace

BOOST_AUTO_TEST_CASE(answerIsAFunctionOfModelAndMessages)
{
    const FakeCompletion answer = generateFakeCompletion(chatOf(100));
    BOOST_TEST(textOf(answer) == textOf(generateFakeCompletion(chatOf(100))));
    BOOST_TEST(textOf(answer) != textOf(generateFakeCompletion(chatOf(100, "", "what is far?"))));
    BOOST_TEST(textOf(answer) != textOf(generateFakeCompletion(chatOf(100), 1)));
    BOOST_TEST(answer.pieces.size() >= 8U);
    BOOST_TEST(answer.pieces.size() <= 31U);
    BOOST_TEST(!answer.cut);
}

BOOST_AUTO_TEST_CASE(maxTokensCutsTheAnswer)
{
    const FakeCompletion answer = generateFakeCompletion(chatOf(5));
    BOOST_TEST(answer.pieces.size() == 5U);
    BOOST_TEST(answer.cut);
    BOOST_TEST(textOf(generateFakeCompletion(chatOf(100))).starts_with(textOf(answer)));
}

BOOST_AUTO_TEST_CASE(continuationCompletesTheWholeFromEveryByte)
{
    for (const std::uint64_t maxTokens : {7U, 100U}) {
        const std::string whole = textOf(generateFakeCompletion(chatOf(maxTokens)));
        for (std::size_t at = 0; at <= whole.size(); ++at) {
            const std::string sent = whole.substr(0, at);
            BOOST_TEST(sent + textOf(generateFakeCompletion(chatOf(maxTokens, sent))) == whole);
        }
    }
}

BOOST_AUTO_TEST_CASE(aLastAssistantMessageIsContinued)
{
    const auto fresh = parse(R"({"model":"verse","messages":[{"role":"user","content":"hello"}]})");
    BOOST_TEST_REQUIRE(fresh.has_value());
    const std::string whole = textOf(generateFakeCompletion(*fresh));
    const std::string sent = whole.substr(0, whole.find(' '));
    const auto byMessage = parse(R"({"model":"verse","messages":[{"role":"user","content":"hello"},)"
                                 R"({"role":"assistant","content":")"
        + sent + R"("}]})");
    const auto byField =
        parse(R"({"model":"verse","messages":[{"role":"user","content":"hello"}],"continue_from":")" + sent + R"("})");
    BOOST_TEST_REQUIRE(byMessage.has_value());
    BOOST_TEST_REQUIRE(byField.has_value());
    BOOST_TEST(sent + textOf(generateFakeCompletion(*byMessage)) == whole);
    BOOST_TEST(sent + textOf(generateFakeCompletion(*byField)) == whole);
}

BOOST_AUTO_TEST_CASE(malformedChatsAreRefused)
{
    BOOST_TEST(!parse(R"({"model":"verse"})").has_value());
    BOOST_TEST(!parse(R"({"model":"verse","messages":[]})").has_value());
    BOOST_TEST(!parse(R"({"model":"verse","messages":"hello"})").has_value());
    BOOST_TEST(!parse(R"({"model":"verse","messages":[{"role":"user","content":7}]})").has_value());
    BOOST_TEST(!parse(R"({"messages":[{"role":"user","content":"hello"}]})").has_value());
    BOOST_TEST(!parse(R"({"model":"verse","max_tokens":0,"messages":[{"role":"user","content":"x"}]})").has_value());
    BOOST_TEST(
        !parse(R"({"model":"verse","max_tokens":"many","messages":[{"role":"user","content":"x"}]})").has_value());
}

BOOST_AUTO_TEST_CASE(cacheHoldsWholeBlocksOfACommonPrefix)
{
    FakeCache cache(8, 4, {});
    const auto words = numberedWords("a", 10);
    BOOST_TEST(cache.cachedWords("verse", words) == 0U);
    cache.store("verse", words, "p1");
    BOOST_TEST(cache.size() == 2U);
    BOOST_TEST(cache.cachedWords("verse", words) == 8U);
    BOOST_TEST(cache.cachedWords("order", words) == 0U);
    auto changed = words;
    changed[5] = "other";
    BOOST_TEST(cache.cachedWords("verse", changed) == 4U);
}

BOOST_AUTO_TEST_CASE(cacheEvictsTheLeastRecentlyUsedFromItsEnd)
{
    FakeCache cache(4, 2, {});
    cache.store("verse", numberedWords("a", 4), "p1");
    cache.store("verse", numberedWords("b", 4), "p2");
    cache.store("verse", numberedWords("a", 4), "p1");
    cache.store("verse", numberedWords("c", 2), "p3");
    BOOST_TEST(cache.size() == 4U);
    BOOST_TEST(cache.cachedWords("verse", numberedWords("a", 4)) == 4U);
    BOOST_TEST(cache.cachedWords("verse", numberedWords("b", 4)) == 2U);
    const auto events = cache.eventsSince(0, 100);
    BOOST_TEST_REQUIRE(events.size() == 6U);
    BOOST_TEST(!events[4].stored);
    BOOST_TEST(events[4].program == "p2");
    BOOST_TEST(events[5].stored);
    BOOST_TEST(cache.eventsSince(events[5].sequence, 100).size() == 1U);
    BOOST_TEST(cache.nextSequence() == 7U);
}

BOOST_AUTO_TEST_CASE(releaseFreesOnlyWhatNoOtherProgramUsed)
{
    FakeCache cache(16, 2, {});
    auto first = numberedWords("shared", 4);
    auto second = first;
    first.insert(first.end(), {"x", "y"});
    second.insert(second.end(), {"v", "w"});
    cache.store("verse", first, "p1");
    cache.store("verse", second, "p2");
    BOOST_TEST(cache.programs().size() == 2U);
    BOOST_TEST(cache.release("p1") == 1U);
    BOOST_TEST(cache.release("p1") == 0U);
    BOOST_TEST(cache.cachedWords("verse", second) == 6U);
    BOOST_TEST(cache.cachedWords("verse", first) == 4U);
    BOOST_TEST(cache.release("p2") == 3U);
    BOOST_TEST(cache.programs().empty());
}

BOOST_AUTO_TEST_CASE(aGapSkipsASequence)
{
    FakeFaultQueue faults;
    faults.add({FakeFaultKind::Gap, "", "", 1, 0, 0});
    FakeCache cache(16, 2, [&faults] {
        return faults.takeGap();
    });
    cache.store("verse", numberedWords("a", 4), "p1");
    const auto events = cache.eventsSince(0, 100);
    BOOST_TEST_REQUIRE(events.size() == 1U);
    BOOST_TEST(events[0].sequence == 2U);
}

BOOST_AUTO_TEST_CASE(aFaultStrikesItsCountOfMatchingRequests)
{
    FakeFaultQueue faults;
    faults.add({FakeFaultKind::Refuse, "poison", "", 2, 0, 0});
    BOOST_TEST(!faults.take("/v1/chat/completions", true, "harmless").has_value());
    BOOST_TEST(!faults.take("/v1/load", false, "poison").has_value());
    BOOST_TEST(faults.take("/v1/chat/completions", true, "with poison in it").has_value());
    BOOST_TEST(faults.take("/v1/chat/completions", true, "poison").has_value());
    BOOST_TEST(!faults.take("/v1/chat/completions", true, "poison").has_value());
}

BOOST_AUTO_TEST_CASE(aFaultWithAPathStrikesOnlyThere)
{
    FakeFaultQueue faults;
    faults.add({FakeFaultKind::Late, "", "/v1/orders", 1, 10, 0});
    BOOST_TEST(!faults.take("/v1/chat/completions", true, "").has_value());
    const auto taken = faults.take("/v1/orders", false, "");
    BOOST_TEST_REQUIRE(taken.has_value());
    BOOST_TEST(taken->delayMs == 10);
}

BOOST_AUTO_TEST_CASE(faultKindsHaveTheirNames)
{
    BOOST_TEST((fakeFaultKind("crash") == FakeFaultKind::Crash));
    BOOST_TEST((fakeFaultKind("gap") == FakeFaultKind::Gap));
    BOOST_TEST(!fakeFaultKind("unheard of").has_value());
}

BOOST_AUTO_TEST_CASE(theInstanceListLags)
{
    auto instances = parseFakeInstances("127.0.0.1:1/engine/verse/dc1,127.0.0.1:2/service/mail/dc2");
    BOOST_TEST_REQUIRE(instances.has_value());
    FakePlatform platform({*instances, 500, 1000, 1000});
    BOOST_TEST(platform.leave("127.0.0.1:1", false, 1000));
    BOOST_TEST(!platform.leave("127.0.0.1:9", false, 1000));
    platform.join({"127.0.0.1:3", "engine", "verse", "dc1", "live"}, 1200);
    BOOST_TEST(platform.listAt(1499).front().state == "live");
    BOOST_TEST(platform.listAt(1500).front().state == "leaving");
    BOOST_TEST(platform.listAt(1500).size() == 2U);
    BOOST_TEST(platform.listAt(1700).size() == 3U);
}

BOOST_AUTO_TEST_CASE(badInstancesAreRefused)
{
    BOOST_TEST(!parseFakeInstances("127.0.0.1:1/engine/verse").has_value());
    BOOST_TEST(!parseFakeInstances("127.0.0.1:1/toaster/verse/dc1").has_value());
}

BOOST_AUTO_TEST_CASE(theLedgerKeepsRepeatedHeaders)
{
    FakeLedger ledger;
    FakeLedgerEntry entry;
    entry.headers = {{"Authorization", "one"}, {"Host", "h"}, {"Authorization", "two"}};
    ledger.begin(entry);
    const auto headers = ledger.toJson()->getArray("requests")->getObject(0)->getObject("headers");
    BOOST_TEST(headers->getValue<std::string>("Authorization") == "one, two");
    BOOST_TEST(headers->getValue<std::string>("Host") == "h");
}

BOOST_AUTO_TEST_CASE(theLedgerTellsOutcomesAndOtherAttempts)
{
    FakeLedger ledger;
    FakeLedgerEntry entry;
    entry.attempt = "a1";
    const std::size_t first = ledger.begin(entry);
    entry.attempt = "a2";
    ledger.begin(entry);
    ledger.end(first, FakeOutcome::Cancelled, "noted", 7);
    const auto requests = ledger.toJson()->getArray("requests");
    BOOST_TEST_REQUIRE(requests->size() == 2U);
    BOOST_TEST(requests->getObject(0)->getValue<std::string>("outcome") == "cancelled");
    BOOST_TEST(requests->getObject(0)->getValue<std::string>("note") == "noted");
    BOOST_TEST(requests->getObject(1)->getValue<std::string>("outcome") == "running");
    BOOST_TEST(ledger.otherAttempt("a2") == "a1");
    BOOST_TEST(ledger.otherAttempt("a1") == "a2");
    BOOST_TEST(FakeLedger().otherAttempt("a1") == "crossed-a1");
}

} // namespace Chestnuthook
