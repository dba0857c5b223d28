/** @file fleet_security_base.h  The fleet's secrets and certificates as one process holds them; read again when their
 * files change, so that both are replaced without a restart. */
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <kj/compat/tls.h>

#include "core/settings_func.h"

namespace Chestnuthook
{

/** Files of a process; empty names are not in use. */
struct FleetSecurityFiles
{
    std::string secret; ///< One secret a line: the first is proved with, all are accepted.
    std::string certificate; ///< PEM, with its chain; made out to FleetServerName.
    std::string key; ///< PEM.
    std::string trust; ///< PEM, one or several authorities of the fleet's own.
};

/** Rows for the settings of each binary that talks to the fleet: fleet_certificate, fleet_key, fleet_trust. */
[[nodiscard]] std::vector<SettingCheck> withFleetSecuritySettings(std::vector<SettingCheck> settings);

/** The files that the command line names. */
[[nodiscard]] FleetSecurityFiles fleetSecurityFiles();

/** For the control thread. */
class FleetSecurity
{
public:
    /** @p secret is the text of the secret file, or of the variable that stands in for it. */
    FleetSecurity(const std::string &secret, FleetSecurityFiles files);

    /** Secrets by which the other end may prove itself; never empty. The first is the one to prove with. */
    [[nodiscard]] const std::vector<std::string> &secrets();

    /** The context for a new connection; null where the fleet's traffic is not encrypted. Connections keep theirs.
     * @throws kj::Exception where the files can't be used and never could. */
    [[nodiscard]] std::shared_ptr<kj::TlsContext> tls();

    /** The name that each process's certificate is made out to; addresses don't matter. */
    static constexpr const char *FleetServerName = "chestnuthook";

private:
    void refresh();
    void takeSecrets(const std::string &text);
    void loadTls();

    FleetSecurityFiles files; ///< As named.
    std::vector<std::string> accepted; ///< Secrets.
    std::shared_ptr<kj::TlsContext> context; ///< In use; null before the first load.
    std::string secretMark; ///< Time of the secret file when it was read last.
    std::string tlsMark; ///< Times of the TLS files when they were read last.
    std::chrono::steady_clock::time_point looked; ///< When the files were looked at last.
};

} // namespace Chestnuthook
