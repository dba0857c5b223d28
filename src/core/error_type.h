/** @file error_type.h  Typed errors: a kind from the error table, what happened, and whether the request ran. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <tl/expected.hpp>

namespace Chestnuthook
{

/** Whether any attempt of the request can have reached an endpoint. */
enum class Ran : std::uint8_t { No, Yes, Unknown };

/** Kinds of errors; src/table/error_table.h gives code, HTTP status, message and remedy of each. */
enum class ErrorKind : std::uint8_t {
    BadSetting, ///< A flag or environment variable is wrong.
    BadDeclaration, ///< A declaration file is wrong.
    BadRequest, ///< A request is malformed.
    BodyTooLarge, ///< A request body is over its bound.
    UnknownKey, ///< The key is unknown or withdrawn.
    ForeignProgram, ///< The program belongs to another customer.
    NotFound, ///< No such program, call, model, service or route.
    Conflict, ///< The call number or request id was used with other content, or is out of order.
    StaleRevision, ///< The expected revision isn't the current one.
    RateExceeded, ///< The customer is over its rate and burst.
    BudgetSpent, ///< The program's budget is used up.
    ProgramEnded, ///< The program has ended.
    NotReady, ///< This instance can't admit now; another may.
    Overloaded, ///< Queues are full.
    NoEndpoint, ///< No endpoint can take the request.
    EndpointFailed, ///< The endpoint failed while it ran the request.
    OutcomeUnknown, ///< A non-idempotent call may have run; it will not be run again.
    Quarantined, ///< The request has crashed endpoints and is refused for a while.
    DeadlineExceeded, ///< The request's time has run out.
    Cancelled, ///< The caller or an operator ended the request.
    NotLeader, ///< This control member does not lead the group.
    StaleEpoch, ///< A write under an old slot epoch or lease.
    NoQuorum, ///< The control members can't confirm now.
    Unauthenticated, ///< A process on the control port could not prove its identity.
    StorageFailed, ///< The data folder can't be read or synced.
    StorageCorrupt, ///< The data folder holds damaged records.
    AddressInUse, ///< The port can't be bound.
    Internal, ///< A fault in chestnuthook.
};

/** An error value; `what` adds the particulars to the table's message. */
struct Error
{
    ErrorKind kind = ErrorKind::Internal; ///< Chooses code, status, message and remedy.
    std::string what; ///< The particulars; never holds a key or a body.
    Ran ran = Ran::No; ///< `No` only where no attempt can have reached an endpoint.
    std::int64_t retryAfterMs = 0; ///< When to come back, in milliseconds; 0 where that is not known.
};

template<typename T>
using Result = tl::expected<T, Error>;

/** Makes the unexpected value of a Result. */
[[nodiscard]] inline tl::unexpected<Error> fail(ErrorKind kind, std::string what, Ran ran = Ran::No)
{
    return tl::unexpected<Error>(Error{kind, std::move(what), ran, 0});
}

} // namespace Chestnuthook
