/** @file error_table.cpp  Table of the kinds of errors. */
#include "table/error_table.h"

#include <cstddef>

namespace Chestnuthook
{

namespace
{

using Kind = ErrorKind;

constexpr auto ErrorRows = std::to_array<ErrorRow>({
    {Kind::BadSetting, "bad_setting", 500, 2, "a flag or environment variable is wrong",
        "correct the setting that is named; --help lists all"},
    {Kind::BadDeclaration, "bad_declaration", 500, 1, "a declaration file is wrong",
        "correct the file at the line that is named, then run chestnuthook-ctl validate"},
    {Kind::BadRequest, "bad_request", 400, 1, "the request is malformed", "correct the request as named"},
    {Kind::BodyTooLarge, "body_too_large", 413, 1, "the request body is over its bound", "send a smaller body"},
    {Kind::UnknownKey, "unknown_key", 401, 1, "the key is unknown or withdrawn",
        "use a current key, or ask the operator for one"},
    {Kind::ForeignProgram, "foreign_program", 403, 1, "the program belongs to another tenant",
        "use the key of the tenant that created the program"},
    {Kind::NotFound, "not_found", 404, 1, "there is no such thing", "check the id, name or route"},
    {Kind::Conflict, "conflict", 409, 1, "the number or request id was used with other content, or is out of order",
        "read the program's state and send its next call, or use a new request id"},
    {Kind::StaleRevision, "stale_revision", 409, 1, "the expected revision isn't the current one",
        "compare with the current revision by chestnuthook-ctl diff, then apply again"},
    {Kind::RateExceeded, "rate_exceeded", 429, 1, "the tenant is over its rate and burst",
        "send again after the time given"},
    {Kind::BudgetSpent, "budget_spent", 402, 1, "the program's budget is used up",
        "create a program with a larger budget"},
    {Kind::ProgramEnded, "program_ended", 409, 1, "the program has ended", "create a new program"},
    {Kind::NotReady, "not_ready", 503, 1, "this instance can't admit now",
        "send again to another entry of GET /v1/entries"},
    {Kind::Overloaded, "overloaded", 503, 1, "the queues are full", "send again after the time given"},
    {Kind::NoEndpoint, "no_endpoint", 503, 1, "no endpoint can take the request",
        "send again later; operators: check the endpoints by chestnuthook-ctl status"},
    {Kind::EndpointFailed, "endpoint_failed", 502, 1, "the endpoint failed while it ran the request",
        "send again if the call may run twice"},
    {Kind::OutcomeUnknown, "outcome_unknown", 502, 1, "the call may have run and will not be run again",
        "look up its effect at the service before you send another"},
    {Kind::Quarantined, "quarantined", 422, 1, "the request has crashed endpoints and is refused for a while",
        "change the request, or send it after the time given"},
    {Kind::DeadlineExceeded, "deadline_exceeded", 504, 1, "the request's time has run out",
        "send again with more time if the call may run twice"},
    {Kind::Cancelled, "cancelled", 499, 1, "the caller or an operator ended the request", "send again if it is wanted"},
    {Kind::NotLeader, "not_leader", 503, 1, "this control member does not lead the group",
        "send again to the leader or another member"},
    {Kind::StaleEpoch, "stale_epoch", 409, 1, "the write came under an old slot epoch or lease",
        "send again to the slot's present owner"},
    {Kind::NoQuorum, "no_quorum", 503, 1, "the control members can't confirm now",
        "send again; operators: see that most control members run and reach each other"},
    {Kind::Unauthenticated, "unauthenticated", 401, 1, "a process could not prove its identity on the control port",
        "give all processes of the fleet the same fleet secret"},
    {Kind::StorageFailed, "storage_failed", 500, 4, "the data folder can't be read or synced",
        "check the disk's space, rights and health, then start again"},
    {Kind::StorageCorrupt, "storage_corrupt", 500, 5, "the data folder holds damaged records",
        "replace this member by one with an empty data folder; keep the old folder for study"},
    {Kind::StorageFull, "storage_full", 503, 4, "the disk of the data folder is full",
        "make room on the disk, or send again to another member"},
    {Kind::AddressInUse, "address_in_use", 500, 3, "the address can't be bound",
        "end the process that holds the port, or choose another address"},
    {Kind::Internal, "internal", 500, 1, "a fault in chestnuthook", "report it with the log lines around it"},
});

constexpr bool isTableComplete()
{
    for (std::size_t i = 0; i < ErrorRows.size(); ++i) {
        const ErrorRow &row = ErrorRows[i];
        if (static_cast<std::size_t>(row.kind) != i || row.code.empty() || row.message.empty() || row.remedy.empty()) {
            return false;
        }
        for (std::size_t j = 0; j < i; ++j) {
            if (ErrorRows[j].code == row.code) {
                return false;
            }
        }
    }
    return ErrorRows.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1;
}
static_assert(isTableComplete(), "each ErrorKind needs one row, in enumerator order and with a unique code");

} // namespace

const ErrorRow &errorRow(ErrorKind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    return index < ErrorRows.size() ? ErrorRows[index] : ErrorRows.back();
}

std::optional<ErrorKind> errorKindOf(std::string_view code)
{
    for (const ErrorRow &row : ErrorRows) {
        if (row.code == code) {
            return row.kind;
        }
    }
    return std::nullopt;
}

std::string errorText(const Error &error)
{
    const ErrorRow &row = errorRow(error.kind);
    std::string text(row.code);
    text += ": ";
    text += row.message;
    if (!error.what.empty()) {
        text += ": ";
        text += error.what;
    }
    text += "; remedy: ";
    text += row.remedy;
    return text;
}

} // namespace Chestnuthook
