/** @file replica_membership.cpp  Founding of a group, and changes of its members. */
#include <utility>

#include <kj/async.h>

#include "consensus/replica_node_base.h"
#include "observe/log_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr Duration FoundingPeriod = std::chrono::milliseconds(200);
constexpr Duration CatchUpLook = std::chrono::milliseconds(25);
constexpr unsigned CatchUpTries = 2400; ///< Looks before an operator is told to ask again: a minute.

std::string nameOfIdentity(const std::string &identity)
{
    return identity.substr(0, identity.rfind('.'));
}

/** What the other members of a new group said. */
struct Greetings
{
    RaftMembership members; ///< With a vote each.
    bool anyFounded = false; ///< One has taken part in a group: then this folder was wiped.
};

} // namespace

/** Only the first by name founds, and only once all others have said that they never took part. So no wiped member
 * founds a second group: the others have voted or hold entries by then, or nothing was ever acknowledged. */
void ReplicaNode::tryFound()
{
    if (this->settings.join || this->hasTakenPart() || this->founding) {
        return;
    }
    const std::string address = this->settings.address;
    auto initial = this->settings.initialMembers;
    initial.emplace(this->settings.name, address);
    if (initial.begin()->first != this->settings.name) {
        return;
    }
    this->founding = true;
    auto greetings = std::make_shared<Greetings>();
    greetings->members[this->identity()] = RaftMember{initial[this->settings.name], true};
    initial.erase(this->settings.name);
    kj::Vector<kj::Promise<void>> asked;
    for (const auto &[name, memberAddress] : initial) {
        asked.add(this->links.hello(memberAddress).then([greetings, memberAddress = memberAddress](auto &&answer) {
            greetings->members[textOf(answer.getIdentity())] = RaftMember{memberAddress, true};
            greetings->anyFounded = greetings->anyFounded || answer.getFounded();
        }));
    }
    this->loop.detach(kj::joinPromises(asked.releaseAsArray())
                          .then(
                              [this, greetings]() {
                                  if (!greetings->anyFounded && !this->hasTakenPart()) {
                                      this->core->found(greetings->members);
                                      this->flush();
                                  }
                              },
                              [](kj::Exception && /*exception*/) {
                                  // Asked again below.
                              })
                          .then([this]() {
                              this->founding = false;
                              this->foundingTimer = this->loop.timers().after(FoundingPeriod, [this]() {
                                  this->tryFound();
                              });
                          }));
}

std::optional<std::string> ReplicaNode::identityOf(const std::string &name) const
{
    for (const auto &[id, member] : this->core->membership()) {
        if (id == name || nameOfIdentity(id) == name) {
            return id;
        }
    }
    return std::nullopt;
}

kj::Promise<Result<void>> ReplicaNode::proposeMembership(RaftMembership next)
{
    if (this->core->role() != RaftRole::Leader) {
        return Result<void>(this->notLeader());
    }
    const auto index = this->core->proposeMembership(next);
    if (!index) {
        return Result<void>(fail(ErrorKind::NoQuorum, "another change of the members is under way"));
    }
    return this->awaitCommit(*index).then([](Result<std::string> &&done) {
        return done ? Result<void>() : Result<void>(tl::unexpected(done.error()));
    });
}

kj::Promise<Result<void>> ReplicaNode::addMember(std::string name, std::string address)
{
    if (!this->isLeader()) {
        return Result<void>(this->notLeader());
    }
    return this->links.hello(address).then(
        [this, name, address](auto &&answer) -> kj::Promise<Result<void>> {
            const std::string identity = textOf(answer.getIdentity());
            if (nameOfIdentity(identity) != name) {
                return Result<void>(fail(ErrorKind::Conflict, "the member at " + address + " is " + identity));
            }
            const auto known = this->identityOf(name);
            if (known && *known != identity) {
                return Result<void>(
                    fail(ErrorKind::Conflict, *known + " is a member; remove it first, its data folder is lost"));
            }
            if (known) {
                return this->promote(identity, CatchUpTries);
            }
            RaftMembership next = this->core->membership();
            next[identity] = RaftMember{address, false};
            return this->proposeMembership(std::move(next))
                .then([this, identity](Result<void> &&done) -> kj::Promise<Result<void>> {
                    return done ? this->promote(identity, CatchUpTries) : kj::Promise<Result<void>>(kj::mv(done));
                });
        },
        [address](kj::Exception &&exception) -> kj::Promise<Result<void>> {
            return Result<void>(fail(ErrorKind::NotReady, address + ": " + exception.getDescription().cStr()));
        });
}

kj::Promise<Result<void>> ReplicaNode::promote(std::string identity, unsigned triesLeft)
{
    const RaftMembership &members = this->core->membership();
    const auto member = members.find(identity);
    if (member == members.end() || !this->isLeader()) {
        return Result<void>(this->notLeader());
    }
    if (member->second.voter) {
        return this->awaitMatch(identity, this->core->commitIndex(), triesLeft);
    }
    if (this->core->matchOf(identity) < this->core->commitIndex()) {
        if (triesLeft == 0) {
            return Result<void>(fail(ErrorKind::NoQuorum, identity + " has not caught up yet"));
        }
        return this->loop.kjTimer().afterDelay(kjDuration(CatchUpLook)).then([this, identity, triesLeft]() {
            return this->promote(identity, triesLeft - 1);
        });
    }
    RaftMembership next = members;
    next[identity].voter = true;
    return this->proposeMembership(std::move(next))
        .then([this, identity, triesLeft](Result<void> &&done) -> kj::Promise<Result<void>> {
            if (!done) {
                return kj::mv(done);
            }
            return this->awaitMatch(identity, this->core->commitIndex(), triesLeft);
        });
}

kj::Promise<Result<void>> ReplicaNode::awaitMatch(std::string identity, std::uint64_t index, unsigned triesLeft)
{
    if (this->core->matchOf(identity) >= index) {
        return Result<void>();
    }
    if (triesLeft == 0 || !this->isLeader()) {
        return Result<void>(fail(ErrorKind::NoQuorum, identity + " does not hold all that is committed yet"));
    }
    return this->loop.kjTimer().afterDelay(kjDuration(CatchUpLook)).then([this, identity, index, triesLeft]() {
        return this->awaitMatch(identity, index, triesLeft - 1);
    });
}

kj::Promise<Result<void>> ReplicaNode::removeMember(std::string name)
{
    if (!this->isLeader()) {
        return Result<void>(this->notLeader());
    }
    const auto identity = this->identityOf(name);
    if (!identity) {
        return Result<void>(fail(ErrorKind::NotFound, "no member " + name));
    }
    RaftMembership next = this->core->membership();
    next.erase(*identity);
    if (next.empty()) {
        return Result<void>(fail(ErrorKind::Conflict, "the last member can't be removed"));
    }
    return this->proposeMembership(std::move(next));
}

} // namespace Chestnuthook
