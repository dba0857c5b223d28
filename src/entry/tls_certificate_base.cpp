/** @file tls_certificate_base.cpp  Loads the TLS server certificate and reloads it after changes. */
#include "entry/tls_certificate_base.h"

#include <chrono>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/NetSSL.h>

#include "observe/log_func.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

constexpr auto FileCheckInterval = std::chrono::seconds(1);
constexpr int VerifyDepth = 9;
constexpr const char *Ciphers = "HIGH:!aNULL:!MD5:!3DES";

std::string modificationTime(const std::string &path)
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(path, error);
    return error ? "none" : std::to_string(time.time_since_epoch().count());
}

} // namespace

TlsCertificate::TlsCertificate(std::string certificateFile, std::string keyFile)
    : certificateFile(std::move(certificateFile))
    , keyFile(std::move(keyFile))
{
    Poco::Net::initializeSSL();
}

std::string TlsCertificate::fileTimestamps() const
{
    return modificationTime(this->certificateFile) + "/" + modificationTime(this->keyFile);
}

Result<void> TlsCertificate::load()
{
    const std::scoped_lock lock(this->mutex);
    this->loadedTimestamps = this->fileTimestamps();
    try {
        Poco::Net::Context::Ptr next = new Poco::Net::Context(Poco::Net::Context::TLS_SERVER_USE, this->keyFile,
            this->certificateFile, "", Poco::Net::Context::VERIFY_NONE, VerifyDepth, false, Ciphers);
        next->requireMinimumProtocol(Poco::Net::Context::PROTO_TLSV1_2);
        this->context = next;
    } catch (const Poco::Exception &exception) {
        return fail(ErrorKind::BadSetting, "tls_certificate or tls_key can't be used: " + exception.displayText());
    }
    return {};
}

Poco::Net::Context::Ptr TlsCertificate::current()
{
    bool changed = false;
    {
        const std::scoped_lock lock(this->mutex);
        const auto now = std::chrono::steady_clock::now();
        if (now - this->lastCheck >= FileCheckInterval) {
            this->lastCheck = now;
            changed = this->fileTimestamps() != this->loadedTimestamps;
        }
    }
    if (changed) {
        const Result<void> loaded = this->load();
        if (!loaded) {
            logEvent(EventKind::RequestRejected, {{"error", errorText(loaded.error())}});
        }
    }
    const std::scoped_lock lock(this->mutex);
    return this->context;
}

} // namespace Chestnuthook
