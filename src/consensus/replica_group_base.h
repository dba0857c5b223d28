/** @file replica_group_base.h  One replicated state machine as its users see it: propose a command, confirm a read.
 * Several machines may stand on one node, that is on one log with one leader. */
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <kj/async.h>

#include "consensus/replica_node_base.h"
#include "core/error_type.h"

namespace Chestnuthook
{

/** What a replicated state machine offers its group. */
template<typename T>
concept StateMachine = requires(T &machine, const T &constMachine, std::uint64_t index, std::string_view bytes)
{
    {
        machine.apply(index, bytes)
        } -> std::same_as<std::string>;
    {
        constMachine.snapshot()
        } -> std::same_as<std::string>;
    machine.restore(bytes);
    {
        constMachine.index()
        } -> std::same_as<std::uint64_t>;
};

template<StateMachine Machine>
class ReplicaGroup
{
public:
    /** Stands on @p node, which outlives it, under @p tag; before the node is opened. */
    ReplicaGroup(ReplicaNode &node, std::uint8_t tag)
        : node(node)
        , tag(tag)
    {
        MachineHooks hooks;
        hooks.apply = [this](std::uint64_t index, std::string_view command) {
            return this->machine.apply(index, command);
        };
        hooks.snapshot = [this]() {
            return this->machine.snapshot();
        };
        hooks.restore = [this](std::string_view bytes) {
            this->machine.restore(bytes);
        };
        node.host(tag, std::move(hooks));
    }
    ReplicaGroup(const ReplicaGroup &) = delete;
    ReplicaGroup &operator=(const ReplicaGroup &) = delete;

    /** Commits @p command. @return the machine's reply; NotLeader or NoQuorum where it can't be committed here. */
    [[nodiscard]] kj::Promise<Result<std::string>> propose(std::string command, std::string requestId = {})
    {
        return this->node.propose(this->tag, std::move(command), std::move(requestId));
    }

    /** Resolves once this member has applied all that was committed when it was called, and a quorum said so. */
    [[nodiscard]] kj::Promise<Result<void>> confirmRead()
    {
        return this->node.confirmRead();
    }

    [[nodiscard]] bool isLeader() const
    {
        return this->node.isLeader();
    }
    [[nodiscard]] std::uint64_t term() const
    {
        return this->node.term();
    }

    Machine machine; ///< The state; changed by committed commands only.

private:
    ReplicaNode &node; ///< The log.
    std::uint8_t tag; ///< Of this machine on it.
};

} // namespace Chestnuthook
