/** @file error_table_test.cpp  Tests of the error table. */
#define BOOST_TEST_MODULE error_table
#include <boost/test/unit_test.hpp>

#include <utility>

#include "table/error_table.h"

using namespace Chestnuthook;

BOOST_AUTO_TEST_CASE(errorCodesRoundTrip)
{
    for (int i = 0; i <= static_cast<int>(ErrorKind::Internal); ++i) {
        const auto kind = static_cast<ErrorKind>(i);
        BOOST_TEST((errorRow(kind).kind == kind));
        BOOST_TEST((errorKindOf(errorRow(kind).code) == kind));
    }
    BOOST_TEST(!errorKindOf("no_such_code").has_value());
}

BOOST_AUTO_TEST_CASE(httpStatusesAndExitCodesAreStable)
{
    const std::pair<ErrorKind, int> statuses[] = {{ErrorKind::BadRequest, 400}, {ErrorKind::UnknownKey, 401},
        {ErrorKind::BudgetSpent, 402}, {ErrorKind::ForeignProgram, 403}, {ErrorKind::NotFound, 404},
        {ErrorKind::Conflict, 409}, {ErrorKind::StaleRevision, 409}, {ErrorKind::ProgramEnded, 409},
        {ErrorKind::StaleEpoch, 409}, {ErrorKind::BodyTooLarge, 413}, {ErrorKind::Quarantined, 422},
        {ErrorKind::RateExceeded, 429}, {ErrorKind::Cancelled, 499}, {ErrorKind::EndpointFailed, 502},
        {ErrorKind::OutcomeUnknown, 502}, {ErrorKind::NotReady, 503}, {ErrorKind::Overloaded, 503},
        {ErrorKind::NoEndpoint, 503}, {ErrorKind::NoQuorum, 503}, {ErrorKind::NotLeader, 503},
        {ErrorKind::DeadlineExceeded, 504}, {ErrorKind::Unauthenticated, 401}, {ErrorKind::Internal, 500}};
    for (const auto &[kind, status] : statuses) {
        BOOST_TEST(errorRow(kind).httpStatus == status);
    }
    BOOST_TEST(errorRow(ErrorKind::BadSetting).exitCode == 2);
    BOOST_TEST(errorRow(ErrorKind::AddressInUse).exitCode == 3);
    BOOST_TEST(errorRow(ErrorKind::StorageFailed).exitCode == 4);
    BOOST_TEST(errorRow(ErrorKind::StorageCorrupt).exitCode == 5);
    BOOST_TEST(errorRow(ErrorKind::Internal).exitCode == 1);
}

BOOST_AUTO_TEST_CASE(errorTextHasCodeMessageDetailsAndRemedy)
{
    BOOST_TEST(errorText(Error{ErrorKind::ProgramEnded, "p1", Ran::No, 0})
        == "program_ended: the program has ended: p1; remedy: create a new program");
    BOOST_TEST(nameOf(Ran::Unknown) == "unknown");
    BOOST_TEST((parseName<Ran>("yes") == Ran::Yes));
    BOOST_TEST(!parseName<Ran>("maybe").has_value());
}
