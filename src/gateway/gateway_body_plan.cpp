/** @file gateway_body_plan.cpp  Decides from the head of a request whether a gateway needs its body. */
#include <algorithm>

#include "gateway/gateway_base.h"

namespace Chestnuthook
{

BodyPlan Gateway::planBody(const RequestHead &head) const
{
    BodyPlan plan;
    if (this->configuration == nullptr) {
        return plan;
    }
    const Result<RequestMetadata> metadata = this->headerCodec.readRequestMetadata(head);
    const std::string *host = head.fields.find("Host");
    const RouteConfig *route = host == nullptr ? nullptr : this->configuration->findRoute(*host, head.path());
    if (!metadata || route == nullptr || !this->accepting) {
        plan.isNeeded = false;
        return plan;
    }
    plan.isNeeded = this->configuration->customers.empty() || route->isPublic
        || this->configuration->findCustomer(metadata->key) != nullptr;
    plan.maxWait = std::min(metadata->timeLeft.value_or(route->timeout), route->timeout);
    return plan;
}

} // namespace Chestnuthook
