#pragma once

#include "fleet/told_number.h"
#include "relay/run_counter.h"
#include "relay/unit_quota.h"
#include "relay/upstream_directory.h"
#include "relay/work_meter.h"

#include <vector>

namespace ivypier::fleet {

/// The name under which nodes tell the load of an upstream: a few digits of its hash. A collision makes two
/// upstreams look busier, nothing worse.
std::string shortName(const std::string &upstream);

/// Loads are told in whole tenths of a call.
inline constexpr double load_units_per_call = 10.0;

/// What this node tells the others.
class own_numbers
{
public:
    /// Windows whose runs are told each time, the current one included, and those told every few rounds, for
    /// nodes that begin to add up.
    static constexpr std::int64_t told_windows = 2;
    static constexpr std::int64_t repeated_windows = 5;
    static constexpr std::uint64_t rounds_per_repeat = 4;

    own_numbers(const relay::unit_quota &quota, const relay::run_counter &runs,
                const relay::upstream_directory &upstreams, const relay::work_meter &work);

    /// The numbers of a round; `window` is the current one.
    std::vector<told_number> collect(std::uint64_t round, std::int64_t window) const;

private:
    const relay::unit_quota &m_quota;
    const relay::run_counter &m_runs;
    const relay::upstream_directory &m_upstreams;
    const relay::work_meter &m_work;
};

} // namespace ivypier::fleet
