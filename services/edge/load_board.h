#pragma once

#include "base/scheduler.h"
#include "membership/membership_view.h"
#include "relay/upstream_directory.h"

#include <map>
#include <string>

namespace ivypier::edge {

/// Tells the other nodes how many calls of this node are under way at each upstream, and adds up what they
/// told. Upstreams are named by a short hash; a collision makes two of them look busier, nothing worse.
class load_board
{
public:
    load_board(membership::membership_view &members, const relay::upstream_directory &upstreams);

    /// Tells the current numbers if they changed, and takes in the others'.
    void update();

    /// Calls of other nodes under way at an upstream, as last told.
    double othersLoad(const std::string &upstream) const;

    static std::string encode(const std::map<std::uint32_t, std::uint32_t> &counts);
    static std::map<std::uint32_t, std::uint32_t> decode(std::string_view text);

private:
    void publish();

    membership::membership_view &m_members;
    const relay::upstream_directory &m_upstreams;
    std::map<std::uint32_t, double> m_others;
    std::string m_told;
    std::uint64_t m_version = 0;
};

} // namespace ivypier::edge
