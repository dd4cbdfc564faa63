#pragma once

#include <cstdint>
#include <string>

namespace ivypier::relay {

/// Returns the id of the incarnation of an upstream that started at `startedAt`, in milliseconds since 1970.
/// It is at most eight bytes longer than the name.
std::string incarnationId(const std::string &name, std::int64_t startedAt);

/// Latest start that an incarnation's id can hold, in 2081.
inline constexpr std::int64_t max_incarnation_start = 3'521'614'606'207;

} // namespace ivypier::relay
