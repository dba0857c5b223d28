/** @file certificate_func.h  Certificates for tests: made anew by each, valid for an hour. */
#pragma once

#include <string>

namespace Chestnuthook::Testing
{

/** Writes a certificate for the DNS name @p name and its key as PEM files. It is signed by the key and certificate in
 * @p issuer (the prefix of a pair made before), or by itself where that is empty.
 * Files: @p prefix + ".crt" and @p prefix + ".key". @throws std::runtime_error */
void writeCertificate(const std::string &prefix, const std::string &name, const std::string &issuer = "");

} // namespace Chestnuthook::Testing
