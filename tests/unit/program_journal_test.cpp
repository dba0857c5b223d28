/** @file program_journal_test.cpp  The journal of programs: fencing, idempotence of resent commands, budgets, and a
 * random run with a fixed seed in which every command may arrive twice and late. */
#define BOOST_TEST_MODULE program_journal
#include <boost/test/unit_test.hpp>

#include <functional>
#include <random>

#include <capnp/message.h>

#include "fleet/fleet_base.h"
#include "program/journal_base.h"
#include "rpc/message_func.h"

using namespace Chestnuthook;

namespace
{

const std::string Program = "p-1";
constexpr std::uint64_t CallBudget = 3;
constexpr std::uint64_t TokenBudget = 100;

using Fill = std::function<void(Wire::JournalCommand::Builder)>;

/** A journal with one program, and functions that make commands on it. */
struct Journal
{
    JournalState state;
    std::uint64_t index = 0;

    Journal()
    {
        this->open(1);
        BOOST_REQUIRE(this->apply(create()) == "done");
    }

    /** @return the error code; `done` if the command succeeded. */
    std::string apply(const std::string &command)
    {
        const std::string bytes = this->state.apply(++this->index, command);
        FlatMessage message(bytes);
        const auto reply = message.root<Wire::JournalReply>();
        return reply.isFailure() ? textOf(reply.getFailure().getCode()) : "done";
    }

    void open(std::uint64_t epoch)
    {
        capnp::MallocMessageBuilder message;
        auto slots = message.initRoot<Wire::JournalCommand>().initOpenSlots(1);
        slots[0].setSlot(slotOf(Program).value);
        slots[0].setEpoch(epoch);
        BOOST_REQUIRE(this->apply(flatBytes(message)) == "done");
    }

    static std::string make(const Fill &fill, std::uint64_t epoch = 1)
    {
        capnp::MallocMessageBuilder message;
        auto command = message.initRoot<Wire::JournalCommand>();
        command.setSlot(slotOf(Program).value);
        command.setEpoch(epoch);
        command.setNowMs(1000);
        fill(command);
        return flatBytes(message);
    }

    static std::string create(const std::string &requestId = "r")
    {
        return make([&](auto command) {
            ProgramRecord program;
            program.id = ProgramId{Program};
            program.customer = CustomerId{"t"};
            program.budget = Budget{CallBudget, TokenBudget, 1000, 2};
            program.requestId = requestId;
            writeProgram(command.initCreate(), program);
        });
    }

    static CallRecord callOf(std::uint32_t number, const std::string &attempt)
    {
        CallRecord call;
        call.number = CallNumber{number};
        call.attempt = AttemptId{attempt};
        call.digest = "d" + std::to_string(number);
        return call;
    }

    static std::string begin(std::uint32_t number, const std::string &attempt, std::uint64_t epoch = 1)
    {
        return make(
            [&](auto command) {
                auto group = command.initBegin();
                group.setProgram(Program);
                writeCall(group.initCall(), callOf(number, attempt));
            },
            epoch);
    }

    static std::string end(std::uint32_t number, const std::string &attempt, std::uint64_t tokens = 0,
        std::uint64_t covered = 0, std::optional<Error> failure = {})
    {
        return make([&](auto command) {
            CallRecord call = callOf(number, attempt);
            call.tokens = tokens;
            call.answer = "answer of " + attempt;
            call.failure = std::move(failure);
            auto group = command.initEnd();
            group.setProgram(Program);
            group.setCovered(covered);
            writeCall(group.initCall(), call);
        });
    }

    static std::string reserve(const std::string &id, std::uint64_t tokens, bool giveBack = false)
    {
        return make([&](auto command) {
            auto group = command.initReserve();
            group.setProgram(Program);
            group.setId(id);
            group.setEndpoint("e");
            group.setGiveBack(giveBack);
            writeBudget(group.initAmount(), Budget{0, tokens, 0, 0});
        });
    }

    static std::string allocateChildBudget(const std::string &child, std::uint64_t calls, std::uint32_t depth)
    {
        return make([&](auto command) {
            auto group = command.initCarve();
            group.setProgram(Program);
            group.setChild(child);
            writeBudget(group.initAmount(), Budget{calls, 10, 0, depth});
        });
    }

    static std::string endProgram()
    {
        return make([](auto command) {
            command.setEndProgram(Program);
        });
    }

    [[nodiscard]] const ProgramRecord &program() const
    {
        return *this->state.find(ProgramId{Program});
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(resent_command_has_no_effect)
{
    Journal journal;
    const std::vector<std::string> commands = {Journal::create(), Journal::begin(1, "a"), Journal::end(1, "a", 5),
        Journal::reserve("b1", 40), Journal::end(2, "b", 30, 30), Journal::reserve("b2", 10, true),
        Journal::allocateChildBudget("c", 1, 1), Journal::endProgram()};
    for (const std::string &command : commands) {
        BOOST_TEST(journal.apply(command) == "done");
        const std::string before = journal.state.snapshot();
        BOOST_TEST(journal.apply(command) == "done");
        JournalState after;
        after.restore(before);
        BOOST_TEST(after.find(ProgramId{Program})->calls.size() == journal.program().calls.size());
        BOOST_TEST((after.find(ProgramId{Program})->spent == journal.program().spent));
    }
    BOOST_TEST(journal.program().spent.tokens == 5 + 40 - 10 + 10);
    BOOST_TEST(journal.program().spent.calls == 3);
}

BOOST_AUTO_TEST_CASE(older_epoch_and_other_attempt_are_rejected)
{
    Journal journal;
    BOOST_TEST(journal.apply(Journal::begin(1, "a")) == "done");
    journal.open(2);
    BOOST_TEST(journal.apply(Journal::end(1, "a")) == "stale_epoch");
    BOOST_TEST(journal.apply(Journal::begin(2, "b", 2)) == "conflict");
    BOOST_TEST(journal.apply(Journal::begin(1, "b", 2)) == "conflict");
    BOOST_TEST(journal.program().calls.size() == 1U);
    BOOST_TEST(journal.apply(Journal::create("other")) == "stale_epoch");
}

BOOST_AUTO_TEST_CASE(intent_is_removed_when_its_attempt_did_not_run)
{
    Journal journal;
    const Error notRun{ErrorKind::NoEndpoint, "", Ran::No, 0};
    BOOST_TEST(journal.apply(Journal::begin(1, "a")) == "done");
    BOOST_TEST(journal.program().spent.calls == 1U);
    BOOST_TEST(journal.apply(Journal::end(1, "a", 0, 0, notRun)) == "done");
    BOOST_TEST(journal.apply(Journal::end(1, "a", 0, 0, notRun)) == "done");
    BOOST_TEST(journal.program().calls.empty());
    BOOST_TEST(journal.program().spent.calls == 0U);
    BOOST_TEST(journal.apply(Journal::begin(1, "b")) == "done");
    BOOST_TEST(journal.apply(Journal::end(1, "a", 0, 0, notRun)) == "conflict");
}

BOOST_AUTO_TEST_CASE(result_of_intent_is_accepted_after_program_end)
{
    Journal journal;
    BOOST_TEST(journal.apply(Journal::begin(1, "a")) == "done");
    BOOST_TEST(journal.apply(Journal::endProgram()) == "done");
    BOOST_TEST(journal.apply(Journal::end(1, "a")) == "done");
    BOOST_TEST((journal.program().calls.back().state == CallState::Ended));
    BOOST_TEST(journal.apply(Journal::begin(2, "b")) == "program_ended");
    BOOST_TEST(journal.apply(Journal::end(2, "b")) == "program_ended");
}

BOOST_AUTO_TEST_CASE(budgets_are_exact)
{
    Journal journal;
    BOOST_TEST(journal.apply(Journal::reserve("b1", TokenBudget)) == "done");
    BOOST_TEST(journal.apply(Journal::reserve("b2", 1)) == "budget_spent");
    BOOST_TEST(journal.apply(Journal::allocateChildBudget("deep", 1, 2)) == "budget_spent");
    BOOST_TEST(journal.apply(Journal::reserve("b3", 50, true)) == "done");
    BOOST_TEST(journal.apply(Journal::allocateChildBudget("child", 1, 1)) == "done");
    BOOST_TEST(journal.apply(Journal::allocateChildBudget("greedy", CallBudget, 1)) == "budget_spent");
    BOOST_TEST(journal.apply(Journal::end(1, "a")) == "done");
    BOOST_TEST(journal.apply(Journal::begin(2, "b")) == "done");
    BOOST_TEST(journal.apply(Journal::end(2, "b")) == "done");
    BOOST_TEST(journal.apply(Journal::begin(3, "c")) == "budget_spent");
    BOOST_TEST(journal.apply(Journal::end(3, "c")) == "budget_spent");
}

BOOST_AUTO_TEST_CASE(answer_with_nul_byte_is_preserved)
{
    const std::string answer("before\0after", 12);
    ProgramRecord program;
    program.id = ProgramId{Program};
    CallRecord call = Journal::callOf(1, "a");
    call.answer = answer;
    call.request = answer;
    call.failure = Error{ErrorKind::EndpointFailed, answer, Ran::Unknown, 0};
    program.calls.push_back(call);
    capnp::MallocMessageBuilder message;
    writeProgram(message.initRoot<Wire::Program>(), program);
    const ProgramRecord read = readProgram(message.getRoot<Wire::Program>().asReader());
    BOOST_TEST(read.calls[0].answer == answer);
    BOOST_TEST(read.calls[0].request == answer);
    BOOST_TEST(read.calls[0].failure->what == answer);
}

/** Invariants: calls are numbered without gaps, only the last one is an intent, an ended call keeps its first result,
 * and the budget is not overspent. They hold for commands that arrive twice, late and in any order. */
BOOST_AUTO_TEST_CASE(commands_in_any_order_keep_the_invariants)
{
    constexpr unsigned Seed = 20261203;
    constexpr int Runs = 300;
    constexpr int Steps = 60;
    std::mt19937 random(Seed);
    for (int run = 0; run < Runs; ++run) {
        Journal journal;
        std::vector<std::string> sent;
        std::map<std::uint32_t, std::string> results;
        for (int step = 0; step < Steps; ++step) {
            const auto number = static_cast<std::uint32_t>(random() % 4 + 1);
            const std::string attempt = std::to_string(number) + "-" + std::to_string(random() % 3);
            switch (random() % 5) {
            case 0:
                sent.push_back(Journal::begin(number, attempt));
                break;
            case 1:
                sent.push_back(Journal::end(number, attempt, random() % 50, random() % 20));
                break;
            case 2:
                sent.push_back(Journal::reserve("b" + std::to_string(random() % 9), random() % 40, random() % 3 == 0));
                break;
            case 3:
                sent.push_back(Journal::end(number, attempt, 0, 0, Error{ErrorKind::NoEndpoint, "", Ran::No, 0}));
                break;
            default:
                sent.push_back(sent.empty() ? Journal::create() : sent[random() % sent.size()]);
            }
            journal.apply(sent.back());
            const ProgramRecord &program = journal.program();
            BOOST_REQUIRE(program.spent.calls <= CallBudget);
            BOOST_REQUIRE(program.spent.tokens <= TokenBudget);
            for (std::size_t i = 0; i < program.calls.size(); ++i) {
                const CallRecord &call = program.calls[i];
                BOOST_REQUIRE(call.number.value == i + 1);
                BOOST_REQUIRE((call.state == CallState::Ended || i + 1 == program.calls.size()));
                if (call.state == CallState::Ended) {
                    const auto first = results.try_emplace(call.number.value, call.attempt.text).first;
                    BOOST_REQUIRE(first->second == call.attempt.text);
                }
            }
        }
    }
}
