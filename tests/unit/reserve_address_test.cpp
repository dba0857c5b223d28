/** @file reserve_address_test.cpp  Ports that tests set aside for their programs stay theirs. */
#define BOOST_TEST_MODULE reserve_address
#include <boost/test/unit_test.hpp>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "support/process_fleet.h"

using namespace Chestnuthook::Testing;
using Poco::Net::SocketAddress;

BOOST_AUTO_TEST_CASE(a_held_port_is_kept_from_strangers_and_open_to_its_program)
{
    const std::string address = reserveLoopbackAddresses(1).front();
    Poco::Net::ServerSocket stranger;
    BOOST_CHECK_THROW(stranger.bind(SocketAddress(address), false, false), Poco::Net::NetException);
    BOOST_CHECK_THROW(Poco::Net::StreamSocket{SocketAddress(address)}, Poco::Net::ConnectionRefusedException);
    for (int start = 0; start < 2; ++start) {
        Poco::Net::ServerSocket program;
        program.bind(SocketAddress(address), true, false);
        program.listen();
        BOOST_CHECK_NO_THROW(Poco::Net::StreamSocket{SocketAddress(address)});
    }
}
