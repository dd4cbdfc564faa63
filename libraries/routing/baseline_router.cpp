#include "routing/baseline_router.h"

#include <algorithm>

namespace ivypier::routing {

void baseline_router::setCandidates(std::vector<candidate> all)
{
    m_candidates = std::move(all);
    std::sort(m_candidates.begin(), m_candidates.end());
}

void baseline_router::markLeaving(const endpoint &upstream)
{
    m_leaving.insert(upstream);
}

void baseline_router::markReplaced(const endpoint &upstream)
{
    m_leaving.erase(upstream);
}

outcome<routing_choice> baseline_router::choose(const routing_request &request)
{
    const candidate *best = nullptr;
    for (const candidate &each : m_candidates) {
        if (each.service != request.service || m_leaving.contains(each.address))
            continue;
        if (std::find(request.excluded.begin(), request.excluded.end(), each.address)
            != request.excluded.end())
            continue;
        if (!best || rank(m_counts[each.address]) < rank(m_counts[best->address]))
            best = &each;
    }
    if (!best)
        return error{error_code::unavailable, "no upstream of " + request.service + " is fit"};
    return routing_choice{*best, {}, 0};
}

void baseline_router::dispatched(const endpoint &upstream, const std::string &attempt,
                                 const routing_request &)
{
    upstream_counts &counts = m_counts[upstream];
    ++counts.inFlight;
    ++counts.dispatched;
    m_attempts[attempt] = upstream;
}

void baseline_router::firstToken(const std::string &, duration)
{
}

void baseline_router::finished(const std::string &attempt, attempt_result)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    --m_counts[found->second].inFlight;
    m_attempts.erase(found);
}

void baseline_router::loadReported(const endpoint &upstream, const upstream::engine_load &load)
{
    m_counts[upstream].load = load;
}

void baseline_router::cacheReported(const endpoint &, const std::vector<upstream::cache_event> &)
{
}

std::vector<endpoint> baseline_router::upstreamsToPoll(std::size_t limit)
{
    std::vector<endpoint> result;
    for (const candidate &each : m_candidates) {
        if (result.size() < limit)
            result.push_back(each.address);
    }
    return result;
}

} // namespace ivypier::routing
