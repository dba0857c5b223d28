/** @file configuration_type.cpp  Validation of a configuration, and lookups in it. */
#include "deployment/configuration_type.h"

#include <algorithm>
#include <set>

#include <Poco/String.h>

namespace Chestnuthook
{

namespace
{

Result<void> checkRoute(const RouteConfig &route, const std::map<std::string, ServiceConfig> &services)
{
    const std::string prefix = "route " + route.name + ": ";
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' || route.pathPrefix.back() != '/') {
        return fail(ErrorKind::BadDeclaration, prefix + "the path prefix must begin and end with a slash");
    }
    if (route.timeout.count() <= 0) {
        return fail(ErrorKind::BadDeclaration, prefix + "the time-out must be above 0");
    }
    std::uint64_t weights = 0;
    for (const RouteTarget &target : route.targets) {
        if (!services.contains(target.service)) {
            return fail(ErrorKind::BadDeclaration, prefix + "there is no service named " + target.service);
        }
        weights += target.weight;
    }
    if (weights == 0) {
        return fail(ErrorKind::BadDeclaration, prefix + "the weights of its services add up to 0");
    }
    return {};
}

} // namespace

Result<void> Configuration::finalize()
{
    std::set<std::pair<std::string, std::string>> hostsAndPaths;
    for (std::size_t i = 0; i < this->routes.size(); ++i) {
        const RouteConfig &route = this->routes[i];
        Result<void> checked = checkRoute(route, this->services);
        if (!checked) {
            return checked;
        }
        if (!hostsAndPaths.emplace(route.host, route.pathPrefix).second) {
            return fail(
                ErrorKind::BadDeclaration, "route " + route.name + ": another route has the same host and path prefix");
        }
        this->routesByHost[route.host].push_back(i);
    }
    for (auto &[host, indexes] : this->routesByHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
            return this->routes[a].pathPrefix.size() > this->routes[b].pathPrefix.size();
        });
    }
    std::set<std::string> names;
    for (std::size_t i = 0; i < this->customers.size(); ++i) {
        const CustomerConfig &customer = this->customers[i];
        if (!names.insert(customer.name).second) {
            return fail(ErrorKind::BadDeclaration, "two customers are named " + customer.name);
        }
        for (const std::string &key : customer.keys) {
            const auto [known, added] = this->customerByKey.emplace(key, i);
            if (!added && known->second != i) {
                return fail(ErrorKind::BadDeclaration,
                    "customers " + this->customers[known->second].name + " and " + customer.name + " share a key");
            }
        }
    }
    return {};
}

const RouteConfig *Configuration::findRoute(std::string_view host, std::string_view path) const
{
    const std::string name = Poco::toLower(std::string(host.substr(0, host.find(':'))));
    const auto indexes = this->routesByHost.find(name);
    if (indexes == this->routesByHost.end()) {
        return nullptr;
    }
    for (const std::size_t index : indexes->second) {
        if (path.starts_with(this->routes[index].pathPrefix)) {
            return &this->routes[index];
        }
    }
    return nullptr;
}

const CustomerConfig *Configuration::findCustomer(const std::string &key) const
{
    const auto found = this->customerByKey.find(key);
    return found == this->customerByKey.end() ? nullptr : &this->customers[found->second];
}

} // namespace Chestnuthook
