/** @file fake_service_base.h  The stand-in for a plain service. */
#pragma once

#include <atomic>
#include <cstdint>

#include "fakes/fake_server_func.h"

namespace Chestnuthook
{

/** Answers any method on any path with what it saw; its sequence counts the requests that took effect. */
class FakeService
{
public:
    explicit FakeService(FakeCommon &commonParts);
    /** Answers one request; the parameter `delay_ms` of the query holds the answer back. */
    FakeOutcome serve(FakeExchange &exchange);

private:
    FakeCommon &common; ///< Outlives the service.
    std::atomic<std::uint64_t> sequence = 0; ///< Requests that took effect.
};

} // namespace Chestnuthook
