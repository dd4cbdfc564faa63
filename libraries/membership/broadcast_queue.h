#pragma once

#include "membership/gossip_message.h"

#include <cstddef>
#include <map>
#include <string>
#include <variant>

namespace ivypier::membership {

/// News that this node passes on with its messages, the least sent first. Each is sent a number of times that
/// grows with the logarithm of the fleet; newer news of one subject takes the place of the older.
class broadcast_queue
{
public:
    void add(member_news news);
    void add(fact_news news);

    /// Puts as much news into `message` as `room` bytes hold and drops what was sent often enough in a fleet
    /// of `members`.
    void fill(gossip_message &message, std::size_t room, std::size_t members);

    bool empty() const;
    std::size_t size() const;

    /// How often one piece of news is sent by each node.
    static std::size_t sendLimit(std::size_t members);

private:
    struct entry
    {
        std::variant<member_news, fact_news> news;
        std::size_t size = 0;
    };
    using order = std::pair<std::size_t, std::uint64_t>; ///< times sent, then age

    void insert(const std::string &subject, entry fresh);

    std::map<order, std::pair<std::string, entry>> m_entries;
    std::map<std::string, order> m_subjects;
    std::uint64_t m_next = 0;
};

/// Most pieces of news that wait to be passed on; past it, the most sent are dropped.
inline constexpr std::size_t broadcast_limit = 1024;

} // namespace ivypier::membership
