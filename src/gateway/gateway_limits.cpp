/** @file gateway_limits.cpp  Limits of the requests to endpoints: those that endpoints name, and those of cold ones. */
#include <algorithm>

#include "core/boot_clock_func.h"
#include "gateway/gateway_base.h"
#include "observe/log_func.h"
#include "observe/metrics_base.h"

namespace Chestnuthook
{

EndpointRates Gateway::endpointRates(const std::string &endpoint) const
{
    EndpointRates rates{this->endpointLimits.limitOf(endpoint), 0};
    const DeployedEndpoint *cold = this->loadBalancer.findCold(this->now(), endpoint);
    if (cold != nullptr) {
        rates.coldPerSecond = cold->coldPerSecond;
        // The response of an endpoint may say that it is cold before the list does.
        if (rates.coldPerSecond <= 0 && this->configuration != nullptr) {
            const auto service = this->configuration->services.find(cold->service);
            rates.coldPerSecond = service == this->configuration->services.end() ? 0 : service->second.coldPerSecond;
        }
    }
    return rates;
}

bool Gateway::isLimited(const std::string &endpoint) const
{
    const EndpointRates rates = this->endpointRates(endpoint);
    return rates.namedPerSecond > 0 || rates.coldPerSecond > 0;
}

void Gateway::retainEndpointAccounts()
{
    this->endpointLimiter.retain([this](const std::string &id) {
        return this->isLimited(id);
    });
    metrics().set(MetricKind::EndpointsLimited, static_cast<std::int64_t>(this->endpointLimits.limitedCount()));
    metrics().set(MetricKind::EndpointsCold, static_cast<std::int64_t>(this->loadBalancer.coldCount(this->now())));
}

void Gateway::applyLimit(const std::string &endpoint, std::string_view cause)
{
    this->retainEndpointAccounts();
    logEvent(EventKind::EndpointLimitChanged,
        {{"endpoint", endpoint}, {"limit", std::to_string(this->endpointLimits.limitOf(endpoint))},
            {"cause", std::string(cause)}});
}

void Gateway::recordLimit(const std::string &endpoint, double perSecond)
{
    if (this->endpointLimits.recordResponse(this->now(), endpoint, perSecond)) {
        this->applyLimit(endpoint, "response");
    }
}

void Gateway::recordCold(const std::string &endpoint, std::optional<Milliseconds> left)
{
    if (left && this->loadBalancer.recordCold(this->now(), endpoint, *left)) {
        this->retainEndpointAccounts();
        logEvent(EventKind::EndpointColdChanged,
            {{"endpoint", endpoint}, {"left_ms", std::to_string(left->count())},
                {"per_second", std::to_string(this->endpointRates(endpoint).coldPerSecond)}, {"cause", "response"}});
    }
}

bool Gateway::takeEndpointCredit(kj::WaitScope &scope, const DeployedEndpoint &endpoint)
{
    const EndpointAccount account =
        endpointAccount(endpoint.id, this->endpointRates(endpoint.id), this->settings.coldTolerance);
    if (account.limit.ratePerSecond <= 0) {
        return true;
    }
    this->endpointLimiter.recordRequest(bootClockNow(), account.limit);
    bool isAsked = false;
    while (true) {
        LeaderState leader = this->leaderState();
        if (!this->leaderLimitsEndpoints && leader.contact != LeaderContact::Lost) {
            leader.contact = LeaderContact::Lost; // A leader that counts nothing is as good as none.
        }
        switch (this->endpointLimiter.take(
            bootClockNow(), account.limit, account.tolerance, CreditClass::Ongoing, leader, isAsked)) {
        case CreditDecision::Admitted:
        case CreditDecision::AdmittedIsolated:
            this->startCreditRequest();
            return true;
        case CreditDecision::Refused:
            this->loadBalancer.recordAtLimit(this->now(), endpoint.id);
            metrics().add(MetricKind::EndpointLimitRefusals);
            return false;
        case CreditDecision::AwaitCredit:
            break;
        }
        this->startCreditRequest();
        this->awaitCredit(scope);
    }
}

} // namespace Chestnuthook
