#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "membership/membership_view.h"

#include <map>
#include <optional>
#include <vector>

namespace ivypier::edge {

/// Determines which nodes read the platform's tables directly, and selects a reader for the other nodes.
///
/// In a failure domain with few nodes all of them read directly. In a larger one a few readers are chosen by
/// rendezvous hashing, so that requests to the platform do not grow with the number of nodes.
class table_readers
{
public:
    /// All nodes of a failure domain of up to this size read directly: designated readers would save little.
    static constexpr std::size_t max_nodes_reading_directly = 4;
    /// Larger domains have at least `min_readers`, so that one may fail, and one reader per
    /// `nodes_per_reader`: at five responses per second and node, a reader serves 200 requests per second for
    /// a table.
    static constexpr std::size_t min_readers = 2;
    static constexpr std::size_t nodes_per_reader = 40;
    /// Nodes that one node passes large rows on to. A change of a configuration of some ten kilobytes then
    /// takes less than a second on a link of 10 Mbit/s.
    static constexpr std::size_t max_children = 8;
    /// How long a reader that failed is not selected: about the time until the membership detects its
    /// failure.
    static constexpr duration failed_reader_cooldown = std::chrono::seconds(3);

    table_readers(const clock &time, random_source &randomness, const membership::membership_view &members);

    /// Returns true when this node has to read the platform's tables directly.
    bool readsDirectly() const;

    /// Returns a reader of this node's failure domain that has not failed recently; nothing when there is
    /// none.
    std::optional<membership::member> pick() const;

    /// Returns the node that passes large rows on to this one: the nodes of a failure domain form a tree
    /// below its readers, so that none sends them to more than `max_children` nodes. Returns pick() when that
    /// node failed recently.
    std::optional<membership::member> pickRelay() const;

    /// Returns a reader of any failure domain that has not failed recently; nothing when there is none. Full
    /// listings use it, to be independent of this domain's readers.
    std::optional<membership::member> pickFromAnyDomain() const;

    /// Records that a reader did not respond properly; it is not selected for a while.
    void reportFailure(membership::incarnation reader);

private:
    std::vector<membership::member> readersIn(const std::string &failureDomain) const;
    std::vector<membership::member> rankedNodesIn(const std::string &failureDomain) const;
    static std::size_t readerCount(std::size_t nodes);
    static std::size_t parentOf(std::size_t rank, std::size_t readers);
    std::optional<membership::member> pickUsable(const std::vector<membership::member> &readers) const;

    const clock &m_time;
    random_source &m_random;
    const membership::membership_view &m_members;
    std::map<membership::incarnation, time_point> m_failedAt;
};

} // namespace ivypier::edge
