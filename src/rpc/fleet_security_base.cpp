/** @file fleet_security_base.cpp  Loads secrets and certificates. */
#include "rpc/fleet_security_base.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include <gflags/gflags.h>
#include <kj/debug.h>

#include "observe/log_func.h"

DEFINE_string(fleet_certificate, "", "PEM file with this process's certificate; empty: traffic is not encrypted.");
DEFINE_string(fleet_key, "", "PEM file with the key of fleet_certificate.");
DEFINE_string(fleet_trust, "", "PEM file with the authorities whose certificates the fleet's processes have.");

namespace Chestnuthook
{

namespace
{

constexpr auto FileCheckInterval = std::chrono::seconds(1);
constexpr std::string_view CertificateEndMarker = "-----END CERTIFICATE-----";

std::string readText(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), {}};
}

std::string modificationTimeOf(const std::string &path)
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(path, error);
    return error ? "none" : std::to_string(time.time_since_epoch().count());
}

SettingCheckFunction readableFileCheck()
{
    return [](const std::string &value) -> std::optional<std::string> {
        if (value.empty() || std::ifstream(value).good()) {
            return std::nullopt;
        }
        return "can't be read";
    };
}

std::vector<kj::TlsCertificate> parseCertificates(const std::string &text)
{
    std::vector<kj::TlsCertificate> found;
    std::size_t begin = 0;
    for (std::size_t end = text.find(CertificateEndMarker); end != std::string::npos;
         end = text.find(CertificateEndMarker, begin)) {
        end += CertificateEndMarker.size();
        const std::string certificate = text.substr(begin, end - begin) + "\n";
        found.emplace_back(kj::StringPtr(certificate.c_str(), certificate.size()));
        begin = end;
    }
    return found;
}

} // namespace

std::vector<SettingCheck> withFleetSecuritySettings(std::vector<SettingCheck> settings)
{
    const std::string_view remedy =
        "name a readable PEM file, or leave out all three of fleet_certificate, _key and _trust";
    settings.push_back({"fleet_certificate", "security", readableFileCheck(), remedy});
    settings.push_back({"fleet_key", "security", readableFileCheck(), remedy});
    settings.push_back({"fleet_trust", "security", readableFileCheck(), remedy});
    return settings;
}

FleetSecurityFiles fleetSecurityFiles()
{
    FleetSecurityFiles files{"", FLAGS_fleet_certificate, FLAGS_fleet_key, FLAGS_fleet_trust};
    gflags::GetCommandLineOption("secret_file", &files.secret); // Stays empty in a binary without that flag.
    return files;
}

FleetSecurity::FleetSecurity(const std::string &secret, FleetSecurityFiles given)
    : files(std::move(given))
    , secretFileTime(modificationTimeOf(this->files.secret))
    , lastCheck(std::chrono::steady_clock::now())
{
    this->acceptedSecrets.emplace_back();
    this->updateSecrets(secret);
}

void FleetSecurity::updateSecrets(const std::string &text)
{
    std::vector<std::string> found;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (!line.empty()) {
            found.push_back(line);
        }
    }
    if (!found.empty()) { // A file without a secret is probably being rewritten: keep the current ones.
        this->acceptedSecrets = std::move(found);
    }
}

const std::vector<std::string> &FleetSecurity::secrets()
{
    this->reloadChangedFiles();
    return this->acceptedSecrets;
}

std::shared_ptr<kj::TlsContext> FleetSecurity::tls()
{
    if (this->files.certificate.empty()) {
        return nullptr;
    }
    if (this->tlsContext == nullptr) {
        this->loadTls();
    }
    this->reloadChangedFiles();
    return this->tlsContext;
}

void FleetSecurity::reloadChangedFiles()
{
    const auto now = std::chrono::steady_clock::now();
    if (now - this->lastCheck < FileCheckInterval) {
        return;
    }
    this->lastCheck = now;
    const std::string secretTime = modificationTimeOf(this->files.secret);
    if (!this->files.secret.empty() && secretTime != this->secretFileTime) {
        this->secretFileTime = secretTime;
        this->updateSecrets(readText(this->files.secret));
    }
    const std::string tlsTime = modificationTimeOf(this->files.certificate) + modificationTimeOf(this->files.key)
        + modificationTimeOf(this->files.trust);
    if (this->tlsContext != nullptr && tlsTime != this->tlsFileTimes) {
        try {
            this->loadTls();
        } catch (const kj::Exception &exception) {
            this->tlsFileTimes = tlsTime; // Don't retry before the files change again.
            logEvent(EventKind::RequestRejected, {{"error", exception.getDescription().cStr()}});
        }
    }
}

void FleetSecurity::loadTls()
{
    const std::string fileTimes = modificationTimeOf(this->files.certificate) + modificationTimeOf(this->files.key)
        + modificationTimeOf(this->files.trust);
    const std::string certificate = readText(this->files.certificate);
    const std::string key = readText(this->files.key);
    const std::vector<kj::TlsCertificate> trusted = parseCertificates(readText(this->files.trust));
    KJ_REQUIRE(!trusted.empty(), "fleet_trust holds no certificate");
    const kj::TlsKeypair keypair{kj::TlsPrivateKey(kj::StringPtr(key.c_str(), key.size())),
        kj::TlsCertificate(kj::StringPtr(certificate.c_str(), certificate.size()))};
    kj::TlsContext::Options options;
    options.useSystemTrustStore = false;
    options.verifyClients = true;
    options.minVersion = kj::TlsVersion::TLS_1_2;
    options.trustedCertificates = kj::arrayPtr(trusted.data(), trusted.size());
    options.defaultKeypair = keypair;
    this->tlsContext = std::make_shared<kj::TlsContext>(options);
    this->tlsFileTimes = fileTimes;
}

} // namespace Chestnuthook
