#pragma once

#include <string>

namespace ivypier::scenarios {

/// Writes a self-signed certificate that is valid for one day, and its private key, as PEM files. `addresses`
/// is a comma-separated list of numeric addresses. Returns false on failure.
bool writeCertificate(const std::string &addresses, const std::string &certificatePath,
                      const std::string &keyPath);

} // namespace ivypier::scenarios
