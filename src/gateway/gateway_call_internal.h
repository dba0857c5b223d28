/** @file gateway_call_internal.h  One request on its way through a gateway. */
#pragma once

#include <memory>
#include <string>

#include "gateway/gateway_base.h"

namespace Chestnuthook
{

struct Gateway::Call
{
    explicit Call(HttpExchange &exchange)
        : exchange(exchange)
    {
    }

    HttpExchange &exchange; ///< The request and its answer.
    ConfigurationPtr configuration; ///< Under which it is served.
    CallFacts facts; ///< What the caller says.
    const RouteConfig *route = nullptr; ///< In `configuration`.
    const CustomerConfig *customer = nullptr; ///< In `configuration`; null on open routes without a key.
    Instant until{0}; ///< When a final answer is due.
    std::uint64_t fingerprint = 0; ///< Of customer, target and body.
    bool isNewProgram = false; ///< The first turn of its program.
    std::string prefix; ///< Inputs and outputs of the turns that it continues.
    std::uint64_t retentionMs = 0; ///< How long its turn is kept.
    std::unique_ptr<TokenSettlement> settlement; ///< Of its tokens; null where it has no budget.

    std::string output; ///< Data of the events so far, for the history.
    std::string lastEventId; ///< Of the last event that the caller has.
    unsigned events = 0; ///< That the caller has.
    unsigned tokensPerEvent = 1; ///< Of the service.
    unsigned runs = 0; ///< Attempts that may have run.
};

} // namespace Chestnuthook
