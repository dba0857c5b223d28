/** @file program_call.h  Helpers for tests of programs: request bodies, fault injection, and the ledgers of the
 * fakes. */
#pragma once

#include <string>
#include <vector>

#include "support/process_fleet.h"

namespace Chestnuthook::Testing
{

/** A request as recorded by a fake. */
struct LedgerRow
{
    std::string attempt; ///< Header X-Attempt-Id.
    std::string program; ///< Header X-Program-Id.
    std::string path; ///< Without the query.
    std::string query; ///< Query of the URL.
    std::string outcome; ///< One of running, ok, cancelled, fault and refused.
    std::string note; ///< Note of the fake.
};

/** Client requests in the ledger of the fake at @p address; empty if it can't be reached. */
std::vector<LedgerRow> ledgerOf(const std::string &address);

/** Number of requests with @p query that the fakes at @p addresses have received. */
int countRequestsWithQuery(const std::vector<std::string> &addresses, const std::string &query);

/** Injects a fault into a fake; @p json is the body of a request to its route /fake/fault. */
void injectFault(const std::string &address, const std::string &json);

/** Body of a model call. */
std::string modelCall(const std::string &model, const std::string &text, int maxTokens = 8, bool stream = false);

/** Body of a tool call that places a print order; @p query, such as `order=7`, identifies it in the ledger. */
std::string orderCall(const std::string &service, const std::string &query, bool idempotent = false);

/** Text of a streamed completion, and whether it ended properly. */
struct StreamedText
{
    std::string text; ///< Concatenated deltas.
    bool done = false; ///< Whether the last event was `[DONE]`.
};
StreamedText streamedText(const std::string &body);

/** Text of a chat completion that was not streamed; empty if there is none. */
std::string completionText(const std::string &body);

/** A field of the error in @p body; empty if there is none. */
std::string errorField(const std::string &body, const std::string &field);

/** Sends a request, waits until it has reached an endpoint, and closes the connection without reading a response. */
void abandonRequest(const ProcessFleet &fleet, std::size_t entry, const std::string &path, const std::string &body);

/** Raises the rate limits of all customers beyond what any test reaches. */
void raiseRateLimits(const ProcessFleet &fleet);

} // namespace Chestnuthook::Testing
