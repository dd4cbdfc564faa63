#pragma once

#include "base/outcome.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace ivypier {

/// A symmetric key that authenticates messages between the nodes of a fleet. Must never be logged.
class secret_key
{
public:
    /// Derives a key from a passphrase. Returns `invalid_argument` if it has fewer than 16 bytes, `internal`
    /// if libsodium can't be initialized.
    static outcome<secret_key> fromPassphrase(std::string_view passphrase);

    /// Returns the authentication tag (HMAC-SHA-512-256) of a message, 32 raw bytes.
    std::string authenticate(std::string_view message) const;

    /// Returns true if `tag` is the authentication tag of `message`. Compares in constant time.
    bool verify(std::string_view message, std::string_view tag) const;

private:
    std::array<unsigned char, 32> m_key{};
};

/// Returns the SHA-256 digest of a text as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

/// Returns bytes as lower-case hexadecimal digits.
std::string bytesToHex(std::string_view raw);

/// Returns cryptographically secure random bytes as lower-case hexadecimal digits, two per byte.
std::string randomHex(std::size_t bytes);

/// Returns true if two texts are equal. The time it takes depends only on their lengths.
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace ivypier
