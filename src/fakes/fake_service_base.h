/** @file fake_service_base.h  Fake service that tools call. */
#pragma once

#include <atomic>
#include <cstdint>

#include "fakes/fake_server_func.h"

namespace Chestnuthook
{

/** Responds to any method on any path with a description of the request. Each request gets the next sequence number; it
 * counts as executed from then on, also if the client disconnects later. */
class FakeService
{
public:
    explicit FakeService(FakeServerContext &serverContext);
    /** Handles one request; the query parameter `delay_ms` delays the response by that many milliseconds. */
    FakeOutcome serve(FakeExchange &exchange);

private:
    FakeServerContext &common; ///< Must outlive the service.
    std::atomic<std::uint64_t> sequence = 0; ///< Number of requests executed.
};

} // namespace Chestnuthook
