/** @file request_affinity_func.h  Which requests should go to the same endpoint. Pure functions. */
#pragma once

#include <cstdint>

#include "deployment/configuration_type.h"
#include "gateway/header_codec_type.h"

namespace Chestnuthook
{

/** Affinity of a request, 0 for none. The turns of a program share a prompt, which is cached by the engine that ran the
 * turn before. On routes where endpoints are faster with objects that they have handled recently, requests about the
 * same object have the same affinity. */
[[nodiscard]] std::uint64_t requestAffinity(
    const RouteConfig &route, const ServiceConfig &service, const RequestMetadata &request);

} // namespace Chestnuthook
