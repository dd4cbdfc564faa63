#include "membership/failure_detector.h"

#include <algorithm>
#include <set>

namespace ivypier::membership {

namespace {

constexpr duration direct_timeout = std::chrono::milliseconds(200);
constexpr duration relayed_probe_timeout = std::chrono::milliseconds(150);
constexpr std::size_t helper_count = 3;
constexpr std::size_t max_relayed_probes = 64;
constexpr double period_jitter = 0.2;

} // namespace

failure_detector::failure_detector(failure_detector_dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_sequence(static_cast<std::uint32_t>(m_dependencies.randomness.next()))
    , m_nextProbe(m_dependencies.time.now())
{
}

void failure_detector::tick()
{
    const time_point now = m_dependencies.time.now();
    expireRelayedProbes(now);
    if (m_probe && !m_probe->indirect && now >= m_probe->directDeadline)
        sendPingRequests();
    if (m_probe && now >= m_probe->deadline)
        failProbe();
    if (!m_probe && now >= m_nextProbe)
        startProbe(now);
}

void failure_detector::reset()
{
    m_probe.reset();
    m_relayedProbes.clear();
}

void failure_detector::onPing(const gossip_message &message, const endpoint &from)
{
    gossip_message answer;
    answer.kind = message_kind::acknowledge;
    answer.sequence = message.sequence;
    answer.target = m_dependencies.members.self().entry.id;
    if (message.target != answer.target) // the sender doesn't know this incarnation
        answer.members.push_back(member_table::makeUpdate(m_dependencies.members.self()));
    m_dependencies.sender.send(from, std::move(answer));
}

void failure_detector::onPingRequest(const gossip_message &message, const endpoint &from)
{
    if (m_relayedProbes.size() >= max_relayed_probes)
        return;
    const std::uint32_t sequence = ++m_sequence;
    m_relayedProbes.push_back(
        {sequence, from, message.sequence, m_dependencies.time.now() + relayed_probe_timeout});
    gossip_message ping;
    ping.kind = message_kind::ping;
    ping.sequence = sequence;
    ping.target = message.target;
    m_dependencies.sender.send(message.targetAddress, std::move(ping));
}

void failure_detector::onAcknowledge(const gossip_message &message)
{
    if (m_probe && message.sequence == m_probe->sequence) {
        const incarnation target = m_probe->target;
        m_probe.reset();
        m_dependencies.health.improve();
        if (message.target != target)
            m_dependencies.onReplaced(target);
        return;
    }
    const auto found
        = std::find_if(m_relayedProbes.begin(), m_relayedProbes.end(),
                       [&](const relayed_probe &each) { return each.sequence == message.sequence; });
    if (found == m_relayedProbes.end())
        return;
    gossip_message forwarded;
    forwarded.kind = message_kind::acknowledge;
    forwarded.sequence = found->requesterSequence;
    forwarded.target = message.target;
    const endpoint requester = found->requester;
    m_relayedProbes.erase(found);
    m_dependencies.sender.send(requester, std::move(forwarded));
}

void failure_detector::onNack(const gossip_message &message)
{
    if (m_probe && message.sequence == m_probe->sequence)
        ++m_probe->nacksReceived;
}

void failure_detector::startProbe(time_point now)
{
    const int factor = m_dependencies.health.factor();
    const double jitter = 1.0 - period_jitter / 2 + period_jitter * m_dependencies.randomness.uniform();
    m_nextProbe = now + fromSeconds(seconds(probe_period) * jitter * factor);
    const incarnation target = nextTarget();
    const member_record *record = m_dependencies.members.find(target);
    if (!record)
        return;
    m_probe = probe{.target = target,
                    .sequence = ++m_sequence,
                    .directDeadline = now + direct_timeout * factor,
                    .deadline = now + probe_period * factor};
    gossip_message ping;
    ping.kind = message_kind::ping;
    ping.sequence = m_probe->sequence;
    ping.target = target;
    if (record->liveness != liveness::alive) // lets the target refute it
        ping.members.push_back({target, record->generation, record->liveness, record->leaving, "", {}});
    m_dependencies.sender.send(record->entry.gossipAddress, std::move(ping));
}

void failure_detector::sendPingRequests()
{
    m_probe->indirect = true;
    const member_record *target = m_dependencies.members.find(m_probe->target);
    if (!target)
        return;
    for (const member_record *helper : selectHelpers(*target)) {
        gossip_message request;
        request.kind = message_kind::ping_request;
        request.sequence = m_probe->sequence;
        request.target = m_probe->target;
        request.targetAddress = target->entry.gossipAddress;
        ++m_probe->requestsSent;
        m_dependencies.sender.send(helper->entry.gossipAddress, std::move(request));
    }
}

void failure_detector::failProbe()
{
    const probe ended = *m_probe;
    m_probe.reset();
    if (ended.nacksReceived < ended.requestsSent) // some helper didn't reply: this node may be at fault
        m_dependencies.health.degrade();
    m_dependencies.onProbeFailed(ended.target);
}

void failure_detector::expireRelayedProbes(time_point now)
{
    for (const relayed_probe &each : m_relayedProbes) {
        if (now < each.deadline)
            continue;
        gossip_message answer;
        answer.kind = message_kind::nack;
        answer.sequence = each.requesterSequence;
        m_dependencies.sender.send(each.requester, std::move(answer));
    }
    std::erase_if(m_relayedProbes, [&](const relayed_probe &each) { return now >= each.deadline; });
}

incarnation failure_detector::nextTarget()
{
    while (true) {
        if (m_round.empty()) {
            m_round = m_dependencies.members.others();
            for (std::size_t index = m_round.size(); index > 1; --index)
                std::swap(m_round[index - 1], m_round[m_dependencies.randomness.index(index)]);
            if (m_round.empty())
                return 0;
        }
        const incarnation target = m_round.back();
        m_round.pop_back();
        const member_record *record = m_dependencies.members.find(target);
        if (record && !record->dead())
            return target;
    }
}

std::vector<const member_record *> failure_detector::selectHelpers(const member_record &target) const
{
    const member &own = m_dependencies.members.self().entry;
    const std::vector<const member_record *> shuffled = m_dependencies.members.pickRandom(
        m_dependencies.randomness, m_dependencies.members.others().size(), target.entry.id);
    std::set<std::string> usedDomains{own.failureDomain, target.entry.failureDomain};
    std::vector<const member_record *> helpers;
    std::vector<const member_record *> fallback;
    for (const member_record *each : shuffled) {
        if (each->liveness != liveness::alive)
            continue;
        if (helpers.size() < helper_count && usedDomains.insert(each->entry.failureDomain).second)
            helpers.push_back(each);
        else
            fallback.push_back(each);
    }
    // Then any domain but the target's, so that a partitioned domain isn't asked about its own members.
    std::stable_partition(fallback.begin(), fallback.end(), [&](const member_record *each) {
        return each->entry.failureDomain != target.entry.failureDomain;
    });
    for (const member_record *each : fallback) {
        if (helpers.size() >= helper_count)
            break;
        helpers.push_back(each);
    }
    return helpers;
}

} // namespace ivypier::membership
