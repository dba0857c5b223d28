/** @file request_handler_base.cpp  Routes of the caller interface. */
#include "entry/request_handler_base.h"

#include <charconv>
#include <istream>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

#include "core/hash_func.h"
#include "entry/call_runner_base.h"
#include "entry/http_reply_func.h"
#include "observe/log_func.h"
#include "observe/metrics_base.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

constexpr std::size_t MaxBodyBytes = 1024UL * 1024;
constexpr std::streamsize MaxIgnoredBytes = 8L * 1024 * 1024;
constexpr std::size_t MaxEvents = 1000;
constexpr int DirectoryTtlMs = 2000;
constexpr std::string_view BearerPrefix = "Bearer ";

std::vector<std::string> pathOf(const std::string &uri)
{
    std::vector<std::string> segments;
    Poco::URI(uri).getPathSegments(segments);
    return segments;
}

Result<std::string> readBody(Poco::Net::HTTPServerRequest &request)
{
    std::string body(MaxBodyBytes + 1, '\0');
    request.stream().read(body.data(), static_cast<std::streamsize>(body.size()));
    body.resize(static_cast<std::size_t>(request.stream().gcount()));
    if (body.size() > MaxBodyBytes) {
        // Read on for a while: a caller that still sends would lose the answer when the connection is closed.
        request.stream().ignore(MaxIgnoredBytes);
        return fail(ErrorKind::BodyTooLarge, "at most " + std::to_string(MaxBodyBytes) + " bytes");
    }
    const bool known = request.hasContentLength();
    if (request.stream().bad() || (known && static_cast<std::streamsize>(body.size()) < request.getContentLength64())) {
        return fail(ErrorKind::BadRequest, "the body ended early");
    }
    return body;
}

Result<CallNumber> parseNumber(const std::string &text)
{
    std::uint32_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || number == 0) {
        return fail(ErrorKind::BadRequest, "the call number must be a whole number from 1");
    }
    return CallNumber{number};
}

Result<ProgramWish> parseWish(const std::string &body)
{
    ProgramWish wish;
    if (body.empty()) {
        return wish;
    }
    try {
        const auto object = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
        if (const auto budget = object->getObject("budget")) {
            wish.budget.calls = budget->optValue<std::uint64_t>("calls", 0);
            wish.budget.tokens = budget->optValue<std::uint64_t>("tokens", 0);
            wish.budget.milliseconds = budget->optValue<std::uint64_t>("seconds", 0) * 1000;
        }
        wish.parent = ProgramId{object->optValue<std::string>("parent", "")};
    } catch (const std::exception &) {
        return fail(ErrorKind::BadRequest, "the body must be {\"budget\":{\"calls\":…,\"tokens\":…,\"seconds\":…}}");
    }
    return wish;
}

/** The query's `since` (0 where it isn't given) and `limit` (at most MaxEvents). */
std::pair<std::uint64_t, std::size_t> eventPageOf(const std::string &uri)
{
    std::uint64_t since = 0;
    std::size_t limit = MaxEvents;
    for (const auto &[name, value] : Poco::URI(uri).getQueryParameters()) {
        const char *const end = value.data() + value.size();
        if (name == "since") {
            std::from_chars(value.data(), end, since);
        } else if (name == "limit") {
            std::from_chars(value.data(), end, limit);
        }
    }
    return {since, std::min(limit, MaxEvents)};
}

std::string callJson(const CallRecord &call)
{
    return R"({"number":)" + std::to_string(call.number.value) + R"(,"state":)"
        + (call.state == CallState::Ended ? R"("ended")" : R"("intent")") + R"(,"status":)"
        + std::to_string(call.status) + R"(,"tokens":)" + std::to_string(call.tokens) + R"(,"request":)"
        + jsonQuoted(call.request) + R"(,"answer":)" + jsonQuoted(call.answer) + "}";
}

std::string programJson(const ProgramRecord &program)
{
    std::string calls;
    for (const CallRecord &call : program.calls) {
        calls += (calls.empty() ? "" : ",") + callJson(call);
    }
    return R"({"id":)" + jsonQuoted(program.id.text) + R"(,"state":)" + (program.ended() ? R"("ended")" : R"("open")")
        + R"(,"budget_left":{"calls":)" + std::to_string(program.budget.calls - program.spent.calls) + R"(,"tokens":)"
        + std::to_string(program.budget.tokens - std::min(program.budget.tokens, program.spent.tokens))
        + R"(},"calls":[)" + calls + "]}";
}

} // namespace

RequestHandler::RequestHandler(EntryContext &context)
    : context(context)
{
}

void RequestHandler::handleRequest(Request &request, Response &response)
{
    metrics().add(MetricKind::RequestsTotal);
    try {
        this->route(request, response);
    } catch (const std::exception &exception) {
        logEvent(EventKind::RequestRejected, {{"error", exception.what()}});
        if (!response.sent()) {
            replyError(response, Error{ErrorKind::Internal, exception.what(), Ran::Unknown, 0});
        }
    } catch (const kj::Exception &exception) {
        logEvent(EventKind::RequestRejected, {{"error", exception.getDescription().cStr()}});
        if (!response.sent()) {
            replyError(response, Error{ErrorKind::Internal, exception.getDescription().cStr(), Ran::Unknown, 0});
        }
    }
}

void RequestHandler::route(Request &request, Response &response)
{
    const std::vector<std::string> path = pathOf(request.getURI());
    if (path == std::vector<std::string>{"healthz"}) {
        replyText(response, 200, "text/plain", "ok\n");
    } else if (path == std::vector<std::string>{"readyz"}) {
        this->readyz(response);
    } else if (path == std::vector<std::string>{"metrics"}) {
        replyText(response, 200, "text/plain; version=0.0.4", metrics().renderText());
    } else if (path == std::vector<std::string>{"v1", "events"}) {
        const auto [since, limit] = eventPageOf(request.getURI());
        replyJson(response, 200, processEvents().toJson(since, limit));
    } else if (path == std::vector<std::string>{"v1", "entries"}) {
        this->entries(response);
    } else if (path.size() >= 2 && path[0] == "v1" && path[1] == "programs") {
        this->programs(request, response, path);
    } else {
        replyError(
            response, Error{ErrorKind::NotFound, "no route " + Poco::URI(request.getURI()).getPath(), Ran::No, 0});
    }
}

void RequestHandler::readyz(Response &response)
{
    bool ready = true;
    std::string children;
    const std::vector<ChildState> states = this->context.loop.call([this]() {
        return this->context.root->states();
    });
    for (const ChildState &state : states) {
        ready = ready && state.ready;
        children += (children.empty() ? "" : ",") + (R"({"child":)" + jsonQuoted(state.name)) + R"(,"ready":)"
            + (state.ready ? "true" : "false") + R"(,"error":)"
            + jsonQuoted(state.error ? errorText(*state.error) : std::string()) + "}";
    }
    replyJson(response, ready ? 200 : 503,
        R"({"ready":)" + std::string(ready ? "true" : "false") + R"(,"children":[)" + children + "]}");
}

void RequestHandler::entries(Response &response)
{
    std::string list;
    const auto view = this->context.follower.views.get();
    for (const EntryRecord &entry : view == nullptr ? std::vector<EntryRecord>() : view->entries) {
        if (entry.state == EntryState::Live) {
            list += (list.empty() ? "" : ",") + (R"({"address":)" + jsonQuoted(entry.address)) + R"(,"data_centre":)"
                + jsonQuoted(entry.dataCentre.text) + "}";
        }
    }
    replyJson(response, 200, R"({"entries":[)" + list + R"(],"ttl_ms":)" + std::to_string(DirectoryTtlMs) + "}");
}

Result<Caller> RequestHandler::authenticate(const Request &request)
{
    const auto view = this->context.follower.views.get();
    if (view == nullptr || !this->context.follower.isFresh()) {
        return fail(ErrorKind::NotReady, "the fleet state is not confirmed");
    }
    const std::string header = request.get("Authorization", "");
    if (!header.starts_with(BearerPrefix)) {
        return fail(ErrorKind::UnknownKey, "no key came; send Authorization: Bearer KEY");
    }
    const auto caller = view->callers.find(sha256Raw(header.substr(BearerPrefix.size())));
    if (caller == view->callers.end()) {
        return fail(ErrorKind::UnknownKey, "");
    }
    return caller->second;
}

void RequestHandler::programs(Request &request, Response &response, const std::vector<std::string> &path)
{
    const Result<Caller> caller = this->authenticate(request);
    if (!caller) {
        replyError(response, caller.error());
        return;
    }
    const std::string &method = request.getMethod();
    if (path.size() == 2 && method == "POST") {
        this->createProgram(request, response, *caller);
    } else if (path.size() == 3 && method == "GET") {
        this->showProgram(response, *caller, ProgramId{path[2]});
    } else if (path.size() == 3 && method == "DELETE") {
        const Result<void> ended = this->context.loop.call([&]() {
            return this->context.programs.endProgram(ProgramId{path[2]}, caller->tenant);
        });
        if (ended) {
            replyJson(response, 200, R"({"state":"ended"})");
        } else {
            replyError(response, ended.error());
        }
    } else if (path.size() == 5 && path[3] == "calls" && method == "POST") {
        this->runCall(request, response, *caller, path);
    } else {
        replyError(response, Error{ErrorKind::NotFound, "no such route under /v1/programs", Ran::No, 0});
    }
}

void RequestHandler::createProgram(Request &request, Response &response, const Caller &caller)
{
    const Result<std::string> body = readBody(request);
    Result<ProgramWish> wish = body ? parseWish(*body) : tl::unexpected(body.error());
    const Result<void> admitted = wish ? this->context.admission.admit(caller) : tl::unexpected(wish.error());
    if (!admitted) {
        replyError(response, admitted.error());
        return;
    }
    wish->tenant = caller.tenant;
    wish->requestId = request.get("Idempotency-Key", "");
    const Result<ProgramId> id = this->context.loop.call([&]() {
        return this->context.programs.create(*wish);
    });
    if (id) {
        replyJson(response, 201, R"({"id":)" + jsonQuoted(id->text) + "}");
    } else {
        replyError(response, id.error());
    }
}

void RequestHandler::showProgram(Response &response, const Caller &caller, const ProgramId &program)
{
    const Result<ProgramRecord> record = this->context.loop.call([&]() {
        return this->context.programs.get(program, caller.tenant);
    });
    if (record) {
        replyJson(response, 200, programJson(*record));
    } else {
        replyError(response, record.error());
    }
}

void RequestHandler::runCall(
    Request &request, Response &response, const Caller &caller, const std::vector<std::string> &path)
{
    const Result<CallNumber> number = parseNumber(path[4]);
    const Result<std::string> body = number ? readBody(request) : tl::unexpected(number.error());
    const Result<CallRequest> call = body ? parseCall(*body) : tl::unexpected(body.error());
    const Result<void> admitted = call ? this->context.admission.admit(caller) : tl::unexpected(call.error());
    if (!admitted) {
        replyError(response, admitted.error());
        return;
    }
    CallRunner(this->context, response, ProgramId{path[2]}, caller.tenant).run(*number, *call);
}

} // namespace Chestnuthook
