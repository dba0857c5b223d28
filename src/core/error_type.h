/** @file error_type.h  Typed errors: kind, details, and whether the request may have run. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <tl/expected.hpp>

namespace Chestnuthook
{

/** Whether an attempt of the request can have reached an endpoint. */
enum class Ran : std::uint8_t { No, Yes, Unknown };

/** Kinds of errors; src/table/error_table.h has the code, HTTP status, message and remedy of each. */
enum class ErrorKind : std::uint8_t {
    BadSetting, ///< A flag or environment variable is wrong.
    BadDeclaration, ///< A declaration file is wrong.
    BadRequest, ///< A request is malformed.
    BodyTooLarge, ///< A request body exceeds its size limit.
    UnknownKey, ///< The key is unknown or withdrawn.
    ForeignProgram, ///< The program belongs to another customer.
    NotFound, ///< No such program, call, model, service or route.
    Conflict, ///< The call number or request id was used with other content, or is out of order.
    StaleRevision, ///< The expected revision isn't the current one.
    RateExceeded, ///< The customer exceeds its rate and burst.
    BudgetSpent, ///< The program's budget is used up.
    ProgramEnded, ///< The program has ended.
    NotReady, ///< This instance can't admit requests at present; another one may.
    Overloaded, ///< The queues are full.
    NoEndpoint, ///< No endpoint can take the request.
    EndpointFailed, ///< The endpoint failed while it ran the request.
    OutcomeUnknown, ///< A non-idempotent call may have run; it isn't retried.
    Quarantined, ///< The request has crashed endpoints and is rejected for a limited time.
    DeadlineExceeded, ///< The request's deadline has passed.
    Cancelled, ///< The client or an operator cancelled the request.
    NotLeader, ///< This control member is not the leader.
    StaleEpoch, ///< A write carries an outdated slot epoch or lease.
    NoQuorum, ///< The control members can't reach a quorum at present.
    Unauthenticated, ///< A process on the control port could not prove its identity.
    StorageFailed, ///< The data folder can't be read or synced.
    StorageCorrupt, ///< The data folder holds damaged records.
    StorageFull, ///< The disk of the data folder is full.
    AddressInUse, ///< The address can't be bound.
    Internal, ///< A bug in chestnuthook.
};

/** An error; `what` adds details to the message of the error table. */
struct Error
{
    ErrorKind kind = ErrorKind::Internal; ///< Determines code, HTTP status, message and remedy.
    std::string what; ///< Details; never contains a key or a request body.
    Ran ran = Ran::No; ///< `No` only if no attempt can have reached an endpoint.
    std::int64_t retryAfterMs = 0; ///< Delay before the client should retry, in milliseconds; 0 if unknown.
};

template<typename T>
using Result = tl::expected<T, Error>;

/** Makes the error value of a Result. */
[[nodiscard]] inline tl::unexpected<Error> fail(ErrorKind kind, std::string what, Ran ran = Ran::No)
{
    return tl::unexpected<Error>(Error{kind, std::move(what), ran, 0});
}

} // namespace Chestnuthook
