#include "fleet/permit_exchange.h"

#include "base/hash.h"
#include "base/log_event.h"

#include <algorithm>
#include <numeric>
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
    , m_ledger(tasks, randomness)
{
}

void permit_exchange::start()
{
    m_channel.onReceive([this](const endpoint &from, std::string_view datagram) { receive(from, datagram); });
    m_members.onMembersChanged([this] { onMembersChanged(); });
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
    else if (const auto redirected = redirectionOf(pending.upstream))
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
    decide({{}, number}, pending.upstream, statementOf(pending.upstream), remaining(pending),
           [this, number, upstream = pending.upstream](const relay::permit_decision &decision) {
               if (!m_ledger.limit(upstream))
                   m_upstreams.erase(upstream);
               complete(number, decision);
           });
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
        withdrawServed({{}, id});
    else
        send(pending.keeperHost,
             {.kind = permit_message_kind::withdrawal, .number = id, .upstream = pending.upstream});
}

void permit_exchange::withdrawServed(const request_key &key)
{
    const auto found = m_served.extract(key);
    if (!found.empty())
        m_ledger.withdraw(found.mapped().upstream, found.mapped().ledgerId);
}

void permit_exchange::decide(const request_key &key, const std::string &upstream,
                             const limit_statement &statement, const relay::permit_request &details,
                             completion done)
{
    if (statement.callsPerSecond <= 0.0) {
        done({true, {}, {}});
        return;
    }
    m_served[key] = {upstream, 0};
    const auto ask = [this, key, upstream, statement, details, done = std::move(done)] {
        if (!m_served.contains(key))
            return;
        const relay::permit_request_id id = m_ledger.request(
            upstream, statement, details, [this, key, done](const relay::permit_decision &decision) {
                m_served.erase(key);
                done(decision);
            });
        if (const auto served = m_served.find(key); served != m_served.end())
            served->second.ledgerId = id;
    };
    if (isOpen(upstream)) {
        ask();
        return;
    }
    permit_takeover &takeover = takeoverOf(upstream, statement);
    takeover.defer(ask);
    if (takeover.unheard().empty())
        openLedger(upstream);
}

bool permit_exchange::isOpen(const std::string &upstream) const
{
    const auto opened = m_openedAt.find(upstream);
    return m_ledger.contains(upstream) && opened != m_openedAt.end() && opened->second == m_membersVersion;
}

permit_takeover &permit_exchange::takeoverOf(const std::string &upstream, const limit_statement &statement)
{
    if (const auto found = m_takeovers.find(upstream); found != m_takeovers.end())
        return found->second;
    std::vector<membership::member> others = m_members.members();
    std::erase_if(others, [&](const membership::member &each) { return each.id == m_members.self().id; });
    const auto added
        = m_takeovers.try_emplace(upstream, ++m_lastNumber, statement, others, sentLately(upstream)).first;
    m_openedAt[upstream] = m_membersVersion;
    inquire(upstream);
    return added->second;
}

void permit_exchange::inquire(const std::string &upstream)
{
    permit_takeover &takeover = m_takeovers.at(upstream);
    if (takeover.unheard().empty())
        return;
    const permit_message message{
        .kind = permit_message_kind::inquiry, .number = takeover.number(), .upstream = upstream};
    for (const auto &[host, each] : takeover.unheard())
        send(host, message);
    takeover.timer = m_tasks.after(report_timeout, [this, upstream] { onReportsLate(upstream); });
}

void permit_exchange::onReportsLate(const std::string &upstream)
{
    permit_takeover &takeover = m_takeovers.at(upstream);
    if (std::exchange(takeover.isRepeated, true))
        openLedger(upstream);
    else
        inquire(upstream);
}

void permit_exchange::openLedger(const std::string &upstream)
{
    const auto found = m_takeovers.extract(upstream);
    permit_takeover &takeover = found.mapped();
    m_tasks.cancel(takeover.timer);
    const bool isNew = !m_ledger.contains(upstream);
    m_ledger.open(upstream, takeover.statement(), takeover.sent());
    m_redirections.erase(upstream);
    if (isNew)
        divide(upstream, takeover);
    log_event(log_level::info, "permit.ledger_opened")
        .with("upstream", upstream)
        .with("calls_per_second", takeover.statement().callsPerSecond)
        .with("stated_ms_ago", milliseconds(takeover.statement().ago))
        .with("sent_lately",
              static_cast<std::int64_t>(
                  std::accumulate(takeover.sent().begin(), takeover.sent().end(), std::uint64_t{0})))
        .with("unheard_nodes", static_cast<std::int64_t>(takeover.unheard().size()))
        .with("new", isNew ? "yes" : "no")
        .write();
    for (const auto &each : takeover.takeDeferred())
        each();
}

void permit_exchange::divide(const std::string &upstream, const permit_takeover &takeover)
{
    division divided;
    for (const auto &[host, each] : takeover.unheard())
        divided.unheard.insert(each.id);
    if (divided.unheard.empty())
        return;
    divided.timer = m_tasks.after(division_time, [this, upstream] { endDivision(upstream); });
    endDivision(upstream);
    m_divisions.emplace(upstream, std::move(divided));
    m_ledger.setDivided(upstream, true);
    reviewDivisions();
}

void permit_exchange::endDivision(const std::string &upstream)
{
    const auto found = m_divisions.extract(upstream);
    if (found.empty())
        return;
    m_tasks.cancel(found.mapped().timer);
    m_ledger.setDivided(upstream, false);
}

/// Grants the whole rate again once all nodes that were not heard have left the membership.
void permit_exchange::reviewDivisions()
{
    std::set<membership::incarnation> present;
    for (const membership::member &each : m_members.members())
        present.insert(each.id);
    std::vector<std::string> ended;
    for (const auto &[upstream, each] : m_divisions) {
        const bool isOver = std::none_of(each.unheard.begin(), each.unheard.end(),
                                         [&](membership::incarnation id) { return present.contains(id); });
        if (isOver)
            ended.push_back(upstream);
    }
    for (const std::string &upstream : ended)
        endDivision(upstream);
}

void permit_exchange::onMembersChanged()
{
    ++m_membersVersion;
    reviewDivisions();
}

std::optional<std::string> permit_exchange::redirectionOf(const std::string &upstream) const
{
    const auto found = m_redirections.find(upstream);
    if (found == m_redirections.end() || found->second.until <= m_tasks.now())
        return std::nullopt;
    return found->second.keeperHost;
}

bool permit_exchange::ranksBefore(const std::string &host, const std::string &upstream) const
{
    const std::uint64_t ownWeight = rendezvousWeight(upstream, m_members.self().name);
    const std::vector<membership::member> members = m_members.members();
    return std::any_of(members.begin(), members.end(), [&](const membership::member &each) {
        return each.address.host == host && rendezvousWeight(upstream, each.name) > ownWeight;
    });
}

/// Leaves the ledger of an upstream to another node, with the requests that wait here.
void permit_exchange::handOver(const std::string &upstream, const std::string &host)
{
    const auto takeover = m_takeovers.find(upstream);
    if (takeover != m_takeovers.end()) {
        // Of two nodes that take over at the same time one goes on.
        if (!ranksBefore(host, upstream))
            return;
        m_tasks.cancel(takeover->second.timer);
        m_takeovers.erase(takeover);
    }
    if (m_openedAt.erase(upstream) == 0)
        return;
    m_redirections[upstream] = {host, m_tasks.now() + redirection_time};
    std::vector<request_key> moved;
    for (const auto &[key, each] : m_served) {
        if (each.upstream == upstream)
            moved.push_back(key);
    }
    for (const request_key &each : moved) {
        withdrawServed(each);
        if (each.from == endpoint())
            sendTo(each.number, unnamed_keeper, host);
        else
            sendMoved(each.from, {.number = each.number, .upstream = upstream}, host);
    }
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
        m_ledger.recordAnswer(message.upstream, limit > 0.0 ? std::optional(limit) : std::nullopt);
        break;
    }
    case permit_message_kind::queued:
        applyQueued(message);
        break;
    case permit_message_kind::withdrawal:
        withdrawServed({from, message.number});
        break;
    case permit_message_kind::inquiry:
        answerInquiry(from, message);
        break;
    case permit_message_kind::report:
        applyReport(from, message);
        break;
    case permit_message_kind::moved:
        applyMoved(message);
        break;
    }
}

void permit_exchange::answerRequest(const endpoint &from, const permit_message &message)
{
    const request_key key{from, message.number};
    if (const auto redirected = redirectionOf(message.upstream)) {
        sendMoved(from, message, *redirected);
        return;
    }
    if (!m_served.contains(key)) {
        decide(key, message.upstream, {message.callsPerSecond, message.statedAgo}, message.details,
               [this, from, number = message.number,
                upstream = message.upstream](const relay::permit_decision &decision) {
                   permit_message reply{
                       .kind = permit_message_kind::reply, .number = number, .upstream = upstream};
                   reply.callsPerSecond = m_ledger.limit(upstream).value_or(0.0);
                   reply.isGranted = decision.isGranted;
                   reply.nextPermit = decision.nextPermit;
                   reply.returnAfter = decision.returnAfter;
                   m_channel.send(from, encodePermitMessage(m_fleetKey, reply));
               });
    }
    if (!m_served.contains(key))
        return;
    const permit_message queued{
        .kind = permit_message_kind::queued, .number = message.number, .upstream = message.upstream};
    m_channel.send(from, encodePermitMessage(m_fleetKey, queued));
}

void permit_exchange::answerInquiry(const endpoint &from, const permit_message &message)
{
    permit_message report{
        .kind = permit_message_kind::report, .number = message.number, .upstream = message.upstream};
    report.sent = sentLately(message.upstream);
    m_channel.send(from, encodePermitMessage(m_fleetKey, report));
    handOver(message.upstream, from.host);
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

void permit_exchange::applyReport(const endpoint &from, const permit_message &report)
{
    const auto found = m_takeovers.find(report.upstream);
    if (found == m_takeovers.end() || found->second.number() != report.number)
        return;
    if (found->second.recordReport(from, report.sent) && found->second.unheard().empty())
        openLedger(report.upstream);
}

std::map<std::string, std::pair<double, duration>> permit_exchange::limits() const
{
    std::map<std::string, std::pair<double, duration>> result;
    for (const auto &[upstream, known] : m_upstreams)
        result[upstream] = {known.callsPerSecond, m_tasks.now() - known.statedAt};
    return result;
}

} // namespace ivypier::fleet
