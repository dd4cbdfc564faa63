#pragma once

#include "routing/router.h"

#include <map>
#include <set>

namespace ivypier::routing {

/// The upstream with the fewest attempts of this node in flight, the first by name among equals. A baseline.
class least_dispatched_router final : public router
{
public:
    void setCandidates(std::vector<candidate> all) override;
    void markLeaving(const endpoint &upstream) override;
    outcome<routing_choice> choose(const routing_request &request) override;
    void dispatched(const endpoint &upstream, const std::string &attempt,
                    const routing_request &request) override;
    void firstToken(const std::string &attempt, duration elapsed) override;
    void finished(const std::string &attempt, attempt_result result) override;
    void loadReported(const endpoint &upstream, const upstream::engine_load &load) override;
    void cacheReported(const endpoint &upstream, const std::vector<upstream::cache_event> &events) override;
    std::vector<endpoint> wantedReports(std::size_t limit) override;

private:
    std::vector<candidate> m_candidates;
    std::set<endpoint> m_leaving;
    std::map<endpoint, std::size_t> m_inFlight;
    std::map<std::string, endpoint> m_attempts;
};

} // namespace ivypier::routing
