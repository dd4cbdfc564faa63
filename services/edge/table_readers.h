#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "membership/membership_view.h"

#include <map>
#include <optional>
#include <vector>

namespace ivypier::edge {

/// Which nodes read the platform's tables themselves, and from which of them the others read.
///
/// A failure domain with few nodes has each of them read; in a larger one a few do, by rendezvous hash, so
/// that calls to the platform do not grow with the fleet.
class table_readers
{
public:
    /// Domains of up to so many nodes have all of them read: there is little to save.
    static constexpr std::size_t max_nodes_reading_directly = 4;
    /// Readers of a larger domain, so that one may be lost, and the nodes that one more of them serves: with
    /// five answers a second to each, a reader answers 100 questions a second for a table.
    static constexpr std::size_t min_readers = 2;
    static constexpr std::size_t nodes_per_reader = 20;
    /// A reader that reportFailure is not asked for this long, about the time in which it is found dead.
    static constexpr duration failed_reader_cooldown = std::chrono::seconds(3);

    table_readers(const clock &time, random_source &randomness, const membership::membership_view &members);

    /// True when this node has to read for itself.
    bool readsDirectly() const;

    /// A reader of this node's domain that did not fail lately; nothing when there is none.
    std::optional<membership::member> pick() const;

    /// Any reader of any domain: for a second opinion.
    std::optional<membership::member> pickFromAnyDomain() const;

    /// A reader did not handleRequest as it should.
    void reportFailure(membership::incarnation reader);

private:
    std::vector<membership::member> readersIn(const std::string &failureDomain) const;
    std::optional<membership::member> pickUsable(const std::vector<membership::member> &readers) const;

    const clock &m_time;
    random_source &m_random;
    const membership::membership_view &m_members;
    std::map<membership::incarnation, time_point> m_failedAt;
};

} // namespace ivypier::edge
