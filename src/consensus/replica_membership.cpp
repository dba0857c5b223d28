/** @file replica_membership.cpp  Bootstrap of a group and changes of its membership. */
#include <utility>

#include <kj/async.h>

#include "consensus/replica_node_base.h"
#include "observe/log_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr Duration BootstrapRetryInterval = std::chrono::milliseconds(200);
constexpr Duration CatchUpPollInterval = std::chrono::milliseconds(25);
constexpr unsigned MaxCatchUpPolls = 2400; ///< Polls before the operator is told to retry: one minute.

std::string nameOfIdentity(const std::string &identity)
{
    return identity.substr(0, identity.rfind('.'));
}

/** Replies of the other members of a new group. */
struct HelloReplies
{
    RaftMembership members; ///< Initial members, all of them voters.
    bool anyHasRaftState = false; ///< One is already part of a group, so this member's folder was wiped.
};

} // namespace

/** Only the first member by name bootstraps the group, and only once all others have reported that they never were part
 * of one. Thus a wiped member can't bootstrap a second group: unless nothing was ever acknowledged, another member has
 * voted or has entries. */
void ReplicaNode::tryBootstrap()
{
    if (this->settings.join || this->hasRaftState() || this->bootstrapping) {
        return;
    }
    const std::string address = this->settings.address;
    auto initial = this->settings.initialMembers;
    initial.emplace(this->settings.name, address);
    if (initial.begin()->first != this->settings.name) {
        return;
    }
    this->bootstrapping = true;
    auto helloReplies = std::make_shared<HelloReplies>();
    helloReplies->members[this->identity()] = RaftMember{initial[this->settings.name], true};
    initial.erase(this->settings.name);
    kj::Vector<kj::Promise<void>> requests;
    for (const auto &[name, memberAddress] : initial) {
        requests.add(
            this->transport.hello(memberAddress).then([helloReplies, memberAddress = memberAddress](auto &&answer) {
                helloReplies->members[textOf(answer.getIdentity())] = RaftMember{memberAddress, true};
                helloReplies->anyHasRaftState = helloReplies->anyHasRaftState || answer.getFounded();
            }));
    }
    this->loop.detach(kj::joinPromises(requests.releaseAsArray())
                          .then(
                              [this, helloReplies]() {
                                  if (!helloReplies->anyHasRaftState && !this->hasRaftState()) {
                                      this->core->bootstrap(helloReplies->members);
                                      this->flush();
                                  }
                              },
                              [](kj::Exception && /*exception*/) {
                                  // Retried below.
                              })
                          .then([this]() {
                              this->bootstrapping = false;
                              this->bootstrapTimer = this->loop.timers().after(BootstrapRetryInterval, [this]() {
                                  this->tryBootstrap();
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
        return Result<void>(fail(ErrorKind::NoQuorum, "another membership change is in progress"));
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
    return this->transport.hello(address).then(
        [this, name, address](auto &&answer) -> kj::Promise<Result<void>> {
            const std::string identity = textOf(answer.getIdentity());
            if (nameOfIdentity(identity) != name) {
                return Result<void>(fail(ErrorKind::Conflict, "the member at " + address + " is " + identity));
            }
            const auto current = this->identityOf(name);
            if (current && *current != identity) {
                return Result<void>(
                    fail(ErrorKind::Conflict, *current + " is a member; remove it first, its data folder is lost"));
            }
            if (current) {
                return this->promoteToVoter(identity, MaxCatchUpPolls);
            }
            RaftMembership next = this->core->membership();
            next[identity] = RaftMember{address, false};
            return this->proposeMembership(std::move(next))
                .then([this, identity](Result<void> &&done) -> kj::Promise<Result<void>> {
                    return done ? this->promoteToVoter(identity, MaxCatchUpPolls)
                                : kj::Promise<Result<void>>(kj::mv(done));
                });
        },
        [address](kj::Exception &&exception) -> kj::Promise<Result<void>> {
            return Result<void>(fail(ErrorKind::NotReady, address + ": " + exception.getDescription().cStr()));
        });
}

kj::Promise<Result<void>> ReplicaNode::addLearner(const std::string &identity, const std::string &address)
{
    RaftMembership next = this->core->membership();
    next[identity] = RaftMember{address, false};
    return this->proposeMembership(std::move(next));
}

kj::Promise<Result<void>> ReplicaNode::promoteLearner(const std::string &identity)
{
    RaftMembership next = this->core->membership();
    const auto member = next.find(identity);
    if (member == next.end()) {
        return Result<void>(fail(ErrorKind::NotFound, "no member " + identity));
    }
    member->second.voter = true;
    return this->proposeMembership(std::move(next));
}

kj::Promise<Result<void>> ReplicaNode::promoteToVoter(std::string identity, unsigned pollsLeft)
{
    const RaftMembership &members = this->core->membership();
    const auto member = members.find(identity);
    if (member == members.end() || !this->isLeader()) {
        return Result<void>(this->notLeader());
    }
    if (member->second.voter) {
        return this->waitUntilReplicated(identity, this->core->commitIndex(), pollsLeft);
    }
    if (this->core->matchIndexOf(identity) < this->core->commitIndex()) {
        if (pollsLeft == 0) {
            return Result<void>(fail(ErrorKind::NoQuorum, identity + " has not caught up with the log yet"));
        }
        return this->loop.kjTimer().afterDelay(kjDuration(CatchUpPollInterval)).then([this, identity, pollsLeft]() {
            return this->promoteToVoter(identity, pollsLeft - 1);
        });
    }
    RaftMembership next = members;
    next[identity].voter = true;
    return this->proposeMembership(std::move(next))
        .then([this, identity, pollsLeft](Result<void> &&done) -> kj::Promise<Result<void>> {
            if (!done) {
                return kj::mv(done);
            }
            return this->waitUntilReplicated(identity, this->core->commitIndex(), pollsLeft);
        });
}

kj::Promise<Result<void>> ReplicaNode::waitUntilReplicated(
    std::string identity, std::uint64_t index, unsigned pollsLeft)
{
    if (this->core->matchIndexOf(identity) >= index) {
        return Result<void>();
    }
    if (pollsLeft == 0 || !this->isLeader()) {
        return Result<void>(fail(ErrorKind::NoQuorum, identity + " does not have all committed entries yet"));
    }
    return this->loop.kjTimer().afterDelay(kjDuration(CatchUpPollInterval)).then([this, identity, index, pollsLeft]() {
        return this->waitUntilReplicated(identity, index, pollsLeft - 1);
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
