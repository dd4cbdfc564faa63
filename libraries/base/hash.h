#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace ivypier {

/// A fast 64-bit hash (XXH3) that is the same on every node; not for secrets.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// hash64 of a text that grows chunk by chunk; each digest costs no second pass over the text.
class streaming_hash
{
public:
    streaming_hash();
    ~streaming_hash();

    /// Appends a chunk to the text.
    void append(std::string_view chunk);

    /// hash64 of everything appended so far.
    std::uint64_t digest() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// The weight of `candidate` for `key` in rendezvous (highest random weight) hashing: the candidate with the
/// greatest weight owns the key.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/// 16 lower-case hexadecimal digits.
std::string toHex(std::uint64_t value);

/// Reads what toHex wrote; 0 when the text is anything else.
std::uint64_t fromHex(std::string_view text);

} // namespace ivypier
