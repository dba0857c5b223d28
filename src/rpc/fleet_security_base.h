/** @file fleet_security_base.h  Secrets and certificates with which a process authenticates to the rest of the fleet.
 * They are reloaded when their files change, so that they can be replaced without a restart. */
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <kj/compat/tls.h>

#include "core/settings_func.h"

namespace Chestnuthook
{

/** Paths of a process's security files; an empty path is not used. */
struct FleetSecurityFiles
{
    std::string secret; ///< One secret per line; the first is used for own proofs, all are accepted.
    std::string certificate; ///< PEM certificate chain, issued for FleetServerName.
    std::string key; ///< PEM private key.
    std::string trust; ///< PEM, one or more certificate authorities of the fleet.
};

/** Appends the settings of every binary that connects to the fleet: fleet_certificate, fleet_key, fleet_trust. */
[[nodiscard]] std::vector<SettingCheck> withFleetSecuritySettings(std::vector<SettingCheck> settings);

/** Paths given on the command line. */
[[nodiscard]] FleetSecurityFiles fleetSecurityFiles();

/** Loads the security files and reloads them when they change. Used on the control thread only. */
class FleetSecurity
{
public:
    /** @p secret is the content of the secret file, or of the environment variable that replaces it. */
    FleetSecurity(const std::string &secret, FleetSecurityFiles files);

    /** Secrets that are accepted from the other end; never empty. The first one is used for own proofs. */
    [[nodiscard]] const std::vector<std::string> &secrets();

    /** TLS context for a new connection; null if the fleet's traffic is not encrypted. Existing connections keep the
     * context with which they were made. @throws kj::Exception if the files can't be loaded and never could be. */
    [[nodiscard]] std::shared_ptr<kj::TlsContext> tls();

    /** Host name in the certificate of every process. Peers are verified by it and not by their addresses. */
    static constexpr const char *FleetServerName = "chestnuthook";

private:
    void reloadChangedFiles();
    void updateSecrets(const std::string &text);
    void loadTls();

    FleetSecurityFiles files; ///< Paths of the files.
    std::vector<std::string> acceptedSecrets; ///< Secrets of the last non-empty secret file.
    std::shared_ptr<kj::TlsContext> tlsContext; ///< Used for new connections; null before the first load.
    std::string secretFileTime; ///< Modification time of the secret file when it was last read.
    std::string tlsFileTimes; ///< Modification times of the TLS files when they were last read.
    std::chrono::steady_clock::time_point lastCheck; ///< When the files were last checked for changes.
};

} // namespace Chestnuthook
