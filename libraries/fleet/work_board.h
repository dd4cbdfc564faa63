#pragma once

#include "fleet/own_fact.h"
#include "relay/work_meter.h"

#include <map>

namespace ivypier::fleet {

/// Tells the other nodes how much work this node's calls bring, and adds up what all bring.
class work_board
{
public:
    work_board(membership::membership_view &members, const relay::work_meter &own);

    void publish();

    /// The work of all nodes, by service; the engines' speed is the median of what the nodes measured.
    std::map<std::string, relay::service_work> total() const;

private:
    membership::membership_view &m_members;
    const relay::work_meter &m_meter;
    own_fact m_own;
};

} // namespace ivypier::fleet
