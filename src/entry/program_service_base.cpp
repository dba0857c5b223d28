/** @file program_service_base.cpp  Checks and routes of requests about programs. */
#include "entry/program_service_base.h"

#include <algorithm>
#include <charconv>
#include <thread>
#include <utility>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

#include "core/hash_func.h"
#include "entry/call_runner_base.h"
#include "entry/forwarded_answer_base.h"
#include "entry/http_reply_func.h"
#include "fleet/fleet_base.h"
#include "observe/log_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusCreated = 201;
constexpr std::size_t MaxKeyBytes = 256;
constexpr std::int64_t MaxBudgetField = 1'000'000'000'000;

/** How long a request is held while its slot moves, and when to come back after that. */
constexpr Duration HoldPeriod = std::chrono::milliseconds(4500);
constexpr auto HoldStep = std::chrono::milliseconds(50);
constexpr std::int64_t ComeBackMs = 1000;

Result<CallNumber> parseNumber(const std::string &text)
{
    std::uint32_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || number == 0) {
        return fail(ErrorKind::BadRequest, "the call number must be a whole number from 1");
    }
    return CallNumber{number};
}

Result<std::uint64_t> budgetField(const Poco::JSON::Object::Ptr &budget, const std::string &name)
{
    const Poco::Dynamic::Var value = budget->get(name);
    if (value.isEmpty()) {
        return 0;
    }
    const bool whole = value.isInteger() && !value.isBoolean();
    if (!whole || value.convert<std::int64_t>() < 1 || value.convert<std::int64_t>() > MaxBudgetField) {
        return fail(ErrorKind::BadRequest, "field budget." + name + " must be a whole number from 1");
    }
    return value.convert<std::uint64_t>();
}

Result<ProgramWish> parseWish(const std::string &body)
{
    constexpr std::uint64_t MsPerSecond = 1000;
    ProgramWish wish;
    if (body.empty()) {
        return wish;
    }
    try {
        const auto object = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
        const Poco::Dynamic::Var parent = object->get("parent");
        if (!parent.isEmpty() && !parent.isString()) {
            return fail(ErrorKind::BadRequest, "field parent must be the id of a program");
        }
        wish.parent = ProgramId{parent.isEmpty() ? "" : parent.extract<std::string>()};
        if (!object->has("budget")) {
            return wish;
        }
        const auto budget = object->getObject("budget");
        const auto calls = budgetField(budget, "calls");
        const auto tokens = budgetField(budget, "tokens");
        const auto seconds = budgetField(budget, "seconds");
        if (!calls || !tokens || !seconds) {
            return tl::unexpected(!calls ? calls.error() : !tokens ? tokens.error() : seconds.error());
        }
        wish.budget = Budget{*calls, *tokens, *seconds * MsPerSecond, 0};
        return wish;
    } catch (const std::exception &) {
        return fail(
            ErrorKind::BadRequest, R"(the body must be {"budget":{"calls":…,"tokens":…,"seconds":…},"parent":…})");
    }
}

/** Whether a request that failed with @p error may succeed when it is given to the slot's owner again, which knows a
 * call that has begun by its number and content. Cancelled: it had joined a call that its last reader was leaving. */
bool mayHold(const Error &error)
{
    return error.kind == ErrorKind::NotReady || error.kind == ErrorKind::StaleEpoch || error.kind == ErrorKind::NoQuorum
        || error.kind == ErrorKind::NotLeader || error.kind == ErrorKind::Cancelled;
}

/** What is true of a request that was tried twice. */
Ran both(Ran earlier, Ran later)
{
    const bool yes = earlier == Ran::Yes || later == Ran::Yes;
    return yes ? Ran::Yes : earlier == Ran::Unknown ? earlier : later;
}

} // namespace

void writeRequest(Wire::ForwardedRequest::Builder builder, const CallerRequest &request)
{
    builder.setMethod(request.method);
    builder.setPath(request.uri);
    builder.setTenant(request.caller.customer.text);
    builder.setKeyId(request.caller.key.text);
    builder.setIdempotencyKey(request.idempotencyKey);
    builder.setBody(dataOf(request.body));
    builder.setHops(1);
    writeHybridTime(builder.initTime());
    auto headers = builder.initHeaders(2);
    headers[0].setName("Content-Type");
    headers[0].setValue(request.contentType);
    headers[1].setName("X-Program-Id");
    headers[1].setValue(request.program);
}

CallerRequest readRequest(Wire::ForwardedRequest::Reader reader)
{
    observeHybridTime(reader.getTime());
    CallerRequest request;
    request.method = textOf(reader.getMethod());
    request.uri = textOf(reader.getPath());
    Poco::URI(request.uri).getPathSegments(request.path);
    request.caller = Caller{CustomerId{textOf(reader.getTenant())}, KeyId{textOf(reader.getKeyId())}};
    request.idempotencyKey = textOf(reader.getIdempotencyKey());
    request.body = bytesOf(reader.getBody());
    request.forwarded = reader.getHops() > 0;
    for (const auto header : reader.getHeaders()) {
        (textOf(header.getName()) == "Content-Type" ? request.contentType : request.program) =
            textOf(header.getValue());
    }
    return request;
}

ProgramService::ProgramService(EntryContext &context, AnswerWriter &answer, const CallerRequest &request)
    : context(context)
    , answer(answer)
    , request(request)
{
}

Result<void> ProgramService::check()
{
    const std::vector<std::string> &path = this->request.path;
    const std::string &method = this->request.method;
    if (this->request.idempotencyKey.size() > MaxKeyBytes) {
        return fail(ErrorKind::BadRequest, "header Idempotency-Key has at most 256 bytes");
    }
    const bool programs = path.size() >= 2 && path[1] == "programs";
    if (programs && path.size() == 2 && method == "POST") {
        return this->checkCreate();
    }
    if (programs && path.size() == 3 && (method == "GET" || method == "DELETE")) {
        this->route = method == "GET" ? Route::Show : Route::End;
        this->program = ProgramId{path[2]};
        return {};
    }
    if (programs && path.size() == 5 && path[3] == "calls" && method == "POST") {
        const Result<CallNumber> parsed = parseNumber(path[4]);
        if (!parsed) {
            return tl::unexpected(parsed.error());
        }
        this->number = *parsed;
        this->program = ProgramId{path[2]};
        this->route = Route::Call;
        return this->checkCall(parseCall(this->request.body));
    }
    if (path.size() == 3 && path[1] == "chat" && path[2] == "completions" && method == "POST") {
        this->route = Route::Chat;
        this->program = ProgramId{this->request.program};
        return this->checkCall(parseChatCall(this->request.body));
    }
    if (path.size() >= 3 && path[1] == "services") {
        return this->checkService();
    }
    return fail(ErrorKind::NotFound, "no such route");
}

Result<void> ProgramService::checkCreate()
{
    this->route = Route::Create;
    Result<ProgramWish> parsed = parseWish(this->request.body);
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    this->wish = std::move(*parsed);
    this->wish.customer = this->request.caller.customer;
    this->wish.key = this->request.caller.key;
    this->wish.requestKey = this->request.idempotencyKey;
    this->wish.digest = sha256Hex(this->request.body);
    if (!this->wish.parent.empty()) {
        this->program = this->wish.parent;
    } else if (!this->wish.requestKey.empty()) {
        this->program = programOfKey(this->wish.customer, this->wish.requestKey);
    }
    return {};
}

Result<void> ProgramService::checkCall(Result<CallRequest> parsed)
{
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    this->call = std::move(*parsed);
    const bool alone = this->route == Route::Service || (this->route == Route::Chat && this->program.empty());
    if (alone && !this->request.idempotencyKey.empty()) {
        this->program = programOfKey(this->request.caller.customer, this->request.idempotencyKey);
    }
    return {};
}

Result<void> ProgramService::checkService()
{
    this->route = Route::Service;
    const ServiceId service{this->request.path[2]};
    const auto view = this->context.follower.views.get();
    const auto declared = view->services.find(service);
    if (declared == view->services.end()) {
        return fail(ErrorKind::NotFound, "no service " + service.text);
    }
    const std::string prefix = "/v1/services/" + service.text;
    const std::string rest = this->request.uri.starts_with(prefix) ? this->request.uri.substr(prefix.size()) : "/";
    const std::string type = this->request.contentType.empty() ? "application/json" : this->request.contentType;
    Result<void> checked = this->checkCall(makeServiceCall(
        service, this->request.method, rest.starts_with("/") ? rest : "/" + rest, type, this->request.body));
    const auto &methods = declared->second.idempotentMethods;
    const bool idempotent = std::find(methods.begin(), methods.end(), this->request.method) != methods.end();
    if (idempotent && this->request.idempotencyKey.empty()) {
        this->plainTimeoutMs = declared->second.timeoutMs;
    }
    return checked;
}

std::string ProgramService::ownerAddress() const
{
    const auto view = this->context.follower.views.get();
    EntryId owner;
    if (!this->program.empty()) {
        owner = view->slots.at(slotOf(this->program.text).value).owner;
    } else if (this->context.draining && this->plainTimeoutMs == 0) {
        // A new program needs an entry that will stay.
        for (const EntryRecord &entry : view->entries) {
            owner = entry.state == EntryState::Live ? entry.id : owner;
        }
    }
    for (const EntryRecord &entry : view->entries) {
        if (entry.id == owner && owner != this->context.self) {
            return entry.rpcAddress;
        }
    }
    return "";
}

bool ProgramService::isOwn() const
{
    return this->ownerAddress().empty();
}

void ProgramService::serve()
{
    const Instant begin = this->context.loop.timers().now();
    const Instant giveUp = begin + HoldPeriod;
    // A former owner may not know yet that a program has moved on elsewhere.
    const auto mayBeStale = [&](const Error &error) {
        const bool depends = error.kind == ErrorKind::NotFound || error.kind == ErrorKind::Conflict;
        return depends && error.ran == Ran::No && !this->context.follower.views.isReadAfter(begin);
    };
    Ran ran = Ran::No;
    Result<void> served = this->serveOnce();
    while (!served && (mayHold(served.error()) || mayBeStale(served.error())) && !this->answer.isStarted()
        && !this->answer.isGone() && this->context.loop.timers().now() < giveUp) {
        ran = both(ran, served.error().ran);
        std::this_thread::sleep_for(HoldStep);
        served = this->serveOnce();
    }
    if (served || this->answer.isStarted() || this->answer.isGone()) {
        return;
    }
    Error error = served.error();
    error.ran = both(ran, error.ran);
    if (error.kind == ErrorKind::StaleEpoch) {
        error.kind = ErrorKind::NotReady; // Epochs are not the caller's: the slot is still moving.
    }
    if (mayHold(error) && error.retryAfterMs == 0) {
        error.retryAfterMs = ComeBackMs;
    }
    logEvent(EventKind::CallRefused, {{"program", this->program.text}, {"error", error.what}});
    replyError(this->answer, error);
}

Result<void> ProgramService::serveOnce()
{
    const std::string address = this->ownerAddress();
    if (!address.empty()) {
        return this->request.forwarded ? fail(ErrorKind::NotReady, "the program has moved") : this->forward(address);
    }
    return this->serveHere();
}

Result<void> ProgramService::serveHere()
{
    switch (this->route) {
    case Route::Create:
        return this->create();
    case Route::Show: {
        const Result<ProgramRecord> record = this->context.loop.call([this]() {
            return this->context.programs.get(this->program, this->request.caller.customer);
        });
        if (!record) {
            return tl::unexpected(record.error());
        }
        replyJson(this->answer, StatusOk, programJson(*record));
        return {};
    }
    case Route::End: {
        Result<void> ended = this->context.loop.call([this]() {
            return this->context.programs.endProgram(this->program, this->request.caller.customer);
        });
        if (ended) {
            replyJson(this->answer, StatusOk, R"({"state":"ended"})");
        }
        return ended;
    }
    case Route::Call:
        return CallRunner(this->context, this->answer, this->program, this->request.caller.customer)
            .run(this->number, this->call);
    case Route::Chat:
        return this->request.program.empty() ? this->runOneCall() : this->runInProgram();
    case Route::Service:
        if (this->plainTimeoutMs > 0) {
            return CallRunner(this->context, this->answer, {}, this->request.caller.customer)
                .runPlain(this->call, this->plainTimeoutMs);
        }
        return this->runOneCall();
    }
    return fail(ErrorKind::NotFound, "no such route");
}

Result<void> ProgramService::create()
{
    const Result<ProgramId> id = this->context.loop.call([this]() {
        return this->context.programs.create(this->wish);
    });
    if (!id) {
        return tl::unexpected(id.error());
    }
    replyJson(this->answer, StatusCreated, R"({"id":)" + jsonQuoted(id->text) + "}");
    return {};
}

Result<void> ProgramService::runOneCall()
{
    ProgramWish one;
    one.customer = this->request.caller.customer;
    one.key = this->request.caller.key;
    one.requestKey = this->request.idempotencyKey;
    one.digest = this->call.digest;
    one.budget.calls = 1;
    const Result<ProgramId> id = this->context.loop.call([&]() {
        return this->context.programs.create(one);
    });
    if (!id) {
        return tl::unexpected(id.error());
    }
    Result<void> ran =
        CallRunner(this->context, this->answer, *id, this->request.caller.customer).run(CallNumber{1}, this->call);
    const bool again = !ran && ran.error().ran == Ran::No && !one.requestKey.empty();
    if (!again) {
        this->context.loop.call([&]() {
            return this->context.programs.endProgram(*id, this->request.caller.customer).ignoreResult();
        });
    }
    return ran;
}

Result<void> ProgramService::runInProgram()
{
    const Result<ProgramRecord> record = this->context.loop.call([this]() {
        return this->context.programs.get(this->program, this->request.caller.customer);
    });
    if (!record) {
        return tl::unexpected(record.error());
    }
    const auto next = static_cast<std::uint32_t>(record->calls.size() + 1);
    return CallRunner(this->context, this->answer, this->program, this->request.caller.customer)
        .run(CallNumber{next}, withoutHistory(this->call, historyOf(*record)));
}

Result<void> ProgramService::forward(const std::string &address)
{
    ForwardedAnswer forwarded(this->context, this->answer);
    return forwarded.run(address, this->request);
}

} // namespace Chestnuthook
