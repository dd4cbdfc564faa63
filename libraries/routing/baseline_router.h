#pragma once

#include "routing/router.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ivypier::routing {

/// Base class of the baseline policies. Chooses the upstream with the lowest rank(); ties go to the first by
/// name. It doesn't track prefix caches and never ejects an upstream.
class baseline_router : public router
{
public:
    void setCandidates(std::vector<candidate> all) override;
    void markLeaving(const endpoint &upstream) override;
    void markReplaced(const endpoint &upstream) override;
    outcome<routing_choice> choose(const routing_request &request) override;
    void dispatched(const endpoint &upstream, const std::string &attempt,
                    const routing_request &request) override;
    void firstToken(const std::string &attempt, duration elapsed) override;
    void finished(const std::string &attempt, attempt_result result) override;
    void loadReported(const endpoint &upstream, const upstream::engine_load &load) override;
    void cacheReported(const endpoint &upstream, const std::vector<upstream::cache_event> &events) override;
    std::vector<endpoint> upstreamsToPoll(std::size_t limit) override;

protected:
    /// Counters and last load report of one upstream.
    struct upstream_counts
    {
        std::size_t inFlight = 0; ///< attempts of this node that have not ended
        std::uint64_t dispatched = 0; ///< attempts that this node has sent since it started
        upstream::engine_load load; ///< the last load report
    };

    /// Returns the cost of choosing an upstream; the lowest wins.
    virtual double rank(const upstream_counts &counts) const = 0;

private:
    std::vector<candidate> m_candidates;
    std::set<endpoint> m_leaving;
    std::map<endpoint, upstream_counts> m_counts;
    std::map<std::string, endpoint> m_attempts;
};

} // namespace ivypier::routing
