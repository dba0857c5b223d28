/** @file deployment_state_base.h  Replicated state machine of a deployment: its configuration and history membership.
 */
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "deployment/endpoint_versions_type.h"
#include "deployment/history_view_type.h"
#include "deployment/strike_table_type.h"

namespace Chestnuthook
{

/** Encoded log commands for DeploymentState. */
[[nodiscard]] std::string configurationCommand(std::uint64_t version, const std::string &document);
[[nodiscard]] std::string viewCommand(const HistoryView &view);
[[nodiscard]] std::string retireCommand(const std::string &instance);
[[nodiscard]] std::string addVersionsCommand(const ServiceVersions &versions);
[[nodiscard]] std::string removeVersionsCommand(const ServiceVersions &versions);
/** Records @p strikes, then forgets those of the requests in @p cleared. */
[[nodiscard]] std::string strikesCommand(
    const std::vector<EndpointStrike> &strikes, const std::vector<std::uint64_t> &cleared);
/** Begins or ends the evacuation of @p dataCentre. */
[[nodiscard]] std::string evacuationCommand(const std::string &dataCentre, bool active);

/** Implements the StateMachine concept. */
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

    std::uint64_t configurationVersion = 0; ///< Highest accepted version; never decreases. 0 for none.
    std::string document; ///< Configuration document as sent by the operator.
    HistoryView view; ///< Membership of the history store; its version never decreases.
    std::set<std::string> retiring; ///< Names of the history instances that are being retired.
    ServiceVersions endpointVersions; ///< Versions of the endpoints that gateways may have used for streams.
    std::set<std::string> evacuated; ///< Data centres whose endpoints must get no request.
    StrikeTable strikes; ///< Requests that may crash endpoints.

private:
    std::uint64_t appliedIndex = 0; ///< Log index of the last applied command.
};

} // namespace Chestnuthook
