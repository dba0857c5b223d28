/** @file certificate_func.cpp  Generates certificates with OpenSSL. */
#include "support/certificate_func.h"

#include <cstdio>
#include <memory>
#include <stdexcept>

#include <openssl/ec.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

namespace Chestnuthook::Testing
{

namespace
{

constexpr long ValiditySeconds = 3600;

using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;
using File = std::unique_ptr<std::FILE, int (*)(std::FILE *)>;

File openFile(const std::string &path, const char *mode)
{
    File file(std::fopen(path.c_str(), mode), &std::fclose);
    if (file == nullptr) {
        throw std::runtime_error("can't open " + path);
    }
    return file;
}

void addExtension(X509 *certificate, int extensionId, const std::string &value)
{
    X509V3_CTX context;
    X509V3_set_ctx_nodb(&context);
    X509V3_set_ctx(&context, certificate, certificate, nullptr, nullptr, 0);
    X509_EXTENSION *extension = X509V3_EXT_conf_nid(nullptr, &context, extensionId, value.c_str());
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

Certificate createUnsignedCertificate(const std::string &name, EVP_PKEY *key, bool isAuthority)
{
    static long serial = 1;
    Certificate certificate(X509_new(), &X509_free);
    X509_set_version(certificate.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), serial++);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -ValiditySeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), ValiditySeconds);
    X509_set_pubkey(certificate.get(), key);
    X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate.get()), "CN", MBSTRING_ASC,
        reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
    addExtension(certificate.get(), NID_subject_alt_name, "DNS:" + name);
    addExtension(certificate.get(), NID_basic_constraints, isAuthority ? "critical,CA:TRUE" : "CA:FALSE");
    return certificate;
}

} // namespace

void writeCertificate(const std::string &prefix, const std::string &name, const std::string &issuer)
{
    const Key key(EVP_EC_gen("P-256"), &EVP_PKEY_free);
    Certificate certificate = createUnsignedCertificate(name, key.get(), issuer.empty());
    if (issuer.empty()) {
        X509_set_issuer_name(certificate.get(), X509_get_subject_name(certificate.get()));
        X509_sign(certificate.get(), key.get(), EVP_sha256());
    } else {
        const Key issuerKey(
            PEM_read_PrivateKey(openFile(issuer + ".key", "r").get(), nullptr, nullptr, nullptr), &EVP_PKEY_free);
        const Certificate issuerCertificate(
            PEM_read_X509(openFile(issuer + ".crt", "r").get(), nullptr, nullptr, nullptr), &X509_free);
        X509_set_issuer_name(certificate.get(), X509_get_subject_name(issuerCertificate.get()));
        X509_sign(certificate.get(), issuerKey.get(), EVP_sha256());
    }
    PEM_write_PrivateKey(openFile(prefix + ".key", "w").get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    PEM_write_X509(openFile(prefix + ".crt", "w").get(), certificate.get());
}

} // namespace Chestnuthook::Testing
