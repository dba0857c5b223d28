/** @file replica_group_base.h  A replicated state machine with typed access: propose commands and confirm reads.
 * Several state machines may share one node, that is one log with one leader. */
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

/** Requirements for a replicated state machine. */
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
    /** Registers with @p node, which must outlive this, under @p tag. Must be called before the node is opened. */
    ReplicaGroup(ReplicaNode &node, std::uint8_t tag)
        : node(node)
        , tag(tag)
    {
        StateMachineCallbacks callbacks;
        callbacks.apply = [this](std::uint64_t index, std::string_view command) {
            return this->machine.apply(index, command);
        };
        callbacks.snapshot = [this]() {
            return this->machine.snapshot();
        };
        callbacks.restore = [this](std::string_view bytes) {
            this->machine.restore(bytes);
        };
        node.addStateMachine(tag, std::move(callbacks));
    }
    ReplicaGroup(const ReplicaGroup &) = delete;
    ReplicaGroup &operator=(const ReplicaGroup &) = delete;

    /** Commits @p command. @return the state machine's reply; NotLeader or NoQuorum if it can't be committed here. */
    [[nodiscard]] kj::Promise<Result<std::string>> propose(std::string command, std::string requestId = {})
    {
        return this->node.propose(this->tag, std::move(command), std::move(requestId));
    }

    /** Resolves once this member has applied all entries that were committed at the time of the call, as confirmed by a
     * quorum. */
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

    Machine machine; ///< State machine; changed by committed commands only.

private:
    ReplicaNode &node; ///< Node with the replicated log.
    std::uint8_t tag; ///< Tag of this state machine on the log.
};

} // namespace Chestnuthook
