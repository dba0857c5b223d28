/** @file load_client_base.cpp  HTTP client of the load tool. */
#include "load/load_client_base.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include "core/settings_func.h"

namespace Chestnuthook
{

namespace
{

constexpr long ResponseTimeoutSeconds = 60;
constexpr std::string_view KeyPrefix = "KEY_";
constexpr int StatusOk = 200;

std::int64_t steadyMs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

Poco::JSON::Object::Ptr parseObject(const std::string &text)
{
    try {
        return Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
    } catch (const std::exception &) {
        return new Poco::JSON::Object;
    }
}

void readError(const Poco::JSON::Object::Ptr &object, LoadResponse &answer)
{
    if (const auto error = object->getObject("error")) {
        answer.code = error->optValue<std::string>("code", "");
        answer.ran = error->optValue<std::string>("ran", "");
        answer.retryAfterMs = error->optValue<std::int64_t>("retry_after_ms", 0);
    }
}

std::string textOfChoice(const Poco::JSON::Object::Ptr &object, const std::string &part)
{
    const auto choices = object->getArray("choices");
    if (choices.isNull() || choices->size() == 0) {
        return "";
    }
    const auto message = choices->getObject(0)->getObject(part);
    return message.isNull() ? "" : message->optValue<std::string>("content", "");
}

/** Joins the chunks of an event stream; it is complete if it has the event `[DONE]`. */
void readEvents(LoadResponse &answer)
{
    std::istringstream lines(answer.body);
    std::string line;
    answer.complete = false;
    while (std::getline(lines, line)) {
        if (line == "data: [DONE]") {
            answer.complete = true;
        } else if (line.starts_with("data: ")) {
            const auto object = parseObject(line.substr(6));
            answer.text += textOfChoice(object, "delta");
            readError(object, answer);
        }
    }
}

void readBody(const std::string &type, LoadResponse &answer)
{
    if (type.starts_with("text/event-stream")) {
        readEvents(answer);
        return;
    }
    const auto object = parseObject(answer.body);
    answer.text = textOfChoice(object, "message");
    readError(object, answer);
}

using Variables = std::vector<std::pair<std::string, std::string>>;

/** Reads the NAME=VALUE lines of a file in their order. */
Variables readVariables(const std::string &path)
{
    Variables variables;
    std::ifstream stream(path);
    std::string line;
    while (std::getline(stream, line)) {
        const std::size_t equals = line.find('=');
        if (equals != std::string::npos) {
            variables.emplace_back(line.substr(0, equals), line.substr(equals + 1));
        }
    }
    return variables;
}

std::string valueOf(const Variables &variables, std::string_view name)
{
    const auto found = std::find_if(variables.begin(), variables.end(), [&](const auto &variable) {
        return variable.first == name;
    });
    return found == variables.end() ? "" : found->second;
}

/** Waits until all entries accept all keys: a new key reaches the entries with a delay. */
void waitForKeys(const LoadTarget &target)
{
    constexpr int MaxPolls = 50;
    constexpr auto PollInterval = std::chrono::milliseconds(100);
    constexpr int StatusUnknownKey = 401;
    for (const std::string &entry : target.entries) {
        for (const auto &[customer, key] : target.customers) {
            for (int poll = 0;
                 poll < MaxPolls && sendRequest(entry, key, "GET", "/v1/programs/none", "").status == StatusUnknownKey;
                 ++poll) {
                std::this_thread::sleep_for(PollInterval);
            }
        }
    }
}

} // namespace

LoadTarget readTarget(const std::string &folder)
{
    const Variables variables = readVariables(folder + "/fleet.env");
    if (valueOf(variables, "ENTRIES").empty()) {
        throw std::runtime_error("no fleet.env with ENTRIES in " + folder + "; run scripts/fleet start " + folder);
    }
    LoadTarget target;
    target.entries = splitList(valueOf(variables, "ENTRIES"));
    target.engines = splitList(valueOf(variables, "ENGINES"));
    target.services = splitList(valueOf(variables, "SERVICES"));
    target.model = valueOf(variables, "MODEL");
    target.service = valueOf(variables, "SERVICE");
    for (const auto &[name, value] : variables) {
        if (name.starts_with(KeyPrefix)) {
            target.customers.emplace_back(name.substr(KeyPrefix.size()), value);
        }
    }
    for (std::size_t i = 0; i < target.engines.size(); ++i) {
        target.addresses["engine-" + std::to_string(i + 1)] = target.engines[i];
    }
    for (std::size_t i = 0; i < target.services.size(); ++i) {
        target.addresses["service-" + std::to_string(i + 1)] = target.services[i];
    }
    std::ifstream pids(folder + "/pids");
    std::string name;
    int pid = 0;
    while (pids >> name >> pid) {
        target.pids[name] = pid;
    }
    waitForKeys(target);
    return target;
}

LoadResponse sendRequest(const std::string &address, const std::string &key, const std::string &method,
    const std::string &path, const std::string &body)
{
    LoadResponse answer;
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
        session.setTimeout(Poco::Timespan(ResponseTimeoutSeconds, 0));
        session.setKeepAlive(false);
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        if (!key.empty()) {
            request.set("Authorization", "Bearer " + key);
        }
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        answer.body.assign(std::istreambuf_iterator<char>(stream), {});
        const bool cut = response.hasContentLength()
            && static_cast<std::streamsize>(answer.body.size()) < response.getContentLength();
        answer.complete = session.networkException() == nullptr && !cut;
        answer.status = static_cast<int>(response.getStatus());
        readBody(response.getContentType(), answer);
    } catch (const std::exception &) {
        answer.complete = false;
    }
    if (!answer.complete) {
        answer.status = 0;
    }
    return answer;
}

std::string LoadDirectory::choose(std::uint64_t number, unsigned attempt)
{
    const std::scoped_lock lock(this->mutex);
    if (steadyMs() >= this->validUntilMs) {
        this->refresh();
    }
    const std::vector<std::string> &known = this->entries.empty() ? this->seeds : this->entries;
    return known[(number + attempt) % known.size()];
}

void LoadDirectory::refresh()
{
    constexpr std::int64_t DefaultTtlMs = 500;
    this->validUntilMs = steadyMs() + DefaultTtlMs;
    for (const std::string &seed : this->seeds) {
        const LoadResponse answer = sendRequest(seed, "", "GET", "/v1/entries", "");
        if (answer.status != StatusOk) {
            continue;
        }
        const auto object = parseObject(answer.body);
        const auto list = object->getArray("entries");
        std::vector<std::string> found;
        for (unsigned i = 0; !list.isNull() && i < list->size(); ++i) {
            found.push_back(list->getObject(i)->getValue<std::string>("address"));
        }
        if (!found.empty()) {
            this->entries = std::move(found);
            this->validUntilMs = steadyMs() + object->optValue<std::int64_t>("ttl_ms", DefaultTtlMs);
            return;
        }
    }
}

} // namespace Chestnuthook
