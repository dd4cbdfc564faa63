#pragma once

#include "base/endpoint.h"
#include "base/random_source.h"
#include "base/scheduler.h"
#include "relay/reachability_check.h"
#include "relay/upstream_directory.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ivypier::relay {

/// Tells which upstreams this node can't reach over its own network. Docs: docs/design/upstream-paths.md.
///
/// An address to which no connection can be opened is marked, and probed until one is accepted. A single mark
/// tells nothing about the path, as the upstream may have ended; from two on the calls for marked upstreams
/// should be sent through another node. If no upstream answered since the first of the marks, the node counts
/// as cut off from all of them.
class upstream_paths
{
public:
    /// Time between two rounds of probes, and the number of addresses in a round.
    static constexpr duration probe_interval = std::chrono::milliseconds(500);
    static constexpr std::size_t probes_per_round = 4;
    static constexpr std::size_t max_probes_per_round = 32; ///< after a probe was accepted

    /// Shortest time between two probes because of silence.
    static constexpr duration silence_probe_interval = std::chrono::seconds(1);

    upstream_paths(scheduler &tasks, random_source &randomness, const upstream_directory &upstreams,
                   reachability_check &check);

    /// Records that no connection to the address could be opened.
    void recordFailure(const endpoint &upstream);

    /// Records that an upstream answered, on this node's own connection, a call that was sent at `sentAt`.
    void recordAnswer(time_point sentAt);

    /// Records that nothing has arrived from any upstream for long, although calls await their answers from
    /// these addresses. Probes one of them and another upstream.
    void recordSilence(const std::vector<endpoint> &upstreams);

    /// Returns false if calls for the upstream should be sent through another node.
    bool isDirect(const endpoint &upstream) const;

    /// Returns true if no upstream can be reached.
    bool isCutOff() const;

    /// Returns true if this node is cut off, or can't open connections to half of the upstreams or more. Its
    /// callers are better served by another node.
    bool isImpaired() const;

    /// Returns the number of addresses to which no connection can be opened.
    std::size_t failedCount() const
    {
        return m_failures.size();
    }

private:
    bool hasSeveralFailures() const;
    time_point firstFailureAt() const;
    void probe(const endpoint &upstream);
    void onProbed(const endpoint &upstream, reachability_check::result result);
    void startProbing();
    void probeFailed(std::size_t count);
    void forgetUnlisted();
    void logState();

    scheduler &m_tasks;
    random_source &m_random;
    const upstream_directory &m_upstreams;
    reachability_check &m_check;
    std::map<endpoint, time_point> m_failures; ///< since when, by address
    std::set<endpoint> m_probed; ///< probes in progress
    time_point m_lastAnswerAt{}; ///< when the latest answered call was sent
    time_point m_silenceProbedAt{};
    bool m_isProbing = false;
    bool m_wasCutOff = false;
};

} // namespace ivypier::relay
