#pragma once

#include "base/outcome.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace ivypier {

/// A symmetric key, never written to a log. It authenticates what the nodes of one fleet say to each other.
class secret_key
{
public:
    /// The key of a passphrase of at least 16 bytes.
    static outcome<secret_key> fromPassphrase(std::string_view passphrase);

    /// The authenticator (HMAC-SHA-512-256) of a message, 32 raw bytes.
    std::string authenticate(std::string_view message) const;

    /// True when `tag` is the authenticator of `message`; takes the same time whatever the tag.
    bool verify(std::string_view message, std::string_view tag) const;

private:
    std::array<unsigned char, 32> m_key{};
};

/// The digest (SHA-256) of a text, 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

/// Lower-case hexadecimal digits of raw bytes.
std::string bytesToHex(std::string_view raw);

/// Unpredictable bytes from the operating system, as lower-case hexadecimal digits.
std::string randomHex(std::size_t bytes);

/// Compares two texts in time that depends only on their lengths.
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace ivypier
