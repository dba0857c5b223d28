/** @file response_owner_test.cpp  Which request a response on a kept connection belongs to. */
#define BOOST_TEST_MODULE response_owner
#include <boost/test/unit_test.hpp>

#include "gateway/response_owner_func.h"
#include "http/http_message_type.h"
#include "platform_header_codec_base.h"

using namespace Chestnuthook;

namespace
{

const Platform::PlatformHeaderCodec Codec;

/** Owner of a response with request ids @p ids while the response to request "own" is awaited. */
ResponseOwner ownerOfIds(
    const std::vector<std::string> &ids, unsigned status, bool notExecuted, bool followsOneWithoutId)
{
    ResponseHead head;
    head.status = status;
    for (const std::string &id : ids) {
        head.fields.add("X-Request-Id", id);
    }
    if (notExecuted) {
        head.fields.add("X-Not-Executed", "1");
    }
    return ownerOf(Codec.readResponseMetadata(head), status, {"own", followsOneWithoutId});
}

struct Kind
{
    unsigned status; ///< Status of the response.
    bool notExecuted; ///< It says that the request was not executed.
};

const std::vector<Kind> Rejections = {{503, true}, {429, true}, {400, true}, {421, false}, {421, true}};
const std::vector<Kind> Others = {{200, false}, {500, false}, {504, false}, {404, false}};

} // namespace

/** Guards against a late copy of another request's rejection that counts for the request in flight. */
BOOST_AUTO_TEST_CASE(response_with_another_id_belongs_to_an_earlier_request_whatever_it_says)
{
    for (const auto *kinds : {&Rejections, &Others}) {
        for (const Kind &kind : *kinds) {
            for (const bool follows : {false, true}) {
                BOOST_TEST_CONTEXT("status " << kind.status << " follows " << follows)
                {
                    BOOST_CHECK(
                        ownerOfIds({"other"}, kind.status, kind.notExecuted, follows) == ResponseOwner::Earlier);
                    BOOST_CHECK(ownerOfIds({"own"}, kind.status, kind.notExecuted, follows) == ResponseOwner::Awaited);
                    BOOST_CHECK(
                        ownerOfIds({"own", "own"}, kind.status, kind.notExecuted, follows) == ResponseOwner::Awaited);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(rejection_without_an_id_counts_only_once_on_a_connection)
{
    for (const Kind &kind : Rejections) {
        BOOST_CHECK(ownerOfIds({}, kind.status, kind.notExecuted, false) == ResponseOwner::Awaited);
        BOOST_CHECK(ownerOfIds({}, kind.status, kind.notExecuted, true) == ResponseOwner::Unknown);
    }
    for (const Kind &kind : Others) {
        BOOST_CHECK(ownerOfIds({}, kind.status, kind.notExecuted, true) == ResponseOwner::Earlier);
        BOOST_CHECK(ownerOfIds({}, kind.status, kind.notExecuted, false) == ResponseOwner::Earlier);
    }
}

BOOST_AUTO_TEST_CASE(response_with_two_ids_belongs_to_nobody)
{
    for (const Kind &kind : Rejections) {
        BOOST_CHECK(ownerOfIds({"own", "other"}, kind.status, kind.notExecuted, true) == ResponseOwner::Unknown);
        BOOST_CHECK(ownerOfIds({"other", "own"}, kind.status, kind.notExecuted, false) == ResponseOwner::Unknown);
    }
}

BOOST_AUTO_TEST_CASE(request_without_an_id_takes_a_response_without_one)
{
    BOOST_CHECK(ownerOf({}, HttpStatus::Ok, {"", false}) == ResponseOwner::Awaited);
    BOOST_CHECK(ownerOf({}, HttpStatus::Ok, {"", true}) == ResponseOwner::Unknown);
    BOOST_CHECK(ownerOf({}, HttpStatus::Ok, {"own", false}) == ResponseOwner::Earlier);
}
