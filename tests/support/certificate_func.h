/** @file certificate_func.h  Generates short-lived X.509 certificates for tests. */
#pragma once

#include <string>

namespace Chestnuthook::Testing
{

/** Generates a key and a certificate for the DNS name @p name, valid for an hour, and writes them as the PEM files
 * @p prefix + ".key" and @p prefix + ".crt". The certificate is signed by the pair with the prefix @p issuer. If that
 * is empty, it is a self-signed certificate authority. @throws std::runtime_error if a file can't be opened. */
void writeCertificate(const std::string &prefix, const std::string &name, const std::string &issuer = "");

} // namespace Chestnuthook::Testing
