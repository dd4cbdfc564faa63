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

/// Keeper of a request that another node passed on.
constexpr membership::incarnation unnamed_keeper = 0;

constexpr relay::permit_decision unknown_refusal{false, unknown_wait, unknown_wait};

} // namespace

permit_exchange::permit_exchange(scheduler &tasks, random_source &randomness,
                                 membership::datagram_channel &channel, const secret_key &fleetKey,
                                 membership::membership_view &members, std::uint16_t port)
    : m_tasks(tasks)
    , m_random(randomness)
    , m_channel(channel)
    , m_fleetKey(fleetKey)
    , m_members(members)
    , m_port(port)
    , m_keeper(tasks, randomness, members,
               {.inquire =
                    [this](const std::string &host, std::uint64_t number, const std::string &upstream) {
                        send(host,
                             {.kind = permit_message_kind::inquiry, .number = number, .upstream = upstream});
                    },
                .ownCalls = [this](const std::string &upstream) { return sentLately(upstream); }})
{
}

void permit_exchange::start()
{
    m_channel.onReceive([this](const endpoint &from, std::string_view datagram) { receive(from, datagram); });
    m_members.onMembersChanged([this] { m_keeper.onMembersChanged(); });
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
        m_keeper.recordAnswer(upstream, callsPerSecond);
        return;
    }
    permit_message message{.kind = permit_message_kind::answer, .upstream = upstream};
    message.callsPerSecond = callsPerSecond.value_or(0.0);
    send(keeper->address.host, message);
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

relay::permit_request_id permit_exchange::request(const std::string &upstream,
                                                  const relay::permit_request &details, completion done)
{
    if (!m_upstreams.contains(upstream)) {
        done({true, {}, {}});
        return 0;
    }
    const auto refusal = details.isContinuation ? std::nullopt : knownRefusal(upstream);
    if (refusal) {
        ++m_refusals;
        done(*refusal);
        return 0;
    }
    const std::uint64_t number = ++m_lastNumber;
    pending_request pending{.upstream = upstream, .details = details, .done = std::move(done)};
    pending.startedAt = m_tasks.now();
    m_pending.emplace(number, std::move(pending));
    sendToKeeper(number);
    return number;
}

bool permit_exchange::isSelf(const pending_request &pending) const
{
    return pending.keeper == m_members.self().id;
}

limit_statement permit_exchange::statementOf(const std::string &upstream) const
{
    const auto known = m_upstreams.find(upstream);
    if (known == m_upstreams.end())
        return {};
    return {known->second.callsPerSecond, m_tasks.now() - known->second.statedAt};
}

relay::permit_request permit_exchange::remaining(const pending_request &pending) const
{
    relay::permit_request result = pending.details;
    const duration left = pending.startedAt + result.patience - m_tasks.now();
    result.patience = std::max<duration>(left, duration::zero());
    return result;
}

sent_counts permit_exchange::sentLately(const std::string &upstream)
{
    sent_counts result{};
    const auto known = m_upstreams.find(upstream);
    if (known == m_upstreams.end())
        return result;
    for (const time_point each : known->second.sentAt) {
        const auto interval = static_cast<std::size_t>((m_tasks.now() - each) / sent_interval);
        if (interval < sent_intervals)
            ++result[interval];
    }
    return result;
}

void permit_exchange::sendToKeeper(std::uint64_t number)
{
    pending_request &pending = m_pending.at(number);
    const auto keeper = keeperOf(pending.upstream);
    if (!keeper) {
        complete(number, unknown_refusal);
        return;
    }
    if (keeper->id != m_members.self().id)
        sendTo(number, keeper->id, keeper->address.host);
    else if (const auto redirected = m_keeper.redirectionOf(pending.upstream))
        sendTo(number, unnamed_keeper, *redirected);
    else
        decideHere(number);
}

void permit_exchange::decideHere(std::uint64_t number)
{
    pending_request &pending = m_pending.at(number);
    pending.keeper = m_members.self().id;
    if (pending.timer)
        m_tasks.cancel(*pending.timer);
    pending.timer.reset();
    m_keeper.decide(
        {{}, number}, pending.upstream, statementOf(pending.upstream), remaining(pending),
        {.decided =
             [this, number, upstream = pending.upstream](const relay::permit_decision &decision) {
                 if (!m_keeper.limit(upstream))
                     m_upstreams.erase(upstream);
                 complete(number, decision);
             },
         .moved = [this, number](const std::string &host) { sendTo(number, unnamed_keeper, host); }});
}

void permit_exchange::sendTo(std::uint64_t number, membership::incarnation keeper,
                             const std::string &keeperHost)
{
    pending_request &pending = m_pending.at(number);
    pending.keeper = keeper;
    pending.keeperHost = keeperHost;
    pending.tries = 0;
    sendRequest(number);
}

void permit_exchange::sendRequest(std::uint64_t number)
{
    pending_request &pending = m_pending.at(number);
    ++pending.tries;
    const limit_statement statement = statementOf(pending.upstream);
    permit_message message{
        .kind = permit_message_kind::request, .number = number, .upstream = pending.upstream};
    message.callsPerSecond = statement.callsPerSecond;
    message.statedAgo = statement.ago;
    message.details = remaining(pending);
    if (pending.timer)
        m_tasks.cancel(*pending.timer);
    pending.timer = m_tasks.after(reply_timeout, [this, number] { onTimeout(number); });
    send(pending.keeperHost, message);
}

void permit_exchange::onTimeout(std::uint64_t number)
{
    pending_request &pending = m_pending.at(number);
    pending.timer.reset();
    if (pending.tries < max_tries) {
        sendRequest(number);
        return;
    }
    if (pending.keeper != unnamed_keeper)
        m_unresponsive[pending.keeper] = m_tasks.now();
    const bool isOver = m_tasks.now() - pending.startedAt >= pending.details.patience;
    log_event(log_level::info, "permit.keeper_silent")
        .with("upstream", pending.upstream)
        .with("keeper", pending.keeperHost)
        .with("continuation", pending.details.isContinuation ? "yes" : "no")
        .with("asks_next", isOver ? "no" : "yes")
        .write();
    if (isOver)
        complete(number, unknown_refusal);
    else
        sendToKeeper(number);
}

void permit_exchange::complete(std::uint64_t number, const relay::permit_decision &decision)
{
    const auto found = m_pending.extract(number);
    if (found.empty())
        return;
    const pending_request pending = std::move(found.mapped());
    if (pending.timer)
        m_tasks.cancel(*pending.timer);
    m_refusals += decision.isGranted ? 0 : 1;
    const auto known = m_upstreams.find(pending.upstream);
    if (known != m_upstreams.end())
        applyDecision(known->second, pending, decision);
    pending.done(decision);
}

void permit_exchange::applyDecision(limited_upstream &known, const pending_request &of,
                                    const relay::permit_decision &decision)
{
    if (decision.isGranted) {
        while (!known.sentAt.empty() && m_tasks.now() - known.sentAt.front() > sent_interval * sent_intervals)
            known.sentAt.pop_front();
        known.sentAt.push_back(m_tasks.now());
        return;
    }
    if (of.details.isContinuation)
        return;
    known.refusedUntil = m_tasks.now() + decision.nextPermit;
    known.returnSpread = std::max<duration>(decision.returnAfter - decision.nextPermit, duration::zero());
}

void permit_exchange::withdraw(relay::permit_request_id id)
{
    const auto found = m_pending.extract(id);
    if (found.empty())
        return;
    const pending_request &pending = found.mapped();
    if (pending.timer)
        m_tasks.cancel(*pending.timer);
    if (isSelf(pending))
        m_keeper.withdraw({{}, id});
    else
        send(pending.keeperHost,
             {.kind = permit_message_kind::withdrawal, .number = id, .upstream = pending.upstream});
}

void permit_exchange::sendMoved(const endpoint &to, const permit_message &request, const std::string &host)
{
    permit_message message{
        .kind = permit_message_kind::moved, .number = request.number, .upstream = request.upstream};
    message.keeper = host;
    m_channel.send(to, encodePermitMessage(m_fleetKey, message));
}

void permit_exchange::send(const std::string &host, const permit_message &message)
{
    m_channel.send({host, m_port}, encodePermitMessage(m_fleetKey, message));
}

void permit_exchange::receive(const endpoint &from, std::string_view datagram)
{
    const outcome<permit_message> decoded = decodePermitMessage(m_fleetKey, datagram);
    if (!decoded) {
        log_event(log_level::warning, "permit.datagram_dropped")
            .with("from", from.text())
            .with("reason", decoded.error().message)
            .write();
        return;
    }
    const permit_message &message = decoded.value();
    switch (message.kind) {
    case permit_message_kind::request:
        answerRequest(from, message);
        break;
    case permit_message_kind::reply:
        applyReply(message);
        break;
    case permit_message_kind::answer: {
        const double limit = message.callsPerSecond;
        m_keeper.recordAnswer(message.upstream, limit > 0.0 ? std::optional(limit) : std::nullopt);
        break;
    }
    case permit_message_kind::queued:
        applyQueued(message);
        break;
    case permit_message_kind::withdrawal:
        m_keeper.withdraw({from, message.number});
        break;
    case permit_message_kind::inquiry:
        answerInquiry(from, message);
        break;
    case permit_message_kind::report:
        m_keeper.recordReport(message.upstream, message.number, from, message.sent);
        break;
    case permit_message_kind::moved:
        applyMoved(message);
        break;
    }
}

void permit_exchange::answerRequest(const endpoint &from, const permit_message &message)
{
    const permit_request_key key{from, message.number};
    if (const auto redirected = m_keeper.redirectionOf(message.upstream)) {
        sendMoved(from, message, *redirected);
        return;
    }
    if (!m_keeper.isDeciding(key))
        m_keeper.decide(
            key, message.upstream, {message.callsPerSecond, message.statedAgo}, message.details,
            {.decided = [this, from, message](const auto &decision) { sendReply(from, message, decision); },
             .moved = [this, from, message](const auto &host) { sendMoved(from, message, host); }});
    if (!m_keeper.isDeciding(key))
        return;
    const permit_message queued{
        .kind = permit_message_kind::queued, .number = message.number, .upstream = message.upstream};
    m_channel.send(from, encodePermitMessage(m_fleetKey, queued));
}

void permit_exchange::sendReply(const endpoint &to, const permit_message &request,
                                const relay::permit_decision &decision)
{
    permit_message reply{
        .kind = permit_message_kind::reply, .number = request.number, .upstream = request.upstream};
    reply.callsPerSecond = m_keeper.limit(request.upstream).value_or(0.0);
    reply.isGranted = decision.isGranted;
    reply.nextPermit = decision.nextPermit;
    reply.returnAfter = decision.returnAfter;
    m_channel.send(to, encodePermitMessage(m_fleetKey, reply));
}

void permit_exchange::answerInquiry(const endpoint &from, const permit_message &message)
{
    permit_message report{
        .kind = permit_message_kind::report, .number = message.number, .upstream = message.upstream};
    report.sent = sentLately(message.upstream);
    m_channel.send(from, encodePermitMessage(m_fleetKey, report));
    m_keeper.handOver(message.upstream, from.host);
}

void permit_exchange::applyReply(const permit_message &reply)
{
    const auto found = m_pending.find(reply.number);
    if (found == m_pending.end())
        return; // an earlier reply or the timeout was faster
    const std::string &upstream = found->second.upstream;
    if (reply.callsPerSecond == 0.0 && m_upstreams.erase(upstream) > 0)
        log_event(log_level::info, "permit.limit_ended").with("upstream", upstream).write();
    complete(reply.number, {reply.isGranted, reply.nextPermit, reply.returnAfter});
}

void permit_exchange::applyQueued(const permit_message &queued)
{
    const auto found = m_pending.find(queued.number);
    if (found == m_pending.end())
        return;
    pending_request &pending = found->second;
    pending.tries = 0;
    if (pending.timer)
        m_tasks.cancel(*pending.timer);
    pending.timer
        = m_tasks.after(queue_check_interval, [this, number = queued.number] { sendRequest(number); });
}

void permit_exchange::applyMoved(const permit_message &moved)
{
    const auto found = m_pending.find(moved.number);
    if (found == m_pending.end())
        return;
    pending_request &pending = found->second;
    if (++pending.redirections > max_redirections) {
        complete(moved.number, unknown_refusal);
        return;
    }
    if (moved.keeper == m_members.self().address.host) {
        decideHere(moved.number);
        return;
    }
    sendTo(moved.number, unnamed_keeper, moved.keeper);
}

std::map<std::string, std::pair<double, duration>> permit_exchange::limits() const
{
    std::map<std::string, std::pair<double, duration>> result;
    for (const auto &[upstream, known] : m_upstreams)
        result[upstream] = {known.callsPerSecond, m_tasks.now() - known.statedAt};
    return result;
}

} // namespace ivypier::fleet
