/** @file history_client_internal.h  Calls to history members, for the parts that make them. */
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "history/history_client_base.h"

namespace Chestnuthook
{

/** Timeout of one call to one member, whose storage may be slow. */
inline constexpr auto HistoryCallTimeout = 5 * kj::SECONDS;

template<typename Send>
auto HistoryClient::callMember(const std::string &address, Send send, std::function<void()> onSilence)
{
    MemberLink &member = this->linkTo(address);
    return member.link.connection().then([this, &member, send = std::move(send), onSilence = std::move(onSilence)](
                                             RpcLink::ConnectionPtr &&connection) mutable {
        auto store = RpcLink::servicesOf(connection).peer.castAs<Wire::HistoryStore>();
        auto response = send(kj::mv(store));
        using Response = decltype(response.wait(kj::instance<kj::WaitScope &>()));
        auto answered = response.then(
            [this, &member, connection](Response &&received) -> kj::Promise<Response> {
                if (member.link.isCurrent(connection)) {
                    member.lastHeard = this->loop.timers().now();
                }
                return kj::mv(received);
            },
            [&member, connection](kj::Exception &&exception) -> kj::Promise<Response> {
                if (exception.getType() == kj::Exception::Type::DISCONNECTED) {
                    member.link.drop(connection);
                }
                return kj::mv(exception);
            });
        auto silence = this->watchSilence(member, connection, this->loop.timers().now(), std::move(onSilence));
        return this->loop.kjTimer()
            .timeoutAfter(HistoryCallTimeout, kj::mv(answered))
            .attach(silence.eagerlyEvaluate(nullptr), kj::mv(connection));
    });
}

} // namespace Chestnuthook
