/** @file request_affinity_func.cpp  Affinity by program, object or request. */
#include "gateway/request_affinity_func.h"

#include <algorithm>
#include <string>

#include "core/hash_func.h"

namespace Chestnuthook
{

std::uint64_t requestAffinity(const RouteConfig &route, const ServiceConfig &service, const RequestMetadata &request)
{
    const auto affinityOf = [](const std::string &key) {
        return std::max<std::uint64_t>(hash64(key), 1);
    };
    if (service.engine && !request.program.empty()) {
        return affinityOf(request.program);
    }
    if (route.isSticky && !request.object.empty()) {
        return affinityOf(request.object);
    }
    return service.engine ? affinityOf(request.requestId) : 0;
}

} // namespace Chestnuthook
