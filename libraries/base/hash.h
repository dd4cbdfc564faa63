#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace ivypier {

/// Returns a fast 64-bit hash (XXH3) that is identical on every node. Not cryptographic.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// Computes hash64 incrementally over a text that arrives in chunks. A digest of the text so far doesn't hash
/// it again.
class streaming_hash
{
public:
    streaming_hash();
    ~streaming_hash();

    /// Appends a chunk to the text.
    void append(std::string_view chunk);

    /// Returns hash64 of everything appended so far.
    std::uint64_t digest() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Returns the weight of `candidate` for `key` in rendezvous (highest random weight) hashing: the candidate
/// with the highest weight owns the key.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/// Formats a value as 16 lower-case hexadecimal digits.
std::string toHex(std::uint64_t value);

/// Parses 16 hexadecimal digits. Returns 0 for any other text.
std::uint64_t fromHex(std::string_view text);

} // namespace ivypier
