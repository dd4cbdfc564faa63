#pragma once

#include "base/clock.h"
#include "fleet/told_number.h"
#include "membership/member.h"
#include "relay/run_counter.h"
#include "relay/work_meter.h"

#include <map>
#include <string>
#include <vector>

namespace ivypier::fleet {

/// What the nodes told this one, added up.
///
/// Numbers of a node replace those of its earlier rounds. What a node took of limits only grows, and so do
/// the sums of it, also when the node is gone. Loads and work of a node that fell silent are left out after
/// `told_lifetime`; its runs stay until their window is forgotten.
class fleet_ledger
{
public:
    explicit fleet_ledger(const clock &time);

    /// Takes in a part of a node's round. Parts of earlier rounds than the last are ignored.
    void take(membership::incarnation node, std::uint64_t round, const std::vector<told_number> &numbers);

    /// Units taken and calls under way, of all nodes but one.
    std::vector<told_number> totalsWithout(membership::incarnation node) const;

    /// The runs of all nodes in a window.
    relay::run_counts runsIn(std::int64_t window) const;

    /// The work of all nodes, by service; an engine's speed is the median of what the nodes measured.
    std::map<std::string, relay::service_work> work() const;

    /// Forgets the runs of windows before this one.
    void forgetBefore(std::int64_t window);

private:
    using numbers_by_name = std::map<std::string, std::uint64_t>;

    struct told_by_node
    {
        std::uint64_t firstRound = 0;
        std::uint64_t round = 0;
        time_point toldAt{};
        numbers_by_name taken;
        numbers_by_name counted; ///< what of it went into the sums
        numbers_by_name loads;
        std::map<std::string, relay::service_work> work;
    };

    void takeNumber(membership::incarnation node, told_by_node &entry, const told_number &number);
    void takeUnits(told_by_node &entry, const told_number &number);
    void dropLoads(told_by_node &entry);
    void expire();

    const clock &m_time;
    time_point m_beganAt{}; ///< the first report after a pause in which nobody told anything
    time_point m_toldAt{};
    time_point m_expiredAt{};
    std::map<membership::incarnation, told_by_node> m_nodes;
    numbers_by_name m_taken;
    numbers_by_name m_loads;
    std::map<std::int64_t, std::map<membership::incarnation, relay::run_counts>> m_runs;
};

/// A node that told nothing for so long no longer counts with its loads and its work.
inline constexpr duration told_lifetime = std::chrono::seconds(3);

} // namespace ivypier::fleet
