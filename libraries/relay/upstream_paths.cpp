#include "relay/upstream_paths.h"

#include "base/log_event.h"

#include <algorithm>
#include <utility>

namespace ivypier::relay {

namespace {

constexpr std::size_t min_failures = 2;

} // namespace

upstream_paths::upstream_paths(scheduler &tasks, random_source &randomness,
                               const upstream_directory &upstreams, reachability_check &check)
    : m_tasks(tasks)
    , m_random(randomness)
    , m_upstreams(upstreams)
    , m_check(check)
{
}

void upstream_paths::recordFailure(const endpoint &upstream)
{
    m_failures.emplace(upstream, m_tasks.now());
    logState();
    startProbing();
}

void upstream_paths::recordAnswer(time_point sentAt)
{
    m_lastAnswerAt = std::max(m_lastAnswerAt, sentAt);
    if (m_wasCutOff)
        logState();
}

void upstream_paths::recordSilence(const std::vector<endpoint> &upstreams)
{
    if (upstreams.empty() || m_tasks.now() - m_silenceProbedAt < silence_probe_interval)
        return;
    m_silenceProbedAt = m_tasks.now();
    const endpoint &silent = upstreams[m_random.index(upstreams.size())];
    probe(silent);
    const std::vector<const upstream *> listed = m_upstreams.all();
    if (listed.empty())
        return;
    const endpoint &other = listed[m_random.index(listed.size())]->record.address;
    if (other != silent)
        probe(other);
}

bool upstream_paths::hasSeveralFailures() const
{
    return !m_failures.empty() && m_failures.size() >= std::min(min_failures, m_upstreams.size());
}

time_point upstream_paths::firstFailureAt() const
{
    const auto first
        = std::min_element(m_failures.begin(), m_failures.end(),
                           [](const auto &left, const auto &right) { return left.second < right.second; });
    return first == m_failures.end() ? time_point::max() : first->second;
}

bool upstream_paths::isDirect(const endpoint &upstream) const
{
    return !hasSeveralFailures() || (!m_failures.contains(upstream) && !isCutOff());
}

bool upstream_paths::isCutOff() const
{
    return hasSeveralFailures() && m_lastAnswerAt < firstFailureAt();
}

bool upstream_paths::isImpaired() const
{
    return isCutOff() || (hasSeveralFailures() && 2 * m_failures.size() >= m_upstreams.size());
}

void upstream_paths::probe(const endpoint &upstream)
{
    if (!m_probed.insert(upstream).second)
        return;
    m_check.check(upstream, [this, upstream](reachability_check::result result) {
        m_probed.erase(upstream);
        onProbed(upstream, result);
    });
}

void upstream_paths::onProbed(const endpoint &upstream, reachability_check::result result)
{
    if (result != reachability_check::result::accepted) {
        recordFailure(upstream);
        return;
    }
    m_lastAnswerAt = m_tasks.now();
    const bool wasFailed = m_failures.erase(upstream) > 0;
    logState();
    if (wasFailed)
        probeFailed(max_probes_per_round);
}

void upstream_paths::startProbing()
{
    if (std::exchange(m_isProbing, true))
        return;
    m_tasks.after(probe_interval, [this] {
        m_isProbing = false;
        forgetUnlisted();
        if (m_failures.empty())
            return;
        probeFailed(probes_per_round);
        startProbing();
    });
}

void upstream_paths::probeFailed(std::size_t count)
{
    std::vector<endpoint> left;
    for (const auto &[upstream, since] : m_failures) {
        if (!m_probed.contains(upstream))
            left.push_back(upstream);
    }
    for (; count > 0 && !left.empty(); --count) {
        std::swap(left[m_random.index(left.size())], left.back());
        probe(left.back());
        left.pop_back();
    }
}

void upstream_paths::forgetUnlisted()
{
    std::set<endpoint> listed;
    for (const upstream *each : m_upstreams.all())
        listed.insert(each->record.address);
    std::erase_if(m_failures, [&](const auto &each) { return !listed.contains(each.first); });
    logState();
}

void upstream_paths::logState()
{
    const bool isCutOffNow = isCutOff();
    if (std::exchange(m_wasCutOff, isCutOffNow) == isCutOffNow)
        return;
    log_event(log_level::warning, isCutOffNow ? "paths.cut_off" : "paths.restored")
        .with("failed", static_cast<std::int64_t>(m_failures.size()))
        .with("upstreams", static_cast<std::int64_t>(m_upstreams.size()))
        .write();
}

} // namespace ivypier::relay
