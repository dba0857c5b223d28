/** @file supervisor_test.cpp  Tests of supervisors, under virtual time. */
#define BOOST_TEST_MODULE supervisor
#include <boost/test/unit_test.hpp>

#include <stdexcept>
#include <string>

#include "supervisor/supervisor_base.h"

using namespace Chestnuthook;
using namespace std::chrono_literals;

namespace
{

const Error Fault{ErrorKind::Internal, "boom", Ran::No, 0};

/** Children that append their starts (a, b, …) and stops (A, B, …) to a trace. */
struct Fixture
{
    VirtualTimer timers; ///< Timer service of the supervisors.
    std::string trace; ///< Starts and stops in order; `!` is a failed start.
    int failingStarts = 0; ///< How many of the next starts of `b` fail.
    bool ready = true; ///< Whether `b` is ready.

    ChildSpecification child(std::string_view name, RestartPolicy policy = RestartPolicy::Permanent)
    {
        ChildSpecification specification;
        specification.name = name;
        specification.restart = policy;
        specification.start = [this, name]() -> Result<void> {
            if (name == "b" && this->failingStarts > 0) {
                --this->failingStarts;
                this->trace += "!";
                return fail(ErrorKind::Internal, "no start");
            }
            this->trace += name;
            return {};
        };
        specification.stop = [this, name] {
            this->trace += static_cast<char>(name.front() - 'a' + 'A');
        };
        if (name == "b") {
            specification.ready = [this]() -> Result<void> {
                if (this->ready) {
                    return {};
                }
                return fail(ErrorKind::NotReady, "warming");
            };
        }
        return specification;
    }
    std::vector<ChildSpecification> threeChildren()
    {
        return {this->child("a"), this->child("b"), this->child("c")};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(supervisor, Fixture)

BOOST_AUTO_TEST_CASE(startsInOrderAndStopsInReverse)
{
    Supervisor tree("root", RestartStrategy::OneForOne, {}, timers, threeChildren());
    BOOST_TEST(!tree.ready().has_value());
    BOOST_TEST(tree.start().has_value());
    BOOST_TEST(tree.ready().has_value());
    tree.stop();
    tree.stop();
    BOOST_TEST(trace == "abcCBA");
}

BOOST_AUTO_TEST_CASE(failedStartStopsEarlierChildren)
{
    failingStarts = 1;
    Supervisor tree("root", RestartStrategy::OneForOne, {}, timers, threeChildren());
    const Result<void> started = tree.start();
    BOOST_REQUIRE(!started.has_value());
    BOOST_TEST(started.error().what == "no start");
    BOOST_TEST(trace.starts_with("a!"));
    BOOST_TEST(trace.ends_with("A"));
    BOOST_TEST((trace.find('c') == std::string::npos));
    BOOST_TEST((tree.states()[1].phase == ChildPhase::Failed));
}

BOOST_AUTO_TEST_CASE(oneForOneRestartsOnlyTheFailedChild)
{
    Supervisor tree("root", RestartStrategy::OneForOne, {}, timers, threeChildren());
    BOOST_TEST(tree.start().has_value());
    trace.clear();
    tree.childFailed("b", Fault);
    tree.childFailed("b", Fault);
    BOOST_TEST(trace.empty());
    BOOST_TEST(!tree.ready().has_value());
    BOOST_TEST((tree.states()[1].phase == ChildPhase::Restarting));
    timers.advance(0ms);
    BOOST_TEST(trace == "Bb");
    BOOST_TEST(tree.states()[1].restarts == 1U);
    BOOST_TEST(tree.ready().has_value());
}

BOOST_AUTO_TEST_CASE(restForOneRestartsLaterChildren)
{
    Supervisor tree("root", RestartStrategy::RestForOne, {}, timers, threeChildren());
    BOOST_TEST(tree.start().has_value());
    trace.clear();
    tree.childFailed("b", Fault);
    timers.advance(0ms);
    BOOST_TEST(trace == "CBbc");
}

BOOST_AUTO_TEST_CASE(failedRestartIsRetriedAfterDelay)
{
    Supervisor tree("root", RestartStrategy::RestForOne, {}, timers, threeChildren());
    BOOST_TEST(tree.start().has_value());
    trace.clear();
    failingStarts = 1;
    tree.childFailed("b", Fault);
    timers.advance(99ms);
    BOOST_TEST(trace == "CB!");
    timers.advance(1ms);
    BOOST_TEST(trace.ends_with("bc"));
    BOOST_TEST(tree.ready().has_value());
}

BOOST_AUTO_TEST_CASE(givesUpAboveRestartIntensity)
{
    Supervisor tree("root", RestartStrategy::OneForOne, {2, 10s, 100ms}, timers, threeChildren());
    std::string gaveUp;
    tree.onGiveUp([&](const Error &error) {
        gaveUp = error.what;
    });
    BOOST_TEST(tree.start().has_value());
    for (int i = 0; i < 2; ++i) {
        tree.childFailed("a", Fault);
        timers.advance(1ms);
    }
    timers.advance(10s);
    for (int i = 0; i < 2; ++i) {
        tree.childFailed("a", Fault);
        timers.advance(1ms);
    }
    BOOST_TEST(!tree.gaveUp());
    trace.clear();
    tree.childFailed("a", Fault);
    timers.advance(1ms);
    BOOST_TEST(tree.gaveUp());
    BOOST_TEST(gaveUp == "boom");
    BOOST_TEST(trace == "CBA");
    timers.advance(60s);
    BOOST_TEST(trace == "CBA");
}

BOOST_AUTO_TEST_CASE(pendingRestartDoesNotPreventGivingUp)
{
    Supervisor tree("root", RestartStrategy::RestForOne, {1, 10s, 100ms}, timers, threeChildren());
    BOOST_TEST(tree.start().has_value());
    tree.childFailed("a", Fault);
    tree.childFailed("c", Fault);
    timers.advance(1ms);
    BOOST_TEST(tree.gaveUp());
}

BOOST_AUTO_TEST_CASE(restartPoliciesAreRespected)
{
    Supervisor tree("root", RestartStrategy::OneForOne, {}, timers,
        {child("a", RestartPolicy::Temporary), child("b", RestartPolicy::Transient), child("c")});
    BOOST_TEST(tree.start().has_value());
    trace.clear();
    tree.childFailed("a", Fault);
    tree.childEnded("b");
    tree.childEnded("c");
    timers.advance(1ms);
    BOOST_TEST(trace == "Cc");
    BOOST_TEST((tree.states()[0].phase == ChildPhase::Failed));
    BOOST_TEST((tree.states()[1].phase == ChildPhase::Ended));
}

BOOST_AUTO_TEST_CASE(parentRestartsNestedSupervisorThatGaveUp)
{
    Supervisor inner("inner", RestartStrategy::OneForOne, {0, 10s, 100ms}, timers, {child("b")});
    Supervisor outer("outer", RestartStrategy::OneForOne, {}, timers, {child("a")});
    outer.addSupervisor(inner);
    BOOST_TEST(outer.start().has_value());
    BOOST_TEST(trace == "ab");
    trace.clear();
    inner.childFailed("b", Fault);
    timers.advance(1ms);
    BOOST_TEST(trace == "Bb");
    BOOST_TEST(outer.ready().has_value());
    const std::vector<ChildState> states = outer.states();
    BOOST_REQUIRE(states.size() == 3U);
    BOOST_TEST(states[2].name == "inner/b");
    BOOST_TEST(states[1].restarts == 1U);
}

BOOST_AUTO_TEST_CASE(readinessErrorNamesTheChild)
{
    Supervisor tree("root", RestartStrategy::OneForOne, {}, timers, threeChildren());
    BOOST_TEST(tree.start().has_value());
    ready = false;
    BOOST_TEST(tree.ready().error().what == "b: warming");
    BOOST_TEST(!tree.states()[1].ready);
}

BOOST_AUTO_TEST_CASE(throwingStartIsAFailure)
{
    ChildSpecification throwing = child("a");
    throwing.start = []() -> Result<void> {
        throw std::runtime_error("thrown");
    };
    Supervisor tree("root", RestartStrategy::OneForOne, {}, timers, {throwing});
    const Result<void> started = tree.start();
    BOOST_REQUIRE(!started.has_value());
    BOOST_TEST((started.error().what.find("thrown") != std::string::npos));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(memberFunctionsAreCalled)
{
    struct Part
    {
        Result<void> begin()
        {
            this->running = true;
            return {};
        }
        void end()
        {
            this->running = false;
        }
        [[nodiscard]] Result<void> isReady() const
        {
            return fail(ErrorKind::NotReady, "warming up");
        }
        bool running = false; ///< Between begin and end.
    };
    Part part;
    VirtualTimer timers;
    Supervisor root("root", RestartStrategy::OneForOne, {}, timers,
        {makeChildSpecification("whole", part, &Part::begin, &Part::end, &Part::isReady),
            makeChildSpecification("bare", part, &Part::begin)});
    BOOST_REQUIRE(root.start().has_value());
    BOOST_TEST(part.running);
    BOOST_TEST(root.ready().error().what.find("warming up") != std::string::npos);
    root.stop();
    BOOST_TEST(!part.running);
}
