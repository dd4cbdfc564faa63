#pragma once

#include "base/random_source.h"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

namespace ivypier {

/// Returns the number of rounds of a test with mutated texts: `count`, or the value of the environment
/// variable IVYPIER_FUZZ_ROUNDS if it is set.
inline std::uint64_t fuzzRounds(std::uint64_t count)
{
    const char *fixedRounds = std::getenv("IVYPIER_FUZZ_ROUNDS");
    return fixedRounds ? std::strtoull(fixedRounds, nullptr, 10) : count;
}

/// Returns one of the samples with a few random changes: bytes that are replaced, ranges that are removed,
/// repeated or taken from another sample, and tokens that are inserted.
inline std::string mutatedText(random_source &randomness, const std::vector<std::string> &samples,
                               const std::vector<std::string> &tokens)
{
    constexpr std::size_t maxChanges = 4;
    constexpr std::size_t maxRangeBytes = 40;
    std::string text = samples[randomness.index(samples.size())];
    const std::size_t changes = randomness.index(maxChanges + 1);
    for (std::size_t change = 0; change < changes && !text.empty(); ++change) {
        const std::size_t at = randomness.index(text.size());
        const std::size_t size = 1 + randomness.index(maxRangeBytes);
        switch (randomness.index(5)) {
        case 0:
            text[at] = static_cast<char>(randomness.index(256));
            break;
        case 1:
            text.erase(at, size);
            break;
        case 2:
            text.insert(at, text.substr(at, size));
            break;
        case 3:
            text.insert(at, tokens[randomness.index(tokens.size())]);
            break;
        default: {
            const std::string &other = samples[randomness.index(samples.size())];
            text = text.substr(0, at) + other.substr(randomness.index(other.size()));
            break;
        }
        }
    }
    return text;
}

/// Splits a text into pieces of random sizes, most of them short.
inline std::vector<std::string> randomPieces(random_source &randomness, const std::string &text)
{
    std::vector<std::string> pieces;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t longest = randomness.index(4) == 0 ? 200 : 5;
        pieces.push_back(text.substr(at, 1 + randomness.index(longest)));
        at += pieces.back().size();
    }
    return pieces;
}

} // namespace ivypier
