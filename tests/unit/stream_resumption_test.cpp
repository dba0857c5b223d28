/** @file stream_resumption_test.cpp  Which events of a stream its client has: found, or refused where it isn't certain.
 * A model of clients, gateways and history members, without a network, plays interruptions in random orders. */
#define BOOST_TEST_MODULE stream_resumption
#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdlib>
#include <deque>
#include <memory>
#include <random>

#include "history/stream_progress_table_base.h"
#include "history/stream_resumption_func.h"

using namespace Chestnuthook;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t TurnOne = 7;
constexpr unsigned MemberCount = 3;

/** Events @p first to @p last of @p run. */
std::vector<StreamPiece> pieces(unsigned first, unsigned last, const std::string &run = "a")
{
    std::vector<StreamPiece> made;
    for (unsigned i = first; i <= last; ++i) {
        made.push_back({std::to_string(i), run + std::to_string(i) + "\n"});
    }
    return made;
}

/** @p head and after it @p tail. */
std::vector<StreamPiece> operator+(std::vector<StreamPiece> head, const std::vector<StreamPiece> &tail)
{
    head.insert(head.end(), tail.begin(), tail.end());
    return head;
}

StreamProgress progress(const std::vector<StreamBranch> &branches)
{
    StreamProgress made;
    made.turn = TurnOne;
    made.members = MemberCount;
    for (const StreamBranch &branch : branches) {
        made.branches.emplace(branch.request, branch);
    }
    return made;
}

/** The doubt about a stream of which two members hold @p branches. */
std::optional<ResumptionDoubt> doubt(const std::vector<StreamBranch> &branches, const std::string &lastEventId)
{
    const auto found = findStreamBeginning({progress(branches), progress(branches)}, TurnOne, lastEventId);
    return found ? std::nullopt : std::optional(found.error());
}

} // namespace

BOOST_AUTO_TEST_CASE(client_has_the_events_up_to_its_last_one)
{
    const StreamBranch whole{"r1", "", 0, pieces(1, 8)};
    const StreamBranch behind{"r1", "", 0, pieces(1, 2)};
    const auto found = findStreamBeginning({progress({behind}), progress({whole})}, TurnOne, "4");
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST((found->pieces == pieces(1, 4)));
    BOOST_TEST(found->parent == "r1");
}

// Events of the first run after those that a resumption has brought.
BOOST_AUTO_TEST_CASE(events_after_a_resumption_are_those_of_the_resumption)
{
    const StreamBranch first{"r1", "", 0, pieces(1, 8, "a")};
    const StreamBranch second{"r2", "r1", 4, pieces(1, 4, "a") + pieces(5, 6, "b")};
    const auto found = findStreamBeginning({progress({first}), progress({first, second})}, TurnOne, "6");
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST((found->pieces == second.pieces));
    BOOST_TEST(found->parent == "r2");
    BOOST_TEST((found->shares == std::vector<StreamShare>{{"r2", 2}, {"r1", 4}}));
    const StreamBranch firstBehind{"r1", "", 0, pieces(1, 1, "a")};
    const auto behind = findStreamBeginning({progress({firstBehind}), progress({second})}, TurnOne, "6");
    BOOST_REQUIRE(behind.has_value());
    BOOST_TEST((behind->shares == found->shares));
    BOOST_TEST((doubt({first, second}, "7") == ResumptionDoubt::UnknownEvent));
}

BOOST_AUTO_TEST_CASE(two_resumptions_after_the_same_event_leave_doubt_about_later_events)
{
    const StreamBranch first{"r1", "", 0, pieces(1, 4)};
    const StreamBranch second{"r2", "r1", 4, pieces(1, 4) + pieces(5, 6, "b")};
    const StreamBranch third{"r3", "r1", 4, pieces(1, 4)};
    BOOST_TEST((doubt({first, second, third}, "4") == std::nullopt));
    BOOST_TEST((doubt({first, second, third}, "6") == ResumptionDoubt::SeveralWriters));
}

// A gateway that follows the branches in a circle.
BOOST_AUTO_TEST_CASE(request_id_of_two_resumptions_leaves_doubt)
{
    const StreamBranch first{"r1", "", 0, pieces(1, 4)};
    const StreamBranch second{"r2", "r1", 4, pieces(1, 6)};
    const StreamBranch again{"r2", "r2", 6, pieces(1, 6)};
    const auto found = findStreamBeginning({progress({first, again}), progress({first, second})}, TurnOne, "6");
    BOOST_TEST((found.error() == ResumptionDoubt::SeveralWriters));
    BOOST_TEST((doubt({first, again}, "6") == ResumptionDoubt::UnknownEvent));
    const StreamBranch third{"r3", "r2", 5, pieces(1, 6)};
    const StreamBranch fourth{"r2", "r3", 6, pieces(1, 6)};
    BOOST_TEST((doubt({first, third, fourth}, "6") == ResumptionDoubt::SeveralWriters));
}

BOOST_AUTO_TEST_CASE(resumption_needs_a_majority_of_the_members_that_were_told)
{
    const StreamProgress known = progress({{"r1", "", 0, pieces(1, 4)}});
    BOOST_TEST((findStreamBeginning({known}, TurnOne, "4").error() == ResumptionDoubt::TooFewMembers));
    BOOST_TEST((findStreamBeginning({}, TurnOne, "4").error() == ResumptionDoubt::TooFewMembers));
    BOOST_TEST(findStreamBeginning({known, known}, TurnOne, "4").has_value());
}

BOOST_AUTO_TEST_CASE(beginning_of_another_turn_is_refused)
{
    const StreamProgress known = progress({{"r1", "", 0, pieces(1, 4)}});
    BOOST_TEST((findStreamBeginning({known, known}, TurnOne + 1, "4").error() == ResumptionDoubt::AnotherTurn));
    BOOST_TEST(turnHash("/a", "", "body") != turnHash("/a", "b", "ody"));
    BOOST_TEST(turnHash("/a", "", "body") != turnHash("/a", "p", "body"));
    BOOST_TEST(turnHash("/a", "", "body") != turnHash("/b", "", "body"));
}

BOOST_AUTO_TEST_CASE(events_without_ids_of_their_own_leave_doubt)
{
    BOOST_TEST((doubt({{"r1", "", 0, {{"1", "x"}, {"", "y"}, {"2", "z"}}}}, "1") == ResumptionDoubt::WithoutIds));
    BOOST_TEST((doubt({{"r1", "", 0, {{"1", "x"}, {"1", "y"}, {"2", "z"}}}}, "2") == ResumptionDoubt::WithoutIds));
    BOOST_TEST((doubt({{"r1", "", 0, {{"2", "x"}, {"1", "y"}}}}, "1") == std::nullopt));
}

namespace
{

/** Plays one client with a turn that is interrupted at random, until the client has got its end. */
class Model
{
public:
    explicit Model(std::uint64_t seed, bool hasFaults)
        : random(seed)
        , hasFaults(hasFaults)
    {
    }

    /** @return whether the client's turn is kept with exactly what the client received. */
    bool play()
    {
        for (unsigned step = 0; step < MaxSteps && !this->isFinished; ++step) {
            this->act();
        }
        return this->isRight;
    }

    bool isFinished = false; ///< The client has got the end of the turn.
    unsigned refused = 0; ///< Resumptions that were refused.
    unsigned resumed = 0; ///< Resumptions that ran.

private:
    static constexpr unsigned EventCount = 6; ///< Events of the turn.
    static constexpr unsigned MaxSteps = 4000;
    static constexpr unsigned MaxRefusals = 3; ///< The client then begins the turn again.

    enum class Stage : std::uint8_t { Asking, Resuming, Running, Ended };

    /** A member and the calls on their way to it from one gateway. */
    struct Channel
    {
        std::deque<std::function<bool(StreamProgressTable &)>> calls; ///< In order; each returns whether it was held.
        bool isBroken = false; ///< Later calls are lost.
    };

    /** A request at a gateway. */
    struct Attempt
    {
        std::string request; ///< Its id.
        StreamKey stream; ///< The stream that it begins or resumes.
        std::string lastEventId; ///< Empty if it begins the stream.
        Stage stage = Stage::Running;
        StreamBeginning beginning; ///< Events before this request.
        std::vector<StreamPiece> sent; ///< All events of the stream that were recorded.
        std::size_t delivered = 0; ///< Number of these that were sent to the client.
        unsigned accepted = 0; ///< Members that hold the resumption.
        std::size_t held = 0; ///< Most events that a member is known to hold.
        std::array<Channel, MemberCount> channels; ///< To the members.

        [[nodiscard]] std::size_t resumedFrom() const
        {
            return this->beginning.pieces.size();
        }
    };

    bool chance(unsigned percent)
    {
        return this->random() % 100 < percent;
    }

    void act()
    {
        if (this->hasFaults && this->chance(1)) {
            this->members[this->random() % MemberCount] = StreamProgressTable();
        }
        // A client without faults around it leaves only a request that has brought it an event.
        const bool mayLeave =
            this->reading != nullptr && (this->hasFaults || this->reading->delivered > this->reading->resumedFrom());
        if (this->reading == nullptr || (mayLeave && this->chance(10))) {
            this->sendRequest();
            return;
        }
        Attempt &attempt = this->chance(60) ? *this->reading : *this->attempts[this->random() % this->attempts.size()];
        const std::size_t member = this->random() % MemberCount;
        if (this->hasFaults && this->chance(2)) {
            attempt.channels[member].isBroken = true;
        }
        if (this->hasFaults && this->chance(1)) {
            attempt.stage = Stage::Ended; // The gateway is killed; calls on their way still arrive.
        }
        if (&attempt != this->reading && attempt.stage != Stage::Ended && this->chance(10)) {
            this->leave(attempt);
        }
        if (this->chance(70)) {
            this->deliverCall(attempt, member);
        }
        switch (attempt.stage) {
        case Stage::Asking:
            this->ask(attempt);
            break;
        case Stage::Resuming:
            if (2 * attempt.accepted > attempt.beginning.members) {
                attempt.stage = Stage::Running;
                ++this->resumed;
            }
            break;
        case Stage::Running:
            this->run(attempt);
            break;
        case Stage::Ended:
            break;
        }
    }

    /** The client gives up the request that it reads, if any, and goes on with another one. */
    void sendRequest()
    {
        auto attempt = std::make_unique<Attempt>();
        attempt->request = "r" + std::to_string(++this->ids);
        if (this->refusals == MaxRefusals) {
            this->received.clear();
            this->refusals = 0;
        }
        if (this->received.empty()) {
            this->first = attempt->request;
            attempt->stream = {attempt->request, "glue"};
            for (Channel &channel : attempt->channels) {
                channel.calls.emplace_back([stream = attempt->stream](StreamProgressTable &table) {
                    return table.begin(Instant(1), stream, TurnOne, MemberCount, 10s);
                });
            }
        } else {
            attempt->stream = {this->first, "glue"};
            attempt->lastEventId = this->received.back().id;
            attempt->stage = Stage::Asking;
        }
        this->reading = attempt.get();
        this->attempts.push_back(std::move(attempt));
    }

    /** The gateway notices that the client has left. */
    static void leave(Attempt &attempt)
    {
        attempt.stage = Stage::Ended;
        if (!attempt.lastEventId.empty() && attempt.sent.size() == attempt.resumedFrom()) {
            for (Channel &channel : attempt.channels) {
                channel.calls.emplace_back([&attempt](StreamProgressTable &table) {
                    table.withdraw(attempt.stream, attempt.request);
                    return true;
                });
            }
        }
    }

    void deliverCall(Attempt &attempt, std::size_t member)
    {
        Channel &channel = attempt.channels[member];
        if (channel.calls.empty()) {
            return;
        }
        const auto call = std::move(channel.calls.front());
        channel.calls.pop_front();
        const bool isLost = this->hasFaults && this->chance(2); // Later ones are sent before that is noticed.
        if (!channel.isBroken && !isLost) {
            channel.isBroken = !call(this->members[member]);
        }
    }

    void ask(Attempt &attempt)
    {
        std::vector<StreamProgress> answers;
        for (StreamProgressTable &member : this->members) {
            if (const auto answer = member.find(Instant(2), attempt.stream);
                answer && !this->chance(this->hasFaults ? 20 : 0)) {
                answers.push_back(*answer);
            }
        }
        const auto found = findStreamBeginning(answers, TurnOne, attempt.lastEventId);
        if (!found) {
            const bool mayPass =
                found.error() == ResumptionDoubt::TooFewMembers || found.error() == ResumptionDoubt::UnknownEvent;
            if (mayPass && !this->chance(this->hasFaults ? 10 : 0)) {
                return; // Asks again.
            }
            attempt.stage = Stage::Ended;
            ++this->refused;
            this->refusals += this->reading == &attempt ? 1 : 0;
            this->reading = this->reading == &attempt ? nullptr : this->reading;
            return;
        }
        attempt.stage = Stage::Resuming;
        attempt.beginning = *found;
        attempt.sent = found->pieces;
        attempt.delivered = attempt.sent.size();
        attempt.held = attempt.sent.size();
        const StreamBranch resumption{attempt.request, found->parent, found->pieces.size(), found->pieces};
        for (Channel &channel : attempt.channels) {
            channel.calls.emplace_back([&attempt, resumption](StreamProgressTable &table) {
                const bool isHeld = table.resume(attempt.stream, resumption);
                attempt.accepted += isHeld ? 1 : 0;
                return isHeld;
            });
        }
    }

    /** The endpoint makes an event, or the gateway sends one on, or the end. */
    void run(Attempt &attempt)
    {
        if (attempt.delivered < attempt.sent.size()) {
            const bool isLate = this->hasFaults && this->chance(5);
            if (attempt.held > attempt.delivered || isLate) {
                this->deliverEvent(attempt);
            }
            return;
        }
        if (attempt.sent.size() == EventCount) {
            attempt.stage = Stage::Ended;
            if (this->reading == &attempt) { // The turn is stored, and the client gets the end.
                this->isFinished = true;
                this->isRight = attempt.sent == this->received;
            }
            return;
        }
        const std::size_t position = attempt.sent.size();
        const auto number = static_cast<unsigned>(position) + 1;
        attempt.sent.push_back({std::to_string(number), attempt.request + " " + std::to_string(number) + "\n"});
        for (Channel &channel : attempt.channels) {
            channel.calls.emplace_back([&attempt, position, piece = attempt.sent.back()](StreamProgressTable &table) {
                const bool isHeld = table.add(attempt.stream, attempt.request, position, {piece});
                attempt.held = isHeld ? std::max(attempt.held, position + 1) : attempt.held;
                return isHeld;
            });
        }
    }

    void deliverEvent(Attempt &attempt)
    {
        if (this->reading == &attempt) {
            this->received.push_back(attempt.sent[attempt.delivered]);
        }
        ++attempt.delivered;
    }

    std::mt19937_64 random; ///< Decides what happens next.
    const bool hasFaults; ///< Gateways are killed, members restart, calls are lost.
    std::array<StreamProgressTable, MemberCount> members;
    std::vector<std::unique_ptr<Attempt>> attempts; ///< All, also those that no client reads any more.
    Attempt *reading = nullptr; ///< The request whose response the client reads; null for none.
    std::vector<StreamPiece> received; ///< What the client has.
    std::string first; ///< Request that brought the first event.
    unsigned refusals = 0; ///< Refusals since the client began the turn.
    unsigned ids = 0; ///< Number of request ids given out.
    bool isRight = true; ///< See `play`.
};

/** Seeds of a randomized case, more of them by hand. */
std::uint64_t seedCount()
{
    constexpr std::uint64_t DefaultSeeds = 10000;
    const char *text = std::getenv("CHESTNUTHOOK_MODEL_SEEDS");
    return text == nullptr ? DefaultSeeds : std::stoull(text);
}

} // namespace

// Pieces of two runs, or half a turn, kept as the turn of a client that was interrupted in any order.
BOOST_AUTO_TEST_CASE(interrupted_turn_is_kept_with_exactly_what_its_client_received)
{
    unsigned finished = 0;
    unsigned resumed = 0;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        Model model(seed, true);
        BOOST_TEST(model.play(), "seed " << seed);
        finished += model.isFinished ? 1 : 0;
        resumed += model.resumed;
    }
    BOOST_TEST(finished * 2 > seedCount());
    BOOST_TEST(resumed > seedCount());
}

// A resumption that is refused although nothing but its client's connection broke.
BOOST_AUTO_TEST_CASE(resumption_is_accepted_if_only_the_client_left)
{
    unsigned refused = 0;
    unsigned resumed = 0;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        Model model(seed, false);
        BOOST_TEST(model.play(), "seed " << seed);
        BOOST_TEST(model.isFinished, "seed " << seed);
        refused += model.refused;
        resumed += model.resumed;
    }
    BOOST_TEST(refused == 0U);
    BOOST_TEST(resumed > seedCount());
}
