/** @file request_handler_base.cpp  Routes of the HTTP API. */
#include "entry/request_handler_base.h"

#include <algorithm>
#include <charconv>
#include <istream>

#include <Poco/URI.h>

#include "core/hash_func.h"
#include "entry/http_reply_func.h"
#include "entry/program_service_base.h"
#include "fleet/declaration_func.h"
#include "fleet/fleet_base.h"
#include "observe/log_func.h"
#include "observe/metrics_base.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

constexpr std::size_t MaxBodyBytes = 1024UL * 1024;
constexpr std::streamsize MaxDrainedBodyBytes = 8L * 1024 * 1024;
constexpr std::size_t MaxEvents = 1000;
constexpr int DirectoryTtlMs = 2000;
constexpr std::int64_t ShutdownRetryAfterMs = 1000;
constexpr std::string_view BearerPrefix = "Bearer ";

Result<std::string> readBody(Poco::Net::HTTPServerRequest &request)
{
    std::string body(MaxBodyBytes + 1, '\0');
    request.stream().read(body.data(), static_cast<std::streamsize>(body.size()));
    body.resize(static_cast<std::size_t>(request.stream().gcount()));
    if (body.size() > MaxBodyBytes) {
        // Drain the rest: closing while the client still sends would reset the connection before it reads the response.
        request.stream().ignore(MaxDrainedBodyBytes);
        return fail(ErrorKind::BodyTooLarge, "at most " + std::to_string(MaxBodyBytes) + " bytes");
    }
    const bool known = request.hasContentLength();
    if (request.stream().bad() || (known && static_cast<std::streamsize>(body.size()) < request.getContentLength64())) {
        return fail(ErrorKind::BadRequest, "the body ended early");
    }
    return body;
}

/** Counts a request as open for as long as it is handled; a graceful shutdown waits for open requests. */
class OpenRequestCounter
{
public:
    explicit OpenRequestCounter(std::atomic<int> &count)
        : count(count)
    {
        ++this->count;
    }
    ~OpenRequestCounter()
    {
        --this->count;
    }
    OpenRequestCounter(const OpenRequestCounter &) = delete;
    OpenRequestCounter &operator=(const OpenRequestCounter &) = delete;

private:
    std::atomic<int> &count; ///< Outlives this.
};

/** Parses the query parameters `since` (default 0) and `limit` (at most MaxEvents, which is also the default). */
std::pair<std::uint64_t, std::size_t> parseEventPage(const std::string &uri)
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

} // namespace

RequestHandler::RequestHandler(EntryContext &context)
    : context(context)
{
}

void RequestHandler::handleRequest(Request &request, Response &response)
{
    metrics().add(MetricKind::RequestsTotal);
    const OpenRequestCounter openRequest(this->context.openRequests);
    HttpResponseWriter writer(request, response, this->context.draining);
    Error error{ErrorKind::Internal, "", Ran::Unknown, 0};
    try {
        this->route(request, writer);
        return;
    } catch (const std::exception &exception) {
        error.what = exception.what();
    } catch (const kj::Exception &exception) {
        error.what = exception.getDescription().cStr();
    }
    logEvent(EventKind::RequestRejected, {{"error", error.what}});
    if (!response.sent()) {
        replyError(writer, error);
    }
}

void RequestHandler::route(Request &request, HttpResponseWriter &writer)
{
    const Poco::URI uri(request.getURI());
    std::vector<std::string> path;
    uri.getPathSegments(path);
    if (path == std::vector<std::string>{"healthz"}) {
        replyText(writer, 200, "text/plain", "ok\n");
    } else if (path == std::vector<std::string>{"readyz"}) {
        this->readyz(writer);
    } else if (path == std::vector<std::string>{"metrics"}) {
        replyText(writer, 200, "text/plain; version=0.0.4", metrics().renderText());
    } else if (path == std::vector<std::string>{"v1", "events"}) {
        const auto [since, limit] = parseEventPage(request.getURI());
        replyJson(writer, 200, processEvents().toJson(since, limit));
    } else if (path == std::vector<std::string>{"v1", "entries"}) {
        this->listEntries(request, writer);
    } else if (path.size() >= 2 && path[0] == "v1"
        && (path[1] == "programs" || path[1] == "chat" || path[1] == "services")) {
        this->serveClient(request, writer, path);
    } else {
        replyError(writer, Error{ErrorKind::NotFound, "no route " + uri.getPath(), Ran::No, 0});
    }
}

void RequestHandler::readyz(HttpResponseWriter &writer)
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
    replyJson(writer, ready ? 200 : 503,
        R"({"ready":)" + std::string(ready ? "true" : "false") + R"(,"children":[)" + children + "]}");
}

void RequestHandler::listEntries(Request &request, HttpResponseWriter &writer)
{
    const auto view = this->context.follower.views.get();
    std::vector<EntryRecord> live;
    EntryId owner;
    if (view != nullptr) {
        std::copy_if(
            view->entries.begin(), view->entries.end(), std::back_inserter(live), [](const EntryRecord &entry) {
                return entry.state == EntryState::Live;
            });
        for (const auto &[name, value] : Poco::URI(request.getURI()).getQueryParameters()) {
            owner = name == "program" ? view->slots.at(slotOf(value).value).owner : owner;
        }
    }
    const auto rank = [&](const EntryRecord &entry) {
        return entry.id == owner ? 0 : entry.dataCentre == this->context.dataCentre ? 1 : 2;
    };
    std::stable_sort(live.begin(), live.end(), [&](const EntryRecord &left, const EntryRecord &right) {
        return rank(left) < rank(right);
    });
    std::string list;
    for (const EntryRecord &entry : live) {
        list += (list.empty() ? "" : ",") + (R"({"address":)" + jsonQuoted(entry.address)) + R"(,"data_centre":)"
            + jsonQuoted(entry.dataCentre.text) + "}";
    }
    replyJson(writer, 200, R"({"entries":[)" + list + R"(],"ttl_ms":)" + std::to_string(DirectoryTtlMs) + "}");
}

bool RequestHandler::isPublicRoute(const Request &request, const std::vector<std::string> &path) const
{
    const auto view = this->context.follower.views.get();
    if (view == nullptr || path.size() < 3 || path[1] != "services") {
        return false;
    }
    const auto service = view->services.find(ServiceId{path[2]});
    const std::string prefix = "/v1/services/" + path[2];
    const std::string uri = request.getURI().substr(0, request.getURI().find('?'));
    return service != view->services.end() && uri.starts_with(prefix)
        && isOpenToAll(service->second, view->routes, request.getMethod(), uri.substr(prefix.size()));
}

Result<ClientIdentity> RequestHandler::authenticate(const Request &request, HttpResponseWriter &writer)
{
    const auto view = this->context.follower.views.get();
    if (view == nullptr || !this->context.follower.isFresh()) {
        return fail(ErrorKind::NotReady, "the fleet state is not confirmed");
    }
    const std::string header = request.get("Authorization", "");
    if (!header.starts_with(BearerPrefix)) {
        return fail(ErrorKind::UnknownKey, "the request has no API key; send Authorization: Bearer KEY");
    }
    const std::string hash = sha256Raw(header.substr(BearerPrefix.size()));
    const auto client = view->clients.find(hash);
    if (client == view->clients.end()) {
        return fail(ErrorKind::UnknownKey, "");
    }
    writer.isKeyValid = [&views = this->context.follower.views, hash]() {
        return views.get()->clients.contains(hash);
    };
    return client->second;
}

void RequestHandler::serveClient(Request &request, HttpResponseWriter &writer, const std::vector<std::string> &path)
{
    const Result<ClientIdentity> client = this->authenticate(request, writer);
    const bool isPublic = !client && client.error().kind == ErrorKind::UnknownKey && this->isPublicRoute(request, path);
    if (!client && !isPublic) {
        replyError(writer, client.error());
        return;
    }
    Result<std::string> body = readBody(request);
    if (!body) {
        replyError(writer, body.error());
        return;
    }
    if (this->context.refusing) {
        replyError(writer, Error{ErrorKind::NotReady, "the entry is shutting down", Ran::No, ShutdownRetryAfterMs});
        return;
    }
    ClientRequest clientRequest;
    clientRequest.method = request.getMethod();
    clientRequest.uri = request.getURI();
    clientRequest.path = path;
    clientRequest.contentType =
        request.getContentType() == Poco::Net::HTTPMessage::UNKNOWN_CONTENT_TYPE ? "" : request.getContentType();
    clientRequest.idempotencyKey = request.get("Idempotency-Key", "");
    clientRequest.program = request.get("X-Program-Id", "");
    clientRequest.body = std::move(*body);
    clientRequest.client = isPublic ? ClientIdentity{} : *client;
    ProgramService service(this->context, writer, clientRequest);
    Result<void> admitted = service.check();
    const bool rateLimited = clientRequest.method != "GET" || path[1] == "services";
    if (admitted && !isPublic && rateLimited && clientRequest.method != "DELETE") {
        admitted = this->context.admission.admit(clientRequest.client);
    }
    if (!admitted) {
        replyError(writer, admitted.error());
        return;
    }
    service.serve();
}

} // namespace Chestnuthook
