/** @file control_links_base.cpp  Makes, keeps and replaces connections to control members. */
#include "deployment/control_links_base.h"

namespace Chestnuthook
{

namespace
{

/** A member to which a whole fleet connects at once takes its time. */
constexpr auto ConnectTimeout = 3 * kj::SECONDS;

} // namespace

ControlLinks::Link &ControlLinks::linkTo(const std::string &address)
{
    Link &link = this->links[address];
    if (link.rpc == nullptr) {
        link.rpc = std::make_unique<RpcLink>(this->loop.rpc(), address, ConnectTimeout);
    }
    return link;
}

kj::Promise<OfferedServices> ControlLinks::services(const std::string &address)
{
    return this->linkTo(address).rpc->services().then([this, address](OfferedServices &&services) {
        Link &link = this->linkTo(address);
        if (link.silentSince.us == 0) {
            link.silentSince = this->loop.timers().now();
        }
        return kj::mv(services);
    });
}

void ControlLinks::recordAnswer(const std::string &address)
{
    this->linkTo(address).silentSince = Instant(0);
}

bool ControlLinks::recordFailure(const std::string &address, const kj::Exception &exception, Duration silence)
{
    Link &link = this->linkTo(address);
    if (!link.rpc->isConnected()) {
        return false;
    }
    const bool isLate = exception.getType() == kj::Exception::Type::OVERLOADED; // How kj reports a timeout.
    if (isLate && (link.silentSince.us == 0 || this->loop.timers().now() - link.silentSince < silence)) {
        return false;
    }
    link.rpc->reset();
    link.silentSince = Instant(0);
    return true;
}

void ControlLinks::connectAhead(const std::vector<std::string> &addresses)
{
    for (const std::string &address : addresses) {
        RpcLink &rpc = *this->linkTo(address).rpc;
        if (rpc.isConnected() || rpc.isConnecting()) {
            continue;
        }
        this->loop.detach(rpc.services().ignoreResult().catch_([](kj::Exception && /*exception*/) {
            // The member may be down; it is tried again later.
        }));
        return;
    }
}

} // namespace Chestnuthook
