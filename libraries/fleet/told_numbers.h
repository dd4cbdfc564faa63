#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace ivypier::fleet {

/// `<name>=<number> <name>=<number> ...`, as much as fits into a fact. Names hold no space and no `=`.
std::string encodeNumbers(const std::map<std::string, std::uint64_t> &numbers);

/// What encodeNumbers() wrote; entries that can't be read are left out.
std::map<std::string, std::uint64_t> decodeNumbers(std::string_view text);

/// Most bytes that encodeNumbers() gives: a fact holds 512 together with its key.
inline constexpr std::size_t told_text_limit = 460;

} // namespace ivypier::fleet
