/** @file hash_test.cpp  Tests of the hashes against published vectors. */
#define BOOST_TEST_MODULE hash
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

#include "core/hash_func.h"

using namespace Chestnuthook;

BOOST_AUTO_TEST_CASE(xxHashMatchesTestVectors)
{
    BOOST_TEST(hash64("") == 0xef46db3751d8e999ULL);
    BOOST_TEST(hash64("a") == 0xd24ec4f1a98c6e5bULL);
    BOOST_TEST(hash64("abc") == 0x44bc2cf5ad770999ULL);
    BOOST_TEST(hash64("abc", 1) != hash64("abc"));
}

BOOST_AUTO_TEST_CASE(sha256MatchesTestVectors)
{
    BOOST_TEST(sha256Hex("") == "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
    BOOST_TEST(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(hmacMatchesRfc4231)
{
    BOOST_TEST(toHex(hmacSha256("Jefe", "what do ya want for nothing?"))
        == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
    BOOST_TEST(toHex(hmacSha256(std::string(20, '\x0b'), "Hi There"))
        == "b0344c61d8db38535ca8afceaf0bf12b881dc200c9833da726e9376c2e32cff7");
    BOOST_TEST(toHex(hmacSha256({}, {})) == "b613679a0814d9ec772f95d778c35fc5ff1697c493715653c6c712144292c5ad");
}

BOOST_AUTO_TEST_CASE(checksumDetectsOneBit)
{
    BOOST_TEST(checksum32("record") == checksum32("record"));
    BOOST_TEST(checksum32("record") != checksum32("recorD"));
}

BOOST_AUTO_TEST_CASE(constantTimeEqualsComparesLengthAndContent)
{
    BOOST_TEST(constantTimeEquals("", ""));
    BOOST_TEST(constantTimeEquals("abc", "abc"));
    BOOST_TEST(!constantTimeEquals("abc", "abd"));
    BOOST_TEST(!constantTimeEquals("abc", "ab"));
}

BOOST_AUTO_TEST_CASE(randomHexValuesDiffer)
{
    constexpr int Rounds = 100;
    std::set<std::string> seen;
    for (int i = 0; i < Rounds; ++i) {
        seen.insert(randomHex(16));
    }
    BOOST_TEST(seen.size() == 100U);
    BOOST_TEST(seen.begin()->size() == 32U);
    BOOST_TEST(toHex(std::string("\x00\xff\x1a", 3)) == "00ff1a");
}
