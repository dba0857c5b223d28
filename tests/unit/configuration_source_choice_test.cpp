/** @file configuration_source_choice_test.cpp  Random groups of control members, some of them silent, down or behind:
 * how long a daemon looks for a configuration, and how much it asks for that. */
#define BOOST_TEST_MODULE configuration_source_choice
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "deployment/configuration_source_choice_base.h"

using namespace Chestnuthook;
using namespace std::chrono_literals;

namespace
{

constexpr unsigned Groups = 2000;
constexpr Duration AnswerTimeout = 800ms; ///< After which the caller gives up on a member.
constexpr Duration MaxAnswerTime = 100ms; ///< Of a member that answers promptly.

enum class Behaviour {
    Prompt, ///< Sends the configuration soon.
    Behind, ///< Answers soon that it doesn't have the version.
    Refusing, ///< Refuses connections.
    Silent, ///< Answers nothing.
    Slow, ///< Sends the configuration later than others are asked.
};

/** A group of control members, and the search of one daemon among them in virtual time. */
class Group
{
public:
    explicit Group(unsigned seed)
        : random(seed)
    {
        const int size = this->draw(1, 11);
        for (int i = 0; i < size; ++i) {
            this->sources.push_back("member-" + std::to_string(i));
            this->behaviours[this->sources.back()] = static_cast<Behaviour>(this->draw(0, 4));
        }
    }

    /** Looks for the configuration. @return how long that takes; empty if it isn't found within a minute. */
    std::optional<Duration> search()
    {
        const Instant start = this->now;
        this->asked.clear();
        this->choice.beginSearch();
        while (this->now - start < 1min) {
            if (const auto member = this->choice.choose(this->now, this->sources)) {
                BOOST_TEST(!this->ends.contains(*member), *member << " is asked while a call to it is under way");
                this->asked.push_back(*member);
                this->ends[*member] = this->now + this->answerTime(this->behaviours[*member]);
            }
            const auto first = std::ranges::min_element(this->ends, {}, [](const auto &entry) {
                return entry.second;
            });
            if (first == this->ends.end() || this->choice.nextAskAt() < first->second) {
                this->now = std::max(this->now + 1us, this->choice.nextAskAt());
                continue;
            }
            this->now = std::max(this->now, first->second);
            const std::string member = first->first;
            this->ends.erase(first);
            switch (this->behaviours[member]) {
            case Behaviour::Prompt:
            case Behaviour::Slow:
                this->choice.recordAnswer(this->now, member);
                return this->now - start;
            case Behaviour::Behind:
                this->choice.recordAnswer(this->now, member);
                break;
            case Behaviour::Refusing:
            case Behaviour::Silent:
                this->choice.recordFailure(this->now, member);
                break;
            }
        }
        return std::nullopt;
    }
    [[nodiscard]] long count(Behaviour behaviour) const
    {
        return std::ranges::count_if(this->behaviours, [behaviour](const auto &entry) {
            return entry.second == behaviour;
        });
    }
    void waste(Duration time)
    {
        this->now = this->now + time;
    }

    std::vector<std::string> sources; ///< In the order of preference; the leader is the last one.
    std::map<std::string, Behaviour> behaviours; ///< By member.
    std::vector<std::string> asked; ///< Whom the last search has asked.

private:
    int draw(int min, int max)
    {
        return std::uniform_int_distribution<int>(min, max)(this->random);
    }
    Duration answerTime(Behaviour behaviour)
    {
        const Duration prompt = std::chrono::milliseconds(this->draw(0, static_cast<int>(MaxAnswerTime / 1ms)));
        switch (behaviour) {
        case Behaviour::Silent:
            return AnswerTimeout;
        case Behaviour::Slow:
            return ConfigurationSourceChoice::SilenceLimit + 1ms + prompt;
        case Behaviour::Refusing:
            return Duration(1ms);
        default:
            return prompt;
        }
    }

    std::mt19937 random;
    ConfigurationSourceChoice choice;
    std::map<std::string, Instant> ends; ///< When the calls under way end.
    Instant now{1'000'000}; ///< Virtual time.
};

} // namespace

/** Guards against searches that wait for one silent member after the other. */
BOOST_AUTO_TEST_CASE(silent_members_delay_a_search_by_the_silence_limit_each)
{
    for (unsigned seed = 1; seed <= Groups; ++seed) {
        Group group(seed);
        group.behaviours[group.sources.back()] = Behaviour::Prompt;
        const auto others = group.count(Behaviour::Behind) + group.count(Behaviour::Refusing);
        const Duration bound = group.count(Behaviour::Silent) * ConfigurationSourceChoice::SilenceLimit
            + others * (ConfigurationSourceChoice::RetryDelay + MaxAnswerTime)
            + group.count(Behaviour::Slow) * ConfigurationSourceChoice::SilenceLimit + MaxAnswerTime;
        const auto taken = group.search();
        BOOST_REQUIRE(taken.has_value());
        BOOST_TEST((*taken <= bound), "seed " << seed << ": " << *taken / 1ms << " ms, bound " << bound / 1ms);
    }
}

/** Guards against a silent member that delays each search anew. */
BOOST_AUTO_TEST_CASE(member_that_was_silent_is_asked_after_the_others)
{
    for (unsigned seed = 1; seed <= Groups; ++seed) {
        Group group(seed);
        group.behaviours[group.sources.back()] = Behaviour::Prompt;
        BOOST_REQUIRE(group.search().has_value());
        std::set<std::string> failed;
        for (const std::string &member : group.asked) {
            const Behaviour behaviour = group.behaviours[member];
            if (behaviour == Behaviour::Silent || behaviour == Behaviour::Refusing) {
                failed.insert(member);
            }
        }
        group.waste(AnswerTimeout);
        BOOST_REQUIRE(group.search().has_value());
        for (const std::string &member : group.asked) {
            BOOST_TEST(!failed.contains(member), "seed " << seed << ": " << member << " is asked again");
        }
    }
}

/** Guards against daemons of a large fleet that ask several members for what one of them sends soon. */
BOOST_AUTO_TEST_CASE(nobody_else_is_asked_while_members_answer_promptly)
{
    for (unsigned seed = 1; seed <= Groups; ++seed) {
        Group group(seed);
        for (auto &[member, behaviour] : group.behaviours) {
            behaviour = Behaviour::Prompt;
        }
        for (int searches = 0; searches < 3; ++searches) {
            BOOST_REQUIRE(group.search().has_value());
            BOOST_TEST(group.asked == std::vector<std::string>{group.sources.front()});
            group.waste(1s);
        }
    }
}

/** Guards against a document that can't be read being fetched and read again all the time. */
BOOST_AUTO_TEST_CASE(configuration_that_cannot_be_used_is_fetched_again_after_a_pause)
{
    ConfigurationSourceChoice choice;
    const std::vector<std::string> sources = {"a", "b"};
    std::vector<std::string> asked;
    Instant now{1'000'000};
    const Instant end = now + 10s;
    while (now < end) {
        if (const auto member = choice.choose(now, sources)) {
            asked.push_back(*member);
            choice.recordUnusable(now, *member);
        }
        now = choice.nextAskAt();
    }
    BOOST_TEST(asked.size() == static_cast<std::size_t>(10s / ConfigurationSourceChoice::UnusableDelay));
    BOOST_TEST(std::set<std::string>(asked.begin(), asked.end()).size() == 2U);
}
