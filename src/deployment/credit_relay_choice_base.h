/** @file credit_relay_choice_base.h  Through which control member a daemon requests credit. No I/O, no clock. */
#pragma once

#include <string>
#include <vector>

#include "core/timer_type.h"
#include "deployment/instance_registry_base.h"

namespace Chestnuthook
{

class CreditRelayChoice
{
public:
    /** Who asks for credit. */
    struct Asker
    {
        std::string name; ///< Name of the daemon.
        std::string dataCentre; ///< Its data centre.
    };

    /** RPC address of the member to ask: of those in @p instances that relay and aren't the @p leader, one of the data
     * centre of @p asker if there is one, always the same while calls are answered. Empty if the leader itself should
     * be asked, since there is no other one or two have failed within AvoidTime. */
    [[nodiscard]] std::string choose(
        Instant now, const Asker &asker, const std::vector<InstanceInfo> &instances, const std::string &leader) const;

    void recordAnswer()
    {
        this->failures = 0;
    }
    void recordFailure(Instant now);

private:
    static constexpr unsigned MaxFailures = 2; ///< After as many in a row, the leader is asked itself.
    static constexpr Duration AvoidTime = std::chrono::seconds(1); ///< Failures before it don't count any more.

    unsigned failures = 0; ///< Calls since the last answer that failed.
    Instant failedAt{0}; ///< When the last one failed.
};

} // namespace Chestnuthook
