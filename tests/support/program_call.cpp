/** @file program_call.cpp  Request bodies, fault injection and ledgers. */
#include "support/program_call.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketAddress.h>

#include "observe/event_ring_base.h"

namespace Chestnuthook::Testing
{

namespace
{

Poco::JSON::Object::Ptr parseObject(const std::string &body)
{
    try {
        return Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
    } catch (const std::exception &) {
        return new Poco::JSON::Object;
    }
}

} // namespace

std::vector<LedgerRow> ledgerOf(const std::string &address)
{
    const auto list = parseObject(http(address, "GET", "/fake/ledger").body)->getArray("requests");
    std::vector<LedgerRow> rows;
    for (unsigned i = 0; !list.isNull() && i < list->size(); ++i) {
        const auto row = list->getObject(i);
        const auto path = row->getValue<std::string>("path");
        if (path.starts_with("/v1/cache") || path == "/v1/load") {
            continue; // Not a client request.
        }
        rows.push_back(LedgerRow{row->getValue<std::string>("attempt"), row->getValue<std::string>("program"), path,
            row->getValue<std::string>("query"), row->getValue<std::string>("outcome"),
            row->getValue<std::string>("note")});
    }
    return rows;
}

int countRequestsWithQuery(const std::vector<std::string> &addresses, const std::string &query)
{
    int count = 0;
    for (const std::string &address : addresses) {
        const std::vector<LedgerRow> rows = ledgerOf(address);
        count += static_cast<int>(std::count_if(rows.begin(), rows.end(), [&](const LedgerRow &row) {
            return row.query == query || row.query.starts_with(query + "&");
        }));
    }
    return count;
}

void injectFault(const std::string &address, const std::string &json)
{
    if (http(address, "POST", "/fake/fault", json).status != 200) {
        throw std::runtime_error("the fake rejected the fault: " + json);
    }
}

std::string modelCall(const std::string &model, const std::string &text, int maxTokens, bool stream)
{
    return R"({"kind":"model","model":")" + model + R"(","messages":[{"role":"user","content":)" + jsonQuoted(text)
        + R"(}],"max_tokens":)" + std::to_string(maxTokens) + R"(,"stream":)" + (stream ? "true" : "false") + "}";
}

std::string orderCall(const std::string &service, const std::string &query, bool idempotent)
{
    return R"({"kind":"tool","service":")" + service + R"(","method":"POST","path":"/orders?)" + query
        + R"(","body":{"cards":500},"idempotent":)" + (idempotent ? "true" : "false") + "}";
}

StreamedText streamedText(const std::string &body)
{
    StreamedText streamed;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with("data: ")) {
            continue;
        }
        streamed.done = line == "data: [DONE]";
        const auto choices = parseObject(line.substr(6))->getArray("choices");
        if (!choices.isNull() && choices->size() > 0) {
            streamed.text += choices->getObject(0)->getObject("delta")->optValue<std::string>("content", "");
        }
    }
    return streamed;
}

std::string completionText(const std::string &body)
{
    const auto choices = parseObject(body)->getArray("choices");
    return choices.isNull() || choices->size() == 0
        ? ""
        : choices->getObject(0)->getObject("message")->getValue<std::string>("content");
}

std::string errorField(const std::string &body, const std::string &field)
{
    const auto error = parseObject(body)->getObject("error");
    return error.isNull() ? "" : error->optValue<std::string>(field, "");
}

void abandonRequest(const ProcessFleet &fleet, std::size_t entry, const std::string &path, const std::string &body)
{
    const auto seen = [&]() {
        std::size_t count = 0;
        for (const auto *addresses : {&fleet.engineAddresses, &fleet.serviceAddresses}) {
            for (const std::string &address : *addresses) {
                count += ledgerOf(address).size();
            }
        }
        return count;
    };
    const std::size_t before = seen();
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(fleet.entryAddresses.at(entry))};
    Poco::Net::HTTPRequest request("POST", path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.set("Authorization", "Bearer " + fleet.key);
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body << std::flush;
    if (!waitUntil([&]() {
            return seen() > before;
        })) {
        throw std::runtime_error("the request reached no endpoint");
    }
    session.abort();
}

void raiseRateLimits(const ProcessFleet &fleet)
{
    const std::string overlay = fleet.folder + "/rates.yaml";
    std::ofstream file(overlay);
    std::istringstream lines(readFile(fleet.sitePath()));
    for (std::string line; std::getline(lines, line);) {
        const std::size_t at = line.find("{ rate:");
        file << (at == std::string::npos ? line : line.substr(0, at) + "{ rate: 5000, burst: 5000 }") << '\n';
    }
    file.close();
    if (fleet.ctl({"apply", fleet.basePath(), overlay}).exitCode != 0) {
        throw std::runtime_error("applying the rates failed");
    }
}

} // namespace Chestnuthook::Testing
