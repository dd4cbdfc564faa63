#pragma once

#include "membership/gossip_message.h"

#include <cstddef>
#include <map>
#include <string>
#include <variant>

namespace ivypier::membership {

/// Updates that this node piggybacks on its messages, the least often sent first. Each update is sent a
/// number of times that grows with the logarithm of the fleet size; a newer update replaces the older one
/// about the same subject.
class broadcast_queue
{
public:
    void add(member_update update);
    void add(fact_update update);

    /// Copies as many updates into `message` as fit into `availableBytes` bytes, and drops those that were
    /// sent often enough for a fleet of `members`.
    void fill(gossip_message &message, std::size_t availableBytes, std::size_t members);

    bool empty() const;
    std::size_t size() const;

    /// Returns how many times each node sends one update.
    static std::size_t maxTransmissions(std::size_t members);

private:
    struct entry
    {
        std::variant<member_update, fact_update> update;
        std::size_t size = 0;
    };
    using send_order = std::pair<std::size_t, std::uint64_t>; ///< times sent, then insertion order

    void insert(const std::string &subject, entry added);

    std::map<send_order, std::pair<std::string, entry>> m_entries;
    std::map<std::string, send_order> m_subjects;
    std::uint64_t m_next = 0;
};

/// Most updates that wait for transmission; beyond this, the most often sent one is dropped.
inline constexpr std::size_t max_queued_updates = 1024;

} // namespace ivypier::membership
