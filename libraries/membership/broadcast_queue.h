#pragma once

#include "membership/gossip_message.h"

#include <cstddef>
#include <map>
#include <string>
#include <variant>

namespace ivypier::membership {

/// News that this node passes on with its messages, the least sent first. Each is sent a number of times that
/// grows with the logarithm of the fleet; newer update of one subject takes the position of the older.
class broadcast_queue
{
public:
    void add(member_update update);
    void add(fact_update update);

    /// Puts as much update into `message` as `availableBytes` bytes hold and drops what was sent often enough
    /// in a fleet of `members`.
    void fill(gossip_message &message, std::size_t availableBytes, std::size_t members);

    bool empty() const;
    std::size_t size() const;

    /// How often one piece of update is sent by each node.
    static std::size_t maxTransmissions(std::size_t members);

private:
    struct entry
    {
        std::variant<member_update, fact_update> update;
        std::size_t size = 0;
    };
    using send_order = std::pair<std::size_t, std::uint64_t>; ///< times sent, then age

    void insert(const std::string &subject, entry added);

    std::map<send_order, std::pair<std::string, entry>> m_entries;
    std::map<std::string, send_order> m_subjects;
    std::uint64_t m_next = 0;
};

/// Most pieces of update that wait to be passed on; past it, the most sent are dropped.
inline constexpr std::size_t max_queued_updates = 1024;

} // namespace ivypier::membership
