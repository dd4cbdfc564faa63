#include "routing/least_dispatched_router.h"

#include <algorithm>

namespace ivypier::routing {

void least_dispatched_router::setCandidates(std::vector<candidate> all)
{
    m_candidates = std::move(all);
    std::sort(m_candidates.begin(), m_candidates.end());
}

void least_dispatched_router::markLeaving(const endpoint &upstream)
{
    m_leaving.insert(upstream);
}

outcome<routing_choice> least_dispatched_router::choose(const routing_request &request)
{
    const candidate *best = nullptr;
    for (const candidate &each : m_candidates) {
        if (each.service != request.service || m_leaving.contains(each.address))
            continue;
        if (std::find(request.excluded.begin(), request.excluded.end(), each.address)
            != request.excluded.end())
            continue;
        if (!best || m_inFlight[each.address] < m_inFlight[best->address])
            best = &each;
    }
    if (!best)
        return error{error_code::unavailable, "no upstream of " + request.service + " is fit"};
    return routing_choice{*best, {}, 0};
}

void least_dispatched_router::dispatched(const endpoint &upstream, const std::string &attempt,
                                         const routing_request &)
{
    ++m_inFlight[upstream];
    m_attempts[attempt] = upstream;
}

void least_dispatched_router::firstToken(const std::string &, duration)
{
}

void least_dispatched_router::finished(const std::string &attempt, attempt_result)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    --m_inFlight[found->second];
    m_attempts.erase(found);
}

void least_dispatched_router::loadReported(const endpoint &, const upstream::engine_load &)
{
}

void least_dispatched_router::cacheReported(const endpoint &, const std::vector<upstream::cache_event> &)
{
}

std::vector<endpoint> least_dispatched_router::wantedReports(std::size_t)
{
    return {};
}

} // namespace ivypier::routing
