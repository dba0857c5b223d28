/** @file reserve_address_test.cpp  A reserved port is given to no other process; the program under test can listen on
 * it. */
#define BOOST_TEST_MODULE reserve_address
#include <boost/test/unit_test.hpp>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "support/process_fleet.h"

using namespace Chestnuthook::Testing;
using Poco::Net::SocketAddress;

BOOST_AUTO_TEST_CASE(a_reserved_port_is_open_only_to_a_listener_with_reuse_address)
{
    const std::string address = reserveLoopbackAddresses(1).front();
    Poco::Net::ServerSocket otherSocket;
    BOOST_CHECK_THROW(otherSocket.bind(SocketAddress(address), false, false), Poco::Net::NetException);
    BOOST_CHECK_THROW(Poco::Net::StreamSocket{SocketAddress(address)}, Poco::Net::ConnectionRefusedException);
    for (int start = 0; start < 2; ++start) {
        Poco::Net::ServerSocket program;
        program.bind(SocketAddress(address), true, false);
        program.listen();
        BOOST_CHECK_NO_THROW(Poco::Net::StreamSocket{SocketAddress(address)});
    }
}
