#pragma once

#include <string>

namespace ivypier::scenarios {

/// Writes a self-signed certificate for numeric addresses, valid for a day, and its private key as PEM files.
/// `addresses` is a comma-separated list. False when that fails.
bool writeCertificate(const std::string &addresses, const std::string &certificatePath,
                      const std::string &keyPath);

} // namespace ivypier::scenarios
