/** @file stream_progress_table_test.cpp  Events of streams that history members hold: whole from the beginning on,
 * bounded, and never of two writers. */
#define BOOST_TEST_MODULE stream_progress_table
#include <boost/test/unit_test.hpp>

#include "history/stream_progress_table_base.h"

using namespace Chestnuthook;
using namespace std::chrono_literals;

namespace
{

const StreamKey Stream{"r1", "glue"};
constexpr std::uint64_t Turn = 7;

std::vector<StreamPiece> pieces(unsigned first, unsigned last, std::size_t bytes = 1)
{
    std::vector<StreamPiece> made;
    for (unsigned i = first; i <= last; ++i) {
        made.push_back({std::to_string(i), std::string(bytes, 'x')});
    }
    return made;
}

std::size_t heldEvents(StreamProgressTable &table, const std::string &request)
{
    const auto stream = table.find(Instant(2), Stream);
    return stream ? stream->branches.at(request).pieces.size() : 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(stream_is_known_to_its_customer_until_it_expires)
{
    StreamProgressTable table;
    BOOST_TEST(table.begin(Instant(1), Stream, Turn, 3, 10s));
    BOOST_TEST(table.add(Stream, "r1", 0, pieces(1, 2)));
    const auto stream = table.find(Instant(2), Stream);
    BOOST_REQUIRE(stream.has_value());
    BOOST_TEST(stream->turn == Turn);
    BOOST_TEST(stream->members == 3U);
    BOOST_TEST((stream->branches.at("r1").pieces == pieces(1, 2)));
    BOOST_TEST(!table.find(Instant(2), {"r1", "print"}).has_value());
    BOOST_TEST(!table.find(Instant(1) + 10s, Stream).has_value());
    BOOST_TEST(table.bytes() == 0U);
}

// A gap between events that a member holds.
BOOST_AUTO_TEST_CASE(events_after_missing_ones_are_not_held)
{
    StreamProgressTable table;
    BOOST_TEST(!table.add(Stream, "r1", 0, pieces(1, 1)));
    BOOST_TEST(table.begin(Instant(1), Stream, Turn, 3, 10s));
    BOOST_TEST(!table.add(Stream, "r1", 1, pieces(2, 2)));
    BOOST_TEST(table.add(Stream, "r1", 0, pieces(1, 2)));
    BOOST_TEST(!table.add(Stream, "r1", 1, pieces(2, 2)));
    BOOST_TEST(!table.add(Stream, "r1", 3, pieces(4, 4)));
    BOOST_TEST(heldEvents(table, "r1") == 2U);
}

// A member that learns of a stream after it has lost its memory.
BOOST_AUTO_TEST_CASE(resumption_of_an_unknown_stream_is_not_held)
{
    StreamProgressTable table;
    BOOST_TEST(!table.resume(Stream, {"r2", "r1", 2, pieces(1, 2)}));
    BOOST_TEST(!table.find(Instant(2), Stream).has_value());
}

BOOST_AUTO_TEST_CASE(resumption_that_brought_no_event_can_be_withdrawn)
{
    StreamProgressTable table;
    table.begin(Instant(1), Stream, Turn, 3, 10s);
    table.add(Stream, "r1", 0, pieces(1, 2));
    const std::size_t before = table.bytes();
    BOOST_TEST(table.resume(Stream, {"r2", "r1", 2, pieces(1, 2)}));
    BOOST_TEST(table.resume(Stream, {"r2", "r1", 2, pieces(1, 2)}));
    BOOST_TEST(!table.resume(Stream, {"r2", "r1", 1, pieces(1, 1)}));
    BOOST_TEST(!table.resume(Stream, {"r4", "r4", 2, pieces(1, 2)}));
    table.withdraw(Stream, "r2");
    BOOST_TEST(table.bytes() == before);
    BOOST_TEST(table.resume(Stream, {"r3", "r1", 2, pieces(1, 2)}));
    BOOST_TEST(table.add(Stream, "r3", 2, pieces(3, 3)));
    table.withdraw(Stream, "r3");
    table.withdraw(Stream, "r1");
    BOOST_TEST(heldEvents(table, "r3") == 3U);
    BOOST_TEST(heldEvents(table, "r1") == 2U);
}

BOOST_AUTO_TEST_CASE(request_id_that_began_two_streams_is_ambiguous)
{
    StreamProgressTable table;
    table.begin(Instant(1), Stream, Turn, 3, 10s);
    BOOST_TEST(!table.begin(Instant(1), Stream, Turn, 3, 10s));
    BOOST_TEST(table.find(Instant(2), Stream)->isAmbiguous);
}

// A full table that forgets a stream which it has accepted.
BOOST_AUTO_TEST_CASE(full_table_refuses_and_keeps_what_it_holds)
{
    constexpr std::size_t MaxBytes = 100000;
    StreamProgressTable table(MaxBytes);
    BOOST_TEST(table.begin(Instant(1), Stream, Turn, 3, 10s));
    BOOST_TEST(table.add(Stream, "r1", 0, pieces(1, 9, 10000)));
    BOOST_TEST(!table.add(Stream, "r1", 9, pieces(10, 10, 10000)));
    BOOST_TEST(!table.resume(Stream, {"r2", "r1", 9, pieces(1, 9, 10000)}));
    unsigned begun = 0;
    for (unsigned i = 0; i < 1000; ++i) {
        begun += table.begin(Instant(1), {"s" + std::to_string(i), "glue"}, Turn, 3, 10s) ? 1 : 0;
    }
    BOOST_TEST(begun < 20U);
    BOOST_TEST(heldEvents(table, "r1") == 9U);
    BOOST_TEST(table.bytes() <= MaxBytes);
    BOOST_TEST(table.begin(Instant(1) + 11s, {"t", "glue"}, Turn, 3, 10s));
}

// One stream whose answers fill the memory of a gateway.
BOOST_AUTO_TEST_CASE(single_stream_is_bounded)
{
    StreamProgressTable table;
    table.begin(Instant(1), Stream, Turn, 3, 10s);
    BOOST_TEST(!table.add(Stream, "r1", 0, pieces(1, 1, StreamProgressTable::MaxStreamBytes)));
    BOOST_TEST(table.add(Stream, "r1", 0, pieces(1, 1, StreamProgressTable::MaxStreamBytes / 2)));
    BOOST_TEST(!table.resume(Stream, {"r2", "r1", 1, pieces(1, 1, StreamProgressTable::MaxStreamBytes / 2)}));
}
