/** @file load_program_base.cpp  Steps, retries and checks of one program. */
#include "load/load_program_base.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include "observe/event_ring_base.h"

namespace Chestnuthook
{

namespace
{

constexpr unsigned MaxAttempts = 40;
constexpr std::int64_t MinRetryDelayMs = 150;
constexpr std::int64_t MaxRetryDelayMs = 2000;
constexpr std::uint64_t GrantedTokens = 1'000'000;
constexpr int StatusOk = 200;
constexpr int StatusCreated = 201;
constexpr int StatusBudget = 402;
constexpr int StatusRate = 429;
constexpr int StatusNotReady = 503;

using Clock = std::chrono::steady_clock;

std::string fieldOf(const std::string &json, const std::string &name)
{
    try {
        const auto object = Poco::JSON::Parser().parse(json).extract<Poco::JSON::Object::Ptr>();
        return object->optValue<std::string>(name, "");
    } catch (const std::exception &) {
        return "";
    }
}

/** Whether a retry may succeed. A retry is safe, since the same call number never runs twice. */
bool isRetryable(const LoadResponse &answer)
{
    const bool refused = answer.status == StatusRate || answer.status == StatusNotReady;
    return answer.status == 0 || refused || answer.code == "endpoint_failed" || answer.code == "stale_epoch";
}

} // namespace

LoadProgramRunner::LoadProgramRunner(LoadRunContext &run, const LoadProgram &plan)
    : shared(run)
    , plan(plan)
{
    this->chat.model = run.target.model;
}

const std::string &LoadProgramRunner::key() const
{
    return this->shared.target.customers[this->plan.customer].second;
}

bool LoadProgramRunner::run()
{
    if (!this->create("", this->plan.callBudget)) {
        return false;
    }
    for (const LoadStep &step : this->plan.steps) {
        if (this->shared.stopped || !this->step(step)) {
            break;
        }
        if (this->budgetSpent) {
            break;
        }
    }
    if (!this->failed) {
        this->checkHistory();
    }
    const bool finished = !this->failed && !this->shared.stopped;
    this->sendWithRetries("DELETE", "/v1/programs/" + this->id, "");
    return finished;
}

bool LoadProgramRunner::create(const std::string &parent, std::uint32_t calls)
{
    const std::string body = R"({"budget":{"calls":)" + std::to_string(calls) + R"(,"tokens":)"
        + std::to_string(GrantedTokens) + R"(,"seconds":3600})"
        + (parent.empty() ? "" : R"(,"parent":)" + jsonQuoted(parent)) + "}";
    const LoadResponse created = this->sendWithRetries("POST", "/v1/programs", body);
    this->id = created.status == StatusCreated ? fieldOf(created.body, "id") : "";
    this->budget = calls;
    this->maxBudget = calls;
    this->failed = this->id.empty();
    if (this->failed) {
        this->shared.record.addAbandoned(this->plan.customer, created.code.empty() ? "no_answer" : created.code);
    }
    return !this->failed;
}

bool LoadProgramRunner::step(const LoadStep &step)
{
    switch (step.kind) {
    case LoadStepKind::Think:
        std::this_thread::sleep_for(std::chrono::milliseconds(step.ms));
        return true;
    case LoadStepKind::Model:
        return this->modelCall(step);
    case LoadStepKind::Tool:
        return this->toolCall(step);
    case LoadStepKind::SubAgent:
        return this->subAgent(step);
    }
    return false;
}

LoadResponse LoadProgramRunner::sendWithRetries(
    const std::string &method, const std::string &path, const std::string &body)
{
    const auto start = Clock::now();
    LoadResponse answer;
    for (unsigned attempt = 0; attempt < MaxAttempts; ++attempt) {
        const std::string entry = this->shared.directory.choose(this->plan.number, attempt);
        answer = sendRequest(entry, this->key(), method, path, body);
        const bool refused = answer.status == StatusRate || answer.status == StatusNotReady;
        if (refused) {
            this->shared.record.addRefusal(this->plan.customer);
        }
        if (!isRetryable(answer)) {
            break;
        }
        const std::int64_t pause = std::clamp(answer.retryAfterMs, MinRetryDelayMs, MaxRetryDelayMs);
        std::this_thread::sleep_for(std::chrono::milliseconds(pause));
    }
    const std::chrono::duration<double> took = Clock::now() - start;
    this->requestSeconds += took.count();
    if (answer.status == StatusOk && method == "POST") {
        this->shared.record.addCall(this->plan.customer, took.count());
    }
    return answer;
}

LoadResponse LoadProgramRunner::call(const std::string &body)
{
    return this->sendWithRetries("POST", "/v1/programs/" + this->id + "/calls/" + std::to_string(this->next), body);
}

/** Evaluates the final response to a call. @return whether the program goes on. */
bool LoadProgramRunner::handleResponse(const LoadResponse &answer)
{
    if (answer.status == StatusOk) {
        this->next += 1;
        return true;
    }
    if (answer.status == StatusBudget) {
        this->shared.record.check(LoadGuarantee::Budget, this->next > this->budget,
            "program " + this->id + " was refused call " + std::to_string(this->next) + " of "
                + std::to_string(this->budget));
        this->budgetSpent = true;
        return false;
    }
    this->failed = true;
    this->shared.record.addAbandoned(this->plan.customer, answer.code.empty() ? "no_answer" : answer.code);
    return false;
}

std::string LoadProgramRunner::modelBody(const LoadStep &step, const std::string &content) const
{
    return R"({"kind":"model","model":)" + jsonQuoted(this->chat.model) + R"(,"messages":[{"role":"user","content":)"
        + jsonQuoted(content) + R"(}],"max_tokens":)" + std::to_string(step.maxTokens) + R"(,"stream":)"
        + (step.stream ? "true" : "false") + "}";
}

bool LoadProgramRunner::modelCall(const LoadStep &step)
{
    std::string content = this->shared.name + "-" + this->id + "-" + std::to_string(this->next);
    for (std::uint32_t word = 1; word < step.words; ++word) {
        content += " word" + std::to_string(word);
    }
    const std::string body = this->modelBody(step, content);
    const bool past = this->next > this->maxBudget;
    const LoadResponse answer = this->call(body);
    if (past) {
        this->shared.record.check(LoadGuarantee::Budget, answer.status != StatusOk,
            "program " + this->id + " ran call " + std::to_string(this->next) + " of "
                + std::to_string(this->maxBudget));
    }
    if (!this->handleResponse(answer)) {
        return false;
    }
    this->chat.messages.push_back(FakeMessage{"user", content});
    this->chat.maxTokens = step.maxTokens;
    std::string expected;
    for (const std::string &piece : generateFakeCompletion(this->chat).pieces) {
        expected += piece;
    }
    this->shared.record.check(LoadGuarantee::CompleteOwnResponse, answer.text == expected,
        "call " + std::to_string(this->next - 1) + " of " + this->id + " got \"" + answer.text + "\" for \"" + expected
            + "\"");
    this->chat.messages.push_back(FakeMessage{"assistant", answer.text});
    this->answers.push_back(answer.text);
    return true;
}

bool LoadProgramRunner::toolCall(const LoadStep &step)
{
    const std::string marker = "m-" + this->shared.name + "-" + this->id + "-" + std::to_string(this->next);
    const std::string body = R"({"kind":"tool","service":)" + jsonQuoted(this->shared.target.service)
        + R"(,"method":"POST","path":"/orders?marker=)" + marker + "&delay_ms=" + std::to_string(step.ms)
        + R"(","body":{"order":)" + jsonQuoted(marker) + R"(},"idempotent":)" + (step.idempotent ? "true" : "false")
        + "}";
    const std::uint32_t number = this->next;
    const LoadResponse answer = this->call(body);
    SentToolCall sent{marker, answer.status == StatusOk ? fieldOf(answer.body, "digest") : "", step.idempotent, false};
    sent.refused = answer.status != StatusOk && answer.ran == "no";
    this->shared.record.addToolCall(std::move(sent));
    if (!this->handleResponse(answer)) {
        return false;
    }
    this->answers.push_back(answer.body);
    if (step.resend) {
        this->next = number;
        const LoadResponse again = this->call(body);
        this->shared.record.check(LoadGuarantee::SameResponseOnResend,
            again.status == StatusOk && again.body == answer.body, "tool call " + marker);
        this->next = number + 1;
    }
    return true;
}

bool LoadProgramRunner::subAgent(const LoadStep &step)
{
    LoadProgramRunner child(this->shared, this->plan);
    if (this->next > this->budget) {
        return true; // No budget is left for the child.
    }
    const std::uint32_t calls = std::min(step.turns, this->budget - this->next + 1);
    if (!child.create(this->id, calls)) {
        return true; // Counted as abandoned; the parent goes on.
    }
    LoadStep turn{.kind = LoadStepKind::Model, .words = 5, .maxTokens = 20};
    for (std::uint32_t i = 0; i < calls && child.modelCall(turn); ++i) {
    }
    this->budget -= calls;
    this->maxBudget -= child.next - 1; // The child returns what it did not use.
    this->requestSeconds += child.requestSeconds;
    child.sendWithRetries("DELETE", "/v1/programs/" + child.id, "");
    return true;
}

void LoadProgramRunner::checkHistory()
{
    const LoadResponse shown = this->sendWithRetries("GET", "/v1/programs/" + this->id, "");
    if (shown.status != StatusOk) {
        return;
    }
    bool held = false;
    try {
        const auto calls = Poco::JSON::Parser().parse(shown.body).extract<Poco::JSON::Object::Ptr>()->getArray("calls");
        held = calls->size() == this->answers.size();
        for (unsigned i = 0; held && i < calls->size(); ++i) {
            const auto call = calls->getObject(i);
            held = call->getValue<unsigned>("number") == i + 1
                && call->getValue<std::string>("answer") == this->answers[i];
        }
    } catch (const std::exception &) {
        held = false;
    }
    this->shared.record.check(LoadGuarantee::Order, held,
        "program " + this->id + " shows other calls than the " + std::to_string(this->answers.size())
            + " that were answered");
}

} // namespace Chestnuthook
