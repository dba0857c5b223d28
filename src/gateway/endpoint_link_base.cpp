/** @file endpoint_link_base.cpp  Kept and new connections. */
#include "gateway/endpoint_link_base.h"

#include <algorithm>
#include <utility>

#include <Poco/NumberParser.h>

namespace Chestnuthook
{

bool EndpointConnection::send(kj::WaitScope &scope, kj::Timer &timer, std::string_view bytes, kj::TimePoint deadline)
{
    this->input.setDeadline(timer, deadline);
    // A socket that was reset throws at once; inside a promise that is a failure like any other.
    auto written = kj::evalNow([&]() {
        return this->stream->write(bytes.data(), bytes.size());
    });
    auto outcome = written.then(
        []() {
            return true;
        },
        [](kj::Exception && /*exception*/) {
            return false;
        });
    auto late = timer.atTime(deadline).then([]() {
        return false;
    });
    return outcome.exclusiveJoin(kj::mv(late)).wait(scope);
}

EndpointLinks::EndpointLinks(ControlLoop &loop)
    : loop(loop)
{
}

void EndpointLinks::dropSpoilt(std::vector<std::unique_ptr<EndpointConnection>> &list)
{
    const Instant now = this->loop.timers().now();
    std::erase_if(list, [now](const auto &connection) {
        return connection->spoilt || now - connection->idleSince > connection->idleLimit;
    });
}

std::unique_ptr<EndpointConnection> EndpointLinks::takeKept(const std::string &address)
{
    const auto list = this->idle.find(address);
    if (list == this->idle.end()) {
        return nullptr;
    }
    this->dropSpoilt(list->second);
    if (list->second.empty()) {
        return nullptr;
    }
    auto connection = std::move(list->second.back());
    list->second.pop_back();
    connection->watching = nullptr;
    connection->idleLimit = Duration(0); // Until the next answer says otherwise.
    return connection;
}

std::unique_ptr<EndpointConnection> EndpointLinks::connect(
    kj::WaitScope &scope, const std::string &address, Duration limit)
{
    auto connecting = this->loop.rpc().network.parseAddress(address).then([](kj::Own<kj::NetworkAddress> &&parsed) {
        auto connected = parsed->connect();
        return connected.attach(kj::mv(parsed));
    });
    return this->loop.kjTimer()
        .timeoutAfter(kjDuration(std::max(limit, Duration(0))), kj::mv(connecting))
        .then(
            [](kj::Own<kj::AsyncIoStream> &&stream) {
                return std::make_unique<EndpointConnection>(kj::mv(stream));
            },
            [](kj::Exception && /*exception*/) {
                return std::unique_ptr<EndpointConnection>();
            })
        .wait(scope);
}

void EndpointLinks::keep(const std::string &address, std::unique_ptr<EndpointConnection> connection, Duration idleLimit)
{
    auto &list = this->idle[address];
    this->dropSpoilt(list);
    if (!connection->input.unreadBytes().empty() || list.size() >= MostKept) {
        return;
    }
    connection->idleSince = this->loop.timers().now();
    connection->idleLimit = idleLimit;
    connection->input.clearDeadline();
    EndpointConnection &kept = *connection;
    // Any byte that comes now belongs to no request.
    kept.watching = kept.input.readMore()
                        .then([&kept](bool /*open*/) {
                            kept.spoilt = true;
                        })
                        .eagerlyEvaluate(nullptr);
    list.push_back(std::move(connection));
}

Duration EndpointLinks::idleLimitOf(const HttpFields &fields)
{
    constexpr std::string_view Parameter = "timeout=";
    const std::string *field = fields.find("Keep-Alive");
    const std::size_t at = field == nullptr ? std::string::npos : field->find(Parameter);
    if (at == std::string::npos) {
        return StandardIdleLimit;
    }
    const std::size_t from = at + Parameter.size();
    unsigned seconds = 0;
    if (!Poco::NumberParser::tryParseUnsigned(field->substr(from, field->find(',', from) - from), seconds)) {
        return StandardIdleLimit;
    }
    return Duration(std::chrono::seconds(seconds)) * 3 / 4;
}

} // namespace Chestnuthook
