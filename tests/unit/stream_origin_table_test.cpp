/** @file stream_origin_table_test.cpp  Origins of streams: found by their customer, forgotten in time, never ambiguous.
 */
#define BOOST_TEST_MODULE stream_origin_table
#include <boost/test/unit_test.hpp>

#include "history/stream_origin_table_base.h"

using namespace Chestnuthook;
using namespace std::chrono_literals;

namespace
{

const StreamKey Stream{"r1", "glue"};
const StreamOrigin Origin{"model", "v1"};

} // namespace

BOOST_AUTO_TEST_CASE(origin_is_known_to_its_customer_until_it_expires)
{
    StreamOriginTable table;
    table.add(Instant(1), Stream, Origin, 10s);
    BOOST_TEST((table.find(Instant(2), Stream) == Origin));
    BOOST_TEST(!table.find(Instant(2), {"r1", "print"}).has_value());
    BOOST_TEST(!table.find(Instant(2), {"r2", "glue"}).has_value());
    BOOST_TEST(!table.find(Instant(1) + 10s, Stream).has_value());
}

BOOST_AUTO_TEST_CASE(request_id_that_began_two_streams_has_no_origin)
{
    StreamOriginTable table;
    table.add(Instant(1), Stream, Origin, 10s);
    table.add(Instant(2), Stream, Origin, 10s);
    BOOST_TEST(table.find(Instant(3), Stream).has_value());
    table.add(Instant(3), Stream, {"model", "v2"}, 10s);
    BOOST_TEST(!table.find(Instant(4), Stream).has_value());
    table.add(Instant(5), Stream, Origin, 10s);
    BOOST_TEST(!table.find(Instant(6), Stream).has_value());
}

BOOST_AUTO_TEST_CASE(table_is_bounded)
{
    StreamOriginTable table;
    for (std::size_t i = 0; i < StreamOriginTable::MaxEntries + 10; ++i) {
        table.add(Instant(1), {"r" + std::to_string(i), "glue"}, Origin, 10s + Duration(i));
    }
    BOOST_TEST(table.size() == StreamOriginTable::MaxEntries);
    BOOST_TEST(!table.find(Instant(2), {"r0", "glue"}).has_value());
    BOOST_TEST(table.find(Instant(2), {"r50009", "glue"}).has_value());
    table.add(Instant(1) + 60s, Stream, Origin, 10s);
    BOOST_TEST(table.size() == 1U);
}

BOOST_AUTO_TEST_CASE(request_id_that_is_empty_or_too_long_is_not_kept)
{
    StreamOriginTable table;
    table.add(Instant(1), {"", "glue"}, Origin, 10s);
    table.add(Instant(1), {std::string(StreamOriginTable::MaxRequestIdBytes + 1, 'r'), "glue"}, Origin, 10s);
    BOOST_TEST(table.size() == 0U);
}
