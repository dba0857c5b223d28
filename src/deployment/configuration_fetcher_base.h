/** @file configuration_fetcher_base.h  Fetches configurations from the control members, apart from the watch of the
 * leader, so that a large one delays neither updates nor credit. */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <capnp/blob.h>

#include "deployment/configuration_source_choice_base.h"
#include "deployment/control_links_base.h"
#include "deployment/instance_registry_base.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

/** RPC addresses of the control members among @p instances, in the order in which @p instance asks them: a different
 * one for each instance, so that they share the work, and @p leader last, which has the most to do. */
[[nodiscard]] std::vector<std::string> configurationSources(
    const std::vector<InstanceInfo> &instances, const std::string &leader, const std::string &instance);

/** Used by the control thread only. */
class ConfigurationFetcher
{
public:
    /** @p links must outlive this object. */
    ConfigurationFetcher(ControlLoop &loop, ControlLinks &links)
        : loop(loop)
        , links(links)
    {
    }
    ConfigurationFetcher(const ConfigurationFetcher &) = delete;
    ConfigurationFetcher &operator=(const ConfigurationFetcher &) = delete;

    /** Asks control members until `onFetched` has put @p version or a newer one in force. */
    void fetch(std::uint64_t version);
    /** Asks one control member for a version newer than the one in force. For daemons without contact to a leader,
     * which would tell them: followers may know less, but are asked again and again. */
    void poll();

    std::function<std::vector<std::string>()> sources; ///< RPC addresses in the order in which to ask them.
    /** Called for each new version. Resolves with whether it is in force; otherwise it is fetched again. Nothing is
     * fetched meanwhile. */
    std::function<kj::Promise<bool>(std::uint64_t version, std::string document)> onFetched;

private:
    /** Time limit for the answer of one member, including the connection. */
    static constexpr auto AnswerTimeout = 800 * kj::MILLISECONDS;
    /** A connection on which nothing was answered for this long is replaced. It is a little shorter than AnswerTimeout,
     * as it begins when a call has been sent. */
    static constexpr Duration SilenceTimeout = std::chrono::milliseconds(700);

    static constexpr Duration LateReportInterval = std::chrono::seconds(1);

    [[nodiscard]] bool isComplete() const
    {
        return this->inForce >= this->wanted;
    }
    /** Asks members until the fetch is complete. */
    kj::Promise<void> search();
    /** Logs a search that takes long, once each LateReportInterval. */
    void reportIfLate();
    /** Milliseconds since the search began, for a log line. */
    [[nodiscard]] std::string searchMs() const;
    /** Asks a member for @p version or a newer one, if one should be asked now. */
    void askNext(std::uint64_t version);
    kj::Promise<void> ask(std::string address, std::uint64_t version);
    /** Takes the answer of @p address. */
    kj::Promise<void> take(std::string address, std::uint64_t version, capnp::Data::Reader compressed);

    ControlLoop &loop; ///< Must outlive this object.
    ControlLinks &links; ///< Connections to control members.
    ConfigurationSourceChoice choice; ///< Chooses whom to ask and when.
    std::uint64_t wanted = 0; ///< Newest version that is known to exist.
    std::uint64_t inForce = 0; ///< Newest version that `onFetched` has put in force.
    std::uint64_t taking = 0; ///< Version for which `onFetched` is in progress; 0 for none.
    bool isSearching = false; ///< `search` runs.
    Instant searchStart{0}; ///< When the latest search began.
    Instant reportLateAt{0}; ///< When `reportIfLate` logs the search next.
    kj::Own<kj::PromiseFulfiller<void>> callEnded; ///< Continues a search that waits for answers.
};

} // namespace Chestnuthook
