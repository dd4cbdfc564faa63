#pragma once

#include "routing/router.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ivypier::routing {

/// The part that the simple policies share: the upstream of least rank(), the first by name among equals. It
/// keeps nothing of prefix caches and sets nothing aside.
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
    /// What is known of one upstream.
    struct upstream_counts
    {
        std::size_t inFlight = 0; ///< attempts of this node
        std::uint64_t dispatched = 0; ///< attempts of this node since the start
        upstream::engine_load load; ///< the last report
    };

    /// Less is better.
    virtual double rank(const upstream_counts &of) const = 0;

private:
    std::vector<candidate> m_candidates;
    std::set<endpoint> m_leaving;
    std::map<endpoint, upstream_counts> m_counts;
    std::map<std::string, endpoint> m_attempts;
};

} // namespace ivypier::routing
