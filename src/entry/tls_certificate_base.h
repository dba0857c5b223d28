/** @file tls_certificate_base.h  The certificate under which callers reach an entry; read again when its files change,
 * so that it is replaced without a restart. */
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
    /** PEM files: the certificate with its chain, and its key. */
    TlsCertificate(std::string certificateFile, std::string keyFile);

    /** Reads the files. Errors: BadSetting, after which the certificate in use stays. */
    Result<void> load();

    /** The context for a new connection. Looks at the files at most once a second and reads changed ones; files that
     * can't be read are logged and the certificate in use stays. */
    [[nodiscard]] Poco::Net::Context::Ptr current();

private:
    std::string fileTimestamps() const;

    const std::string certificateFile; ///< PEM.
    const std::string keyFile; ///< PEM.
    std::mutex mutex; ///< Guards all below.
    Poco::Net::Context::Ptr context; ///< In use.
    std::string loadedTimestamps; ///< Times of the files when they were read last.
    std::chrono::steady_clock::time_point lastCheck; ///< When the files were looked at last.
};

} // namespace Chestnuthook
