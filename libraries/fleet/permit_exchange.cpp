#include "fleet/permit_exchange.h"

#include "base/hash.h"
#include "base/log_event.h"

#include <algorithm>
#include <utility>

namespace ivypier::fleet {

namespace {

/// How long a limit that was not stated any more is remembered without any call to the upstream.
constexpr duration limit_retention = std::chrono::seconds(60);
/// Time after which a call may be tried again when the keeper did not reply.
constexpr duration unknown_wait = std::chrono::milliseconds(250);

} // namespace

permit_exchange::permit_exchange(scheduler &tasks, random_source &randomness,
                                 membership::datagram_channel &channel, const secret_key &fleetKey,
                                 const membership::membership_view &members, std::uint16_t port)
    : m_tasks(tasks)
    , m_random(randomness)
    , m_channel(channel)
    , m_fleetKey(fleetKey)
    , m_members(members)
    , m_port(port)
    , m_ledger(tasks, randomness)
{
}

void permit_exchange::start()
{
    m_channel.onReceive([this](const endpoint &from, std::string_view datagram) { receive(from, datagram); });
}

bool permit_exchange::isNeeded(const std::string &upstream) const
{
#ifdef IVYPIER_MUTANT_STATED_LIMIT
    return false;
#endif
    return m_upstreams.contains(upstream);
}

std::optional<membership::member> permit_exchange::keeperOf(const std::string &upstream) const
{
    // FIXME: This ranks all members for each call to a limited upstream; at 1,600 nodes the result should be
    // kept.
    std::optional<membership::member> best;
    std::uint64_t bestWeight = 0;
    for (const membership::member &each : m_members.members()) {
        const auto failed = m_unresponsive.find(each.id);
        const bool isPassedOver
            = failed != m_unresponsive.end() && m_tasks.now() - failed->second < keeper_cooldown;
        const std::uint64_t weight = rendezvousWeight(upstream, each.name);
        if (!each.acceptsWork() || isPassedOver || (best && weight <= bestWeight))
            continue;
        best = each;
        bestWeight = weight;
    }
    return best;
}

void permit_exchange::recordAnswer(const std::string &upstream, std::optional<double> callsPerSecond)
{
    std::erase_if(m_upstreams, [&](const auto &each) {
        return m_tasks.now() - each.second.statedAt > limit_retention && each.first != upstream;
    });
    if (callsPerSecond) {
        limited_upstream &known = m_upstreams[upstream];
        known.callsPerSecond = *callsPerSecond;
        known.statedAt = m_tasks.now();
    }
    const auto known = m_upstreams.find(upstream);
    if (known == m_upstreams.end() || m_tasks.now() - known->second.answerToldAt < answer_interval)
        return;
    known->second.answerToldAt = m_tasks.now();
    const auto keeper = keeperOf(upstream);
    if (!keeper)
        return;
    if (keeper->id == m_members.self().id) {
        m_ledger.recordAnswer(upstream, callsPerSecond);
        return;
    }
    permit_message message{.kind = permit_message_kind::answer, .upstream = upstream};
    message.callsPerSecond = callsPerSecond.value_or(0.0);
    m_channel.send({keeper->address.host, m_port}, encodePermitMessage(m_fleetKey, message));
}

std::optional<relay::permit_decision> permit_exchange::knownRefusal(const std::string &upstream)
{
    const auto known = m_upstreams.find(upstream);
    if (known == m_upstreams.end() || m_tasks.now() >= known->second.refusedUntil)
        return std::nullopt;
    const duration left = known->second.refusedUntil - m_tasks.now();
    const duration spread = fromSeconds(seconds(known->second.returnSpread) * m_random.uniform());
    return relay::permit_decision{false, left, left + spread};
}

void permit_exchange::request(const std::string &upstream, completion done)
{
    const auto known = m_upstreams.find(upstream);
    if (known == m_upstreams.end()) {
        done({true, {}, {}});
        return;
    }
    if (const auto refusal = knownRefusal(upstream)) {
        ++m_refusals;
        done(*refusal);
        return;
    }
    const auto keeper = keeperOf(upstream);
    if (!keeper) {
        ++m_refusals;
        done({false, unknown_wait, unknown_wait});
        return;
    }
    if (keeper->id == m_members.self().id) {
        const relay::permit_decision decision = m_ledger.request(upstream, known->second.callsPerSecond,
                                                                 m_tasks.now() - known->second.statedAt);
        if (!m_ledger.limit(upstream))
            m_upstreams.erase(known);
        applyDecision(upstream, decision);
        done(decision);
        return;
    }
    const std::uint64_t number = ++m_lastNumber;
    m_pending.emplace(number, pending_request{upstream, *keeper, std::move(done), {}, 0});
    sendRequest(number);
}

void permit_exchange::sendRequest(std::uint64_t number)
{
    pending_request &pending = m_pending.at(number);
    ++pending.tries;
    const auto known = m_upstreams.find(pending.upstream);
    permit_message message{
        .kind = permit_message_kind::request, .number = number, .upstream = pending.upstream};
    if (known != m_upstreams.end()) {
        message.callsPerSecond = known->second.callsPerSecond;
        message.statedAgo = m_tasks.now() - known->second.statedAt;
    }
    pending.timer = m_tasks.after(reply_timeout, [this, number] { onTimeout(number); });
    m_channel.send({pending.keeper.address.host, m_port}, encodePermitMessage(m_fleetKey, message));
}

void permit_exchange::onTimeout(std::uint64_t number)
{
    if (m_pending.at(number).tries < max_tries) {
        sendRequest(number);
        return;
    }
    const pending_request pending = std::move(m_pending.extract(number).mapped());
    m_unresponsive[pending.keeper.id] = m_tasks.now();
    log_event(log_level::info, "permit.keeper_silent")
        .with("upstream", pending.upstream)
        .with("keeper", pending.keeper.name)
        .write();
    ++m_refusals;
    pending.done({false, unknown_wait, unknown_wait});
}

void permit_exchange::receive(const endpoint &from, std::string_view datagram)
{
    const outcome<permit_message> message = decodePermitMessage(m_fleetKey, datagram);
    if (!message) {
        log_event(log_level::warning, "permit.datagram_dropped")
            .with("from", from.text())
            .with("reason", message.error().message)
            .write();
        return;
    }
    switch (message.value().kind) {
    case permit_message_kind::request:
        answerRequest(from, message.value());
        break;
    case permit_message_kind::reply:
        applyReply(message.value());
        break;
    case permit_message_kind::answer: {
        const double limit = message.value().callsPerSecond;
        m_ledger.recordAnswer(message.value().upstream, limit > 0.0 ? std::optional(limit) : std::nullopt);
        break;
    }
    }
}

void permit_exchange::answerRequest(const endpoint &from, const permit_message &message)
{
    const relay::permit_decision decision
        = m_ledger.request(message.upstream, message.callsPerSecond, message.statedAgo);
    permit_message reply{
        .kind = permit_message_kind::reply, .number = message.number, .upstream = message.upstream};
    reply.callsPerSecond = m_ledger.limit(message.upstream).value_or(0.0);
    reply.isGranted = decision.isGranted;
    reply.nextPermit = decision.nextPermit;
    reply.returnAfter = decision.returnAfter;
    m_channel.send(from, encodePermitMessage(m_fleetKey, reply));
}

void permit_exchange::applyReply(const permit_message &reply)
{
    auto completed = m_pending.extract(reply.number);
    if (completed.empty())
        return; // an earlier reply or the timeout was faster
    pending_request &pending = completed.mapped();
    m_tasks.cancel(pending.timer);
    if (reply.callsPerSecond == 0.0 && m_upstreams.erase(pending.upstream) > 0)
        log_event(log_level::info, "permit.limit_ended").with("upstream", pending.upstream).write();
    const relay::permit_decision decision{reply.isGranted, reply.nextPermit, reply.returnAfter};
    applyDecision(pending.upstream, decision);
    pending.done(decision);
}

void permit_exchange::applyDecision(const std::string &upstream, const relay::permit_decision &decision)
{
    if (decision.isGranted)
        return;
    ++m_refusals;
    const auto known = m_upstreams.find(upstream);
    if (known == m_upstreams.end())
        return;
    known->second.refusedUntil = m_tasks.now() + decision.nextPermit;
    known->second.returnSpread
        = std::max<duration>(decision.returnAfter - decision.nextPermit, duration::zero());
}

std::map<std::string, std::pair<double, duration>> permit_exchange::limits() const
{
    std::map<std::string, std::pair<double, duration>> result;
    for (const auto &[upstream, known] : m_upstreams)
        result[upstream] = {known.callsPerSecond, m_tasks.now() - known.statedAt};
    return result;
}

} // namespace ivypier::fleet
