#include "fleet/peer_paths.h"

#include <algorithm>
#include <vector>

namespace ivypier::fleet {

namespace {

const std::string fact_prefix = "path/";
const std::string impaired = "impaired";
const std::string sound = "sound";

} // namespace

peer_paths::peer_paths(const clock &time, random_source &randomness, membership::membership_view &members,
                       std::uint16_t port, std::function<std::int64_t()> wallMilliseconds)
    : m_time(time)
    , m_random(randomness)
    , m_members(members)
    , m_port(port)
    , m_wallMilliseconds(std::move(wallMilliseconds))
{
}

void peer_paths::update(bool isImpaired)
{
    const std::string key = fact_prefix + m_members.self().name;
    const std::optional<membership::fact> known = m_members.findFact(key);
    const bool isKnownAsImpaired = known && known->value == impaired;
    if (isKnownAsImpaired == isImpaired)
        return;
    // The clock may have stepped back since this node, or its former process, published.
    const auto now = static_cast<std::uint64_t>(std::max<std::int64_t>(m_wallMilliseconds(), 1));
    m_members.publish({key, std::max(now, known ? known->version + 1 : 0), isImpaired ? impaired : sound});
}

std::set<std::string> peer_paths::impairedNodes() const
{
    std::set<std::string> result;
    for (const membership::fact &each : m_members.facts(fact_prefix)) {
        if (each.value == impaired)
            result.insert(each.key.substr(fact_prefix.size()));
    }
    return result;
}

std::optional<endpoint> peer_paths::choose(const std::set<endpoint> &excluded)
{
    std::erase_if(m_failures,
                  [this](const auto &each) { return m_time.now() - each.second > failure_retention; });
    const std::set<std::string> unusable = impairedNodes();
    const std::string self = m_members.self().name;
    std::vector<endpoint> candidates;
    for (const membership::member &each : m_members.members()) {
        if (each.state != membership::member_state::alive || each.name == self
            || unusable.contains(each.name))
            continue;
        const endpoint at{each.address.host, m_port};
        if (!excluded.contains(at) && !m_failures.contains(at))
            candidates.push_back(at);
    }
    if (candidates.empty())
        return std::nullopt;
    return candidates[m_random.index(candidates.size())];
}

void peer_paths::recordFailure(const endpoint &peer)
{
    m_failures[peer] = m_time.now();
}

} // namespace ivypier::fleet
