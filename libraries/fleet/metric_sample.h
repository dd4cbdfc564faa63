#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace ivypier::fleet {

/// What a number that nodes runReportRound each other counts.
enum class metric_kind : std::uint8_t {
    consumed, ///< units of an account's limit, since the teller began
    runs, ///< calls of an account that began to run in a window
    load, ///< tenths of calls under way at an upstream, unread prompts countedConsumption as several
    work, ///< prompt tokens a second that calls of a service bring
    engine_speed, ///< prompt tokens a second that one engine of a service reads
};

inline constexpr auto last_metric_kind = metric_kind::engine_speed;

/// One number that a node tells: of an account, an upstream (by its short name) or a service.
struct metric_sample
{
    metric_kind kind = metric_kind::consumed;
    std::string name;
    std::int64_t window = 0; ///< of `runs`; 0 otherwise
    std::uint64_t value = 0;

    auto operator<=>(const metric_sample &) const = default;
};

} // namespace ivypier::fleet
