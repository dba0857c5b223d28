/** @file fake_service_base.cpp  Fake service that tools call. */
#include "fakes/fake_service_base.h"

#include <string>

#include <Poco/NumberParser.h>

namespace Chestnuthook
{

FakeService::FakeService(FakeServerContext &serverContext)
    : common(serverContext)
{
}

FakeOutcome FakeService::serve(FakeExchange &exchange)
{
    std::int64_t delayMs = faultDelayMs(exchange, FakeFaultKind::Slow);
    if (const auto delay = exchange.query.find("delay_ms"); delay != exchange.query.end()) {
        delayMs += Poco::NumberParser::parseUnsigned(delay->second);
    }
    const std::uint64_t number = this->sequence.fetch_add(1) + 1;
    exchange.note = "sequence=" + std::to_string(number);
    if (!waitUnlessDisconnected(exchange, delayMs * 1000)) {
        return FakeOutcome::Cancelled;
    }
    const bool crossed = hasFault(exchange, FakeFaultKind::Crossed);
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
    json->set("service", this->common.name);
    json->set("method", exchange.request.getMethod());
    json->set("path", exchange.path);
    json->set("sequence", number);
    json->set("digest", fakeDigest(crossed ? exchange.body + "crossed" : exchange.body));
    return sendJson(exchange, Poco::Net::HTTPResponse::HTTP_OK, json);
}

} // namespace Chestnuthook
