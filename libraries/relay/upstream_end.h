#pragma once

#include "base/clock.h"
#include "relay/crash_key.h"

#include <compare>
#include <string>
#include <vector>

namespace ivypier::relay {

/// The end of an upstream without notice, and the keys of the calls that may have caused it: those that one
/// or several nodes had sent there, and whose answers had not begun long before.
struct upstream_end
{
    std::string service;
    std::string upstream; ///< the incarnation that ended
    time_point at{};
    std::vector<crash_suspect> calls;

    auto operator<=>(const upstream_end &) const = default;
};

/// A call is no suspect when its answer had been going on for this long.
inline constexpr duration max_crash_progress = std::chrono::seconds(5);

/// What speaks for the keys of a call.
enum class answer_evidence {
    survived, ///< the upstream went on with the answer for crash_survival_time after its first event
    whole, ///< the answer was whole
};

inline constexpr duration crash_survival_time = std::chrono::seconds(3);
/// An answer that went on for crash_survival_time speaks for its keys only if calls with them had got no
/// further than this when upstreams ended.
inline constexpr duration max_progress_before_survival = crash_survival_time / 3;

} // namespace ivypier::relay
