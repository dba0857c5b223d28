/** @file program_call.h  Bodies of calls, faults of fakes, and what their ledgers saw; for tests of programs. */
#pragma once

#include <string>
#include <vector>

#include "support/process_fleet.h"

namespace Chestnuthook::Testing
{

/** One request as a fake saw it. */
struct LedgerRow
{
    std::string attempt; ///< Header X-Attempt-Id.
    std::string program; ///< Header X-Program-Id.
    std::string path; ///< Without the query.
    std::string query; ///< Of the request.
    std::string outcome; ///< running, ok, cancelled, fault or refused.
    std::string note; ///< Of the fake.
};

/** Callers' work in the ledger of the fake at @p address; empty where it is dead. */
std::vector<LedgerRow> ledgerOf(const std::string &address);

/** Requests that any of @p addresses saw with @p query. */
int seenWith(const std::vector<std::string> &addresses, const std::string &query);

/** Orders a fault at a fake; @p json as its route takes it. */
void orderFault(const std::string &address, const std::string &json);

std::string modelCall(const std::string &model, const std::string &text, int maxTokens = 8, bool stream = false);

/** An order that may run once; @p query names it in the ledger, such as `order=7`. */
std::string orderCall(const std::string &service, const std::string &query, bool idempotent = false);

/** The text that a streamed answer holds, and whether it ended as it should. */
struct StreamedText
{
    std::string text; ///< All deltas.
    bool done = false; ///< `[DONE]` came last.
};
StreamedText streamedText(const std::string &body);

/** The text of a whole chat completion. */
std::string completionText(const std::string &body);

/** A field of the error in @p body; empty where there is none. */
std::string errorField(const std::string &body, const std::string &field);

/** Sends a request, waits until it has reached an endpoint of the fleet, and closes the connection unread. */
void abandonRequest(const ProcessFleet &fleet, std::size_t entry, const std::string &path, const std::string &body);

/** Gives all customers of the site a rate that no test meets. */
void liftRates(const ProcessFleet &fleet);

} // namespace Chestnuthook::Testing
