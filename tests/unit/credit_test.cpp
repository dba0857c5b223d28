/** @file credit_test.cpp  Rates over the whole deployment: grants of the leader, shares of gateways out of touch. */
#define BOOST_TEST_MODULE credit
#include <boost/test/unit_test.hpp>

#include "deployment/credit_pool_base.h"
#include "gateway/credit_share_base.h"

using namespace Chestnuthook;

namespace
{

constexpr Duration Step = std::chrono::milliseconds(10);

CustomerRule customer(double rate, double burst)
{
    CustomerRule rule;
    rule.name = "glue";
    rule.ratePerSecond = rate;
    rule.burst = burst;
    return rule;
}

/** Gateways that ask one leader without delay. */
class Deployment
{
public:
    Deployment(std::size_t gateways, CustomerRule rule)
        : shares(gateways)
        , rule(std::move(rule))
    {
    }

    bool request(std::size_t gateway, bool isNew, bool inTouch = true)
    {
        CreditShare &share = this->shares[gateway];
        for (int i = 0; i < 3; ++i) {
            switch (share.take(this->now, this->rule, isNew, inTouch, this->shares.size())) {
            case CreditAnswer::Admitted:
                ++this->admitted;
                return true;
            case CreditAnswer::Refused:
                return false;
            case CreditAnswer::Wait:
                this->fetch(share);
                break;
            }
        }
        return false;
    }

    void fetch(CreditShare &share)
    {
        const auto asked = share.wanted(this->now);
        std::map<std::string, std::uint32_t> granted;
        for (const auto &[name, wish] : asked) {
            granted[name] = this->pool.take(this->now, this->rule, wish);
        }
        share.grant(this->now, asked, granted);
    }

    CreditPool pool; ///< The leader's.
    std::vector<CreditShare> shares; ///< One for each gateway.
    CustomerRule rule; ///< The customer's.
    Instant now{1}; ///< Moved by the tests.
    unsigned admitted = 0; ///< Requests.
};

} // namespace

BOOST_AUTO_TEST_CASE(a_hot_customer_gets_its_rate_and_burst_and_no_more)
{
    Deployment deployment(9, customer(100, 100));
    for (int i = 0; i < 1000; ++i) {
        for (std::size_t gateway = 0; gateway < 9; ++gateway) {
            static_cast<void>(deployment.request(gateway, false));
        }
        deployment.now += Step;
    }
    BOOST_TEST(deployment.admitted <= 100 * 10 + 100);
    BOOST_TEST(deployment.admitted >= 100 * 10 * 9 / 10);
}

BOOST_AUTO_TEST_CASE(requests_inside_the_rate_are_never_refused)
{
    Deployment deployment(9, customer(100, 100));
    for (int i = 0; i < 1000; ++i) {
        if (i % 2 == 0) { // 50 a second.
            BOOST_TEST(deployment.request(static_cast<std::size_t>(i / 2 % 9), false));
        }
        deployment.now += Step;
    }
}

/** Trial of a grown deployment: 61 gateways refused 237 requests of customers well inside their rates. */
BOOST_AUTO_TEST_CASE(many_gateways_waste_no_rate_on_customers_that_ask_seldom)
{
    Deployment deployment(60, customer(60, 60));
    unsigned refused = 0;
    std::size_t requests = 0;
    for (int i = 0; i < 2000; ++i) {
        if (i % 5 < 2) { // 40 a second; each gateway sees one in 1.5 s.
            refused += deployment.request(requests++ * 7 % 60, i % 5 == 0) ? 0 : 1;
        }
        deployment.now += Step;
    }
    BOOST_TEST(refused == 0U);
}

BOOST_AUTO_TEST_CASE(programs_under_way_finish_while_new_ones_are_refused)
{
    Deployment deployment(3, customer(40, 40));
    unsigned refusedUnderWay = 0;
    unsigned finished = 0;
    std::vector<unsigned> left; // Requests that each admitted program still makes.
    for (int i = 0; i < 2000; ++i) {
        if (i % 10 == 0 && deployment.request(static_cast<std::size_t>(i / 10 % 3), true)) {
            left.push_back(11); // Ten programs a second want 120 requests a second.
        }
        for (std::size_t p = 0; p < left.size(); ++p) {
            if (left[p] > 0 && i % 25 == static_cast<int>(p % 25)) {
                if (deployment.request(p % 3, false)) {
                    finished += --left[p] == 0 ? 1 : 0;
                } else {
                    ++refusedUnderWay;
                }
            }
        }
        deployment.now += Step;
    }
    BOOST_TEST(finished > 40U);
    BOOST_TEST(refusedUnderWay < finished);
}

BOOST_AUTO_TEST_CASE(gateways_out_of_touch_stay_within_the_rate_together)
{
    Deployment deployment(9, customer(100, 100));
    for (int i = 0; i < 500; ++i) {
        for (std::size_t gateway = 0; gateway < 9; ++gateway) {
            static_cast<void>(deployment.request(gateway, false, false));
        }
        deployment.now += Step;
    }
    BOOST_TEST(deployment.admitted <= 100 * 5 + 100);
    BOOST_TEST(deployment.admitted >= 100 * 5 * 8 / 10);
}

BOOST_AUTO_TEST_CASE(the_share_of_silent_gateways_is_left_to_them)
{
    CreditPool pool;
    pool.setGateways(4, 2);
    Instant now(1);
    const CustomerRule rule = customer(100, 100);
    std::uint32_t granted = 0;
    for (int i = 0; i < 500; ++i) {
        granted += pool.take(now, rule, CreditWish{50, 0});
        now += Step;
    }
    BOOST_TEST(granted <= 70 * 5 + 100); // With the 50 that the silent ones may admit, 1.2 times the rate.
}

BOOST_AUTO_TEST_CASE(a_customer_without_a_limit_is_always_admitted)
{
    Deployment deployment(1, customer(0, 0));
    for (int i = 0; i < 1000; ++i) {
        BOOST_TEST(deployment.request(0, true));
    }
}
