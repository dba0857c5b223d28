/** @file deployment_state_base.h  The replicated state of a deployment: its configuration and who holds the history. */
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "deployment/history_view_type.h"

namespace Chestnuthook
{

/** Commands for DeploymentState, as bytes of the log. */
[[nodiscard]] std::string configurationCommand(std::uint64_t version, const std::string &document);
[[nodiscard]] std::string viewCommand(const HistoryView &view);
[[nodiscard]] std::string retireCommand(const std::string &instance);

/** A StateMachine. */
class DeploymentState
{
public:
    std::string apply(std::uint64_t index, std::string_view command);
    [[nodiscard]] std::string snapshot() const;
    void restore(std::string_view bytes);
    [[nodiscard]] std::uint64_t index() const
    {
        return this->appliedIndex;
    }

    std::uint64_t configurationVersion = 0; ///< Highest version accepted; never falls. 0 for none.
    std::string document; ///< The configuration as the operator sent it.
    HistoryView view; ///< Its version never falls.
    std::set<std::string> retiring; ///< Names of history instances that are to be emptied.

private:
    std::uint64_t appliedIndex = 0; ///< Of the last command.
};

} // namespace Chestnuthook
