#pragma once

#include "fleet/own_fact.h"
#include "relay/run_counter.h"

#include <string>
#include <string_view>

namespace ivypier::fleet {

/// Tells the other nodes how many calls began to run here in the last windows, and adds up what all told.
///
/// Each run of a node has a fact `runs/<incarnation>` with its last windows. A node that ended still counts
/// with what it told last.
class run_board
{
public:
    /// Windows that one fact holds, the current one included.
    static constexpr std::int64_t told_windows = 3;

    run_board(membership::membership_view &members, const relay::run_counter &own);

    /// Tells the windows up to `current` if something changed.
    void publish(std::int64_t current);

    /// The sum of all nodes for a window.
    relay::run_counts total(std::int64_t window) const;

    /// `<window> <account>=<count> ...;<window> ...`
    static std::string encode(const std::map<std::int64_t, relay::run_counts> &windows);

    /// What encode() wrote; windows that can't be read are left out.
    static std::map<std::int64_t, relay::run_counts> decode(std::string_view text);

private:
    membership::membership_view &m_members;
    const relay::run_counter &m_own;
    own_fact m_fact;
};

} // namespace ivypier::fleet
