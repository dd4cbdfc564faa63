#include "fleet/evidence_sums.h"

#include <algorithm>

namespace ivypier::fleet {

namespace {

constexpr duration expiry_interval = std::chrono::seconds(1);

} // namespace

evidence_sums::evidence_sums(const clock &time)
    : m_time(time)
{
}

evidence_sums::total *evidence_sums::find(const std::string &name)
{
    const time_point now = m_time.now();
    if (now - m_lastExpiryAt >= expiry_interval) {
        m_lastExpiryAt = now;
        std::erase_if(m_totals, [&](const auto &each) { return now - each.second.reportedAt > retention; });
    }
    const auto found = m_totals.find(name);
    if (found == m_totals.end() && m_totals.size() >= max_totals)
        return nullptr;
    total &result = found == m_totals.end() ? m_totals[name] : found->second;
    result.reportedAt = now;
    return &result;
}

void evidence_sums::addNode(membership::incarnation node, const std::string &failureDomain,
                            const std::string &name, std::uint64_t value)
{
    total *to = find(name);
    if (!to)
        return;
    domain_total &domain = to->byDomain[failureDomain];
    std::uint64_t &known = domain.byNode[node];
    if (value <= known)
        return;
    domain.ofNodes += value - known;
    known = value;
}

void evidence_sums::addDomain(const std::string &failureDomain, const std::string &name, std::uint64_t value)
{
    total *to = find(name);
    if (!to)
        return;
    domain_total &domain = to->byDomain[failureDomain];
    domain.ofCollectors = std::max(domain.ofCollectors, value);
}

evidence_sums::totals evidence_sums::all() const
{
    totals result;
    for (const auto &[name, each] : m_totals) {
        std::uint64_t &sum = result[name];
        for (const auto &[domain, parts] : each.byDomain)
            sum += std::max(parts.ofNodes, parts.ofCollectors);
    }
    return result;
}

evidence_sums::totals evidence_sums::ofNodes(const std::function<bool(const std::string &)> &isIncluded) const
{
    totals result;
    for (const auto &[name, each] : m_totals) {
        for (const auto &[domain, parts] : each.byDomain) {
            if (parts.ofNodes > 0 && isIncluded(domain))
                result[name] += parts.ofNodes;
        }
    }
    return result;
}

} // namespace ivypier::fleet
