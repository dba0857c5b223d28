/** @file control_links_base.h  The connections of a daemon to the control members. A connection takes several round
 * trips and some processor time at both ends, and after a change of the leader all daemons of a fleet turn to the same
 * member at once: connections are made ahead, an attempt goes on although its first caller has given up, and a
 * connection is replaced only after it has been silent for a while. */
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/timer_base.h"
#include "rpc/control_loop_base.h"
#include "rpc/rpc_link_base.h"

namespace Chestnuthook
{

/** Used by the control thread only. */
class ControlLinks
{
public:
    explicit ControlLinks(ControlLoop &loop)
        : loop(loop)
    {
    }
    ControlLinks(const ControlLinks &) = delete;
    ControlLinks &operator=(const ControlLinks &) = delete;

    /** The services of the member at @p address; connects first if needed. */
    [[nodiscard]] kj::Promise<OfferedServices> services(const std::string &address);
    /** Records an answer of the member at @p address. */
    void recordAnswer(const std::string &address);
    /** Records that a call to the member at @p address failed or got no answer in time. Drops a connection that has
     * ended, or that has answered nothing for @p silence since a call on it; an attempt to connect goes on.
     * @return whether a connection was dropped. */
    bool recordFailure(const std::string &address, const kj::Exception &exception, Duration silence);
    /** Starts to connect to one of @p addresses without a connection, if there is one. */
    void connectAhead(const std::vector<std::string> &addresses);

private:
    struct Link
    {
        std::unique_ptr<RpcLink> rpc; ///< Connection to the member.
        Instant silentSince{0}; ///< When the first call since its last answer was sent; 0 if there is none.
    };

    Link &linkTo(const std::string &address);

    ControlLoop &loop; ///< Must outlive this object.
    std::map<std::string, Link> links; ///< By RPC address.
};

} // namespace Chestnuthook
