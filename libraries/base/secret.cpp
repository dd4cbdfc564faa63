#include "base/secret.h"

#include <sodium.h>

namespace ivypier {

namespace {

constexpr std::size_t min_passphrase_bytes = 16;

const unsigned char *bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

outcome<secret_key> secret_key::fromPassphrase(std::string_view passphrase)
{
    if (sodium_init() < 0)
        return error{error_code::internal, "libsodium does not start"};
    if (passphrase.size() < min_passphrase_bytes)
        return error{error_code::invalid_argument, "a key has at least 16 bytes"};
    secret_key key;
    crypto_generichash(key.m_key.data(), key.m_key.size(), bytes(passphrase), passphrase.size(), nullptr, 0);
    return key;
}

std::string secret_key::authenticate(std::string_view message) const
{
    std::array<unsigned char, crypto_auth_BYTES> tag{};
    crypto_auth(tag.data(), bytes(message), message.size(), m_key.data());
    return std::string(reinterpret_cast<const char *>(tag.data()), tag.size());
}

bool secret_key::verify(std::string_view message, std::string_view tag) const
{
    if (tag.size() != crypto_auth_BYTES)
        return false;
    return crypto_auth_verify(bytes(tag), bytes(message), message.size(), m_key.data()) == 0;
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
    crypto_hash_sha256(digest.data(), bytes(text), text.size());
    return bytesToHex({reinterpret_cast<const char *>(digest.data()), digest.size()});
}

std::string bytesToHex(std::string_view raw)
{
    std::string text(raw.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes(raw), raw.size());
    text.pop_back();
    return text;
}

std::string randomHex(std::size_t bytes)
{
    std::string raw(bytes, '\0');
    randombytes_buf(raw.data(), raw.size());
    return bytesToHex(raw);
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    return sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace ivypier
