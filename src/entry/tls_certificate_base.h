/** @file tls_certificate_base.h  The TLS server certificate that an entry presents to clients. It is reloaded when its
 * files change, so that it can be replaced without a restart. */
#pragma once

#include <filesystem>
#include <mutex>
#include <string>

#include <Poco/Net/Context.h>

#include "core/error_type.h"
#include "core/timer_type.h"

namespace Chestnuthook
{

/** Thread-safe. */
class TlsCertificate
{
public:
    /** @param certificateFile PEM file with the certificate and its chain.
     * @param keyFile PEM file with the private key. */
    TlsCertificate(std::string certificateFile, std::string keyFile);

    /** Loads the files. On error (BadSetting) the current certificate stays in use. */
    Result<void> load();

    /** The TLS context for a new connection. Checks the files for changes at most once a second and reloads them. If
     * that fails, logs the error and keeps the current certificate. */
    [[nodiscard]] Poco::Net::Context::Ptr current();

private:
    std::string fileTimestamps() const;

    const std::string certificateFile; ///< Path of the PEM file.
    const std::string keyFile; ///< Path of the PEM file.
    std::mutex mutex; ///< Guards the members below.
    Poco::Net::Context::Ptr context; ///< The context in use.
    std::string loadedTimestamps; ///< Modification times of the files when they were last loaded.
    std::chrono::steady_clock::time_point lastCheck; ///< When the files were last checked for changes.
};

} // namespace Chestnuthook
