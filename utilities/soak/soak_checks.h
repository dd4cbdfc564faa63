#pragma once

#include "fault_schedule.h"
#include "soak_record.h"

#include <vector>

namespace ivypier::soak {

/// What was seen in a run, and how often each check had something to look at.
struct soak_result
{
    std::vector<finding> findings;
    std::size_t calls = 0;
    std::size_t served = 0;
    std::size_t calmCalls = 0;
    std::size_t calmServed = 0;
    std::size_t resumed = 0;
    std::size_t crashingRequests = 0;
};

/// Time within which nodes must know what the others know: the users' bound for machines in touch.
inline constexpr duration contact_time = std::chrono::seconds(3);
/// Share of the calls of each calm spell that must be served.
inline constexpr double min_calm_share = 0.95;
/// Requests that may reach upstreams later than contact_time after the end that makes a cause known.
inline constexpr std::size_t max_late_crashes = 3;
/// Ends after which a part and a call are known to crash upstreams.
inline constexpr std::size_t part_bound_ends = 5;
inline constexpr std::size_t call_bound_ends = 3;

/// Checks what callers and upstreams recorded. Knows nothing of the nodes.
soak_result checkRecords(const std::vector<caller_record> &callers,
                         const std::vector<upstream_record> &upstreams, const fault_schedule &schedule);

} // namespace ivypier::soak
