/** @file program_service_base.cpp  Validates and routes requests for programs and services. */
#include "entry/program_service_base.h"

#include <algorithm>
#include <charconv>
#include <thread>
#include <utility>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

#include "core/hash_func.h"
#include "entry/call_responder_base.h"
#include "entry/http_reply_func.h"
#include "entry/request_forwarder_base.h"
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
constexpr std::int64_t MaxBudgetValue = 1'000'000'000'000;

/** How long a request is held and retried while its slot is moving, and the Retry-After if that does not suffice. */
constexpr Duration MaxHoldTime = std::chrono::milliseconds(4500);
constexpr auto HoldRetryInterval = std::chrono::milliseconds(50);
constexpr std::int64_t HoldRetryAfterMs = 1000;

Result<CallNumber> parseCallNumber(const std::string &text)
{
    std::uint32_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || number == 0) {
        return fail(ErrorKind::BadRequest, "the call number must be an integer of at least 1");
    }
    return CallNumber{number};
}

Result<std::uint64_t> parseBudgetField(const Poco::JSON::Object::Ptr &budget, const std::string &name)
{
    const Poco::Dynamic::Var value = budget->get(name);
    if (value.isEmpty()) {
        return 0;
    }
    const bool whole = value.isInteger() && !value.isBoolean();
    if (!whole || value.convert<std::int64_t>() < 1 || value.convert<std::int64_t>() > MaxBudgetValue) {
        return fail(ErrorKind::BadRequest, "field budget." + name + " must be an integer of at least 1");
    }
    return value.convert<std::uint64_t>();
}

Result<ProgramParameters> parseParameters(const std::string &body)
{
    constexpr std::uint64_t MsPerSecond = 1000;
    ProgramParameters parameters;
    if (body.empty()) {
        return parameters;
    }
    try {
        const auto object = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
        const Poco::Dynamic::Var parent = object->get("parent");
        if (!parent.isEmpty() && !parent.isString()) {
            return fail(ErrorKind::BadRequest, "field parent must be the id of a program");
        }
        parameters.parent = ProgramId{parent.isEmpty() ? "" : parent.extract<std::string>()};
        if (!object->has("budget")) {
            return parameters;
        }
        const auto budget = object->getObject("budget");
        const auto calls = parseBudgetField(budget, "calls");
        const auto tokens = parseBudgetField(budget, "tokens");
        const auto seconds = parseBudgetField(budget, "seconds");
        if (!calls || !tokens || !seconds) {
            return tl::unexpected(!calls ? calls.error() : !tokens ? tokens.error() : seconds.error());
        }
        parameters.budget = Budget{*calls, *tokens, *seconds * MsPerSecond, 0};
        return parameters;
    } catch (const std::exception &) {
        return fail(
            ErrorKind::BadRequest, R"(the body must be {"budget":{"calls":…,"tokens":…,"seconds":…},"parent":…})");
    }
}

/** Whether a request that failed with @p error may succeed when it is sent to the owner of the slot again. That is
 * safe, as the owner recognises a call that was started by its number and content. Cancelled is included, as the
 * request may have joined a call just when its last reader left. */
bool mayRetryAtOwner(const Error &error)
{
    return error.kind == ErrorKind::NotReady || error.kind == ErrorKind::StaleEpoch || error.kind == ErrorKind::NoQuorum
        || error.kind == ErrorKind::NotLeader || error.kind == ErrorKind::Cancelled;
}

/** Combines whether each of two attempts at a request ran. */
Ran combineRan(Ran earlier, Ran later)
{
    const bool yes = earlier == Ran::Yes || later == Ran::Yes;
    return yes ? Ran::Yes : earlier == Ran::Unknown ? earlier : later;
}

} // namespace

void writeRequest(Wire::ForwardedRequest::Builder builder, const ClientRequest &request)
{
    builder.setMethod(request.method);
    builder.setPath(request.uri);
    builder.setTenant(request.client.customer.text);
    builder.setKeyId(request.client.key.text);
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

ClientRequest readRequest(Wire::ForwardedRequest::Reader reader)
{
    observeHybridTime(reader.getTime());
    ClientRequest request;
    request.method = textOf(reader.getMethod());
    request.uri = textOf(reader.getPath());
    Poco::URI(request.uri).getPathSegments(request.path);
    request.client = ClientIdentity{CustomerId{textOf(reader.getTenant())}, KeyId{textOf(reader.getKeyId())}};
    request.idempotencyKey = textOf(reader.getIdempotencyKey());
    request.body = bytesOf(reader.getBody());
    request.forwarded = reader.getHops() > 0;
    for (const auto header : reader.getHeaders()) {
        (textOf(header.getName()) == "Content-Type" ? request.contentType : request.program) =
            textOf(header.getValue());
    }
    return request;
}

ProgramService::ProgramService(EntryContext &context, ResponseWriter &writer, const ClientRequest &request)
    : context(context)
    , writer(writer)
    , request(request)
{
}

Result<void> ProgramService::check()
{
    const std::vector<std::string> &path = this->request.path;
    const std::string &method = this->request.method;
    if (this->request.idempotencyKey.size() > MaxKeyBytes) {
        return fail(ErrorKind::BadRequest, "header Idempotency-Key must not exceed 256 bytes");
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
        const Result<CallNumber> parsed = parseCallNumber(path[4]);
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
    Result<ProgramParameters> parsed = parseParameters(this->request.body);
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    this->parameters = std::move(*parsed);
    this->parameters.customer = this->request.client.customer;
    this->parameters.key = this->request.client.key;
    this->parameters.idempotencyKey = this->request.idempotencyKey;
    this->parameters.digest = sha256Hex(this->request.body);
    if (!this->parameters.parent.empty()) {
        this->program = this->parameters.parent;
    } else if (!this->parameters.idempotencyKey.empty()) {
        this->program = programIdForKey(this->parameters.customer, this->parameters.idempotencyKey);
    }
    return {};
}

Result<void> ProgramService::checkCall(Result<CallRequest> parsed)
{
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    this->call = std::move(*parsed);
    const bool standalone = this->route == Route::Service || (this->route == Route::Chat && this->program.empty());
    if (standalone && !this->request.idempotencyKey.empty()) {
        this->program = programIdForKey(this->request.client.customer, this->request.idempotencyKey);
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
        this->statelessTimeoutMs = declared->second.timeoutMs;
    }
    return checked;
}

std::string ProgramService::ownerAddress() const
{
    const auto view = this->context.follower.views.get();
    EntryId owner;
    if (!this->program.empty()) {
        owner = view->slots.at(slotOf(this->program.text).value).owner;
    } else if (this->context.draining && this->statelessTimeoutMs == 0) {
        // While draining, create new programs at a live entry.
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

bool ProgramService::isLocal() const
{
    return this->ownerAddress().empty();
}

void ProgramService::serve()
{
    const Instant begin = this->context.loop.timers().now();
    const Instant deadline = begin + MaxHoldTime;
    // A former owner may not know yet that the program has moved and has changed elsewhere.
    const auto mayBeStale = [&](const Error &error) {
        const bool dependsOnOwner = error.kind == ErrorKind::NotFound || error.kind == ErrorKind::Conflict;
        return dependsOnOwner && error.ran == Ran::No && !this->context.follower.views.wasReadAfter(begin);
    };
    Ran ran = Ran::No;
    Result<void> served = this->serveOnce();
    while (!served && (mayRetryAtOwner(served.error()) || mayBeStale(served.error())) && !this->writer.isStarted()
        && !this->writer.isAbandoned() && this->context.loop.timers().now() < deadline) {
        ran = combineRan(ran, served.error().ran);
        std::this_thread::sleep_for(HoldRetryInterval);
        served = this->serveOnce();
    }
    if (served || this->writer.isStarted() || this->writer.isAbandoned()) {
        return;
    }
    Error error = served.error();
    error.ran = combineRan(ran, error.ran);
    if (error.kind == ErrorKind::StaleEpoch) {
        error.kind = ErrorKind::NotReady; // Clients don't know epochs; for them the slot is still moving.
    }
    if (mayRetryAtOwner(error) && error.retryAfterMs == 0) {
        error.retryAfterMs = HoldRetryAfterMs;
    }
    logEvent(EventKind::CallRefused, {{"program", this->program.text}, {"error", error.what}});
    replyError(this->writer, error);
}

Result<void> ProgramService::serveOnce()
{
    const std::string address = this->ownerAddress();
    if (!address.empty()) {
        return this->request.forwarded ? fail(ErrorKind::NotReady, "the program has moved") : this->forward(address);
    }
    return this->serveLocally();
}

Result<void> ProgramService::serveLocally()
{
    switch (this->route) {
    case Route::Create:
        return this->create();
    case Route::Show: {
        const Result<ProgramRecord> record = this->context.loop.call([this]() {
            return this->context.programs.get(this->program, this->request.client.customer);
        });
        if (!record) {
            return tl::unexpected(record.error());
        }
        replyJson(this->writer, StatusOk, programJson(*record));
        return {};
    }
    case Route::End: {
        Result<void> ended = this->context.loop.call([this]() {
            return this->context.programs.endProgram(this->program, this->request.client.customer);
        });
        if (ended) {
            replyJson(this->writer, StatusOk, R"({"state":"ended"})");
        }
        return ended;
    }
    case Route::Call:
        return CallResponder(this->context, this->writer, this->program, this->request.client.customer)
            .run(this->number, this->call);
    case Route::Chat:
        return this->request.program.empty() ? this->runSingleCallProgram() : this->runInProgram();
    case Route::Service:
        if (this->statelessTimeoutMs > 0) {
            return CallResponder(this->context, this->writer, {}, this->request.client.customer)
                .runStateless(this->call, this->statelessTimeoutMs);
        }
        return this->runSingleCallProgram();
    }
    return fail(ErrorKind::NotFound, "no such route");
}

Result<void> ProgramService::create()
{
    const Result<ProgramId> id = this->context.loop.call([this]() {
        return this->context.programs.create(this->parameters);
    });
    if (!id) {
        return tl::unexpected(id.error());
    }
    replyJson(this->writer, StatusCreated, R"({"id":)" + jsonQuoted(id->text) + "}");
    return {};
}

Result<void> ProgramService::runSingleCallProgram()
{
    ProgramParameters singleCallProgram;
    singleCallProgram.customer = this->request.client.customer;
    singleCallProgram.key = this->request.client.key;
    singleCallProgram.idempotencyKey = this->request.idempotencyKey;
    singleCallProgram.digest = this->call.digest;
    singleCallProgram.budget.calls = 1;
    const Result<ProgramId> id = this->context.loop.call([&]() {
        return this->context.programs.create(singleCallProgram);
    });
    if (!id) {
        return tl::unexpected(id.error());
    }
    Result<void> ran =
        CallResponder(this->context, this->writer, *id, this->request.client.customer).run(CallNumber{1}, this->call);
    const bool again = !ran && ran.error().ran == Ran::No && !singleCallProgram.idempotencyKey.empty();
    if (!again) {
        this->context.loop.call([&]() {
            return this->context.programs.endProgram(*id, this->request.client.customer).ignoreResult();
        });
    }
    return ran;
}

Result<void> ProgramService::runInProgram()
{
    const Result<ProgramRecord> record = this->context.loop.call([this]() {
        return this->context.programs.get(this->program, this->request.client.customer);
    });
    if (!record) {
        return tl::unexpected(record.error());
    }
    const auto next = static_cast<std::uint32_t>(record->calls.size() + 1);
    return CallResponder(this->context, this->writer, this->program, this->request.client.customer)
        .run(CallNumber{next}, withoutHistory(this->call, historyOf(*record)));
}

Result<void> ProgramService::forward(const std::string &address)
{
    RequestForwarder forwarded(this->context, this->writer);
    return forwarded.run(address, this->request);
}

} // namespace Chestnuthook
