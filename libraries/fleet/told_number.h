#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace ivypier::fleet {

/// What a number that nodes tell each other counts.
enum class number_kind : std::uint8_t {
    taken, ///< units of an account's limit, since the teller began
    runs, ///< calls of an account that began to run in a window
    load, ///< tenths of calls under way at an upstream, unread prompts counted as several
    work, ///< prompt tokens a second that calls of a service bring
    speed, ///< prompt tokens a second that one engine of a service reads
};

inline constexpr auto last_number_kind = number_kind::speed;

/// One number that a node tells: of an account, an upstream (by its short name) or a service.
struct told_number
{
    number_kind kind = number_kind::taken;
    std::string name;
    std::int64_t window = 0; ///< of `runs`; 0 otherwise
    std::uint64_t value = 0;

    auto operator<=>(const told_number &) const = default;
};

} // namespace ivypier::fleet
