#include "fleet/permit_keeper.h"

#include "base/hash.h"
#include "base/log_event.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace ivypier::fleet {

permit_keeper::permit_keeper(scheduler &tasks, random_source &randomness,
                             const membership::membership_view &members, node_link link)
    : m_tasks(tasks)
    , m_members(members)
    , m_link(std::move(link))
    , m_ledger(tasks, randomness)
{
}

permit_keeper::~permit_keeper()
{
    for (const auto &[upstream, each] : m_takeovers)
        m_tasks.cancel(each.timer);
    for (const auto &[upstream, each] : m_divisions)
        m_tasks.cancel(each.timer);
}

void permit_keeper::decide(const permit_request_key &key, const std::string &upstream,
                           const limit_statement &statement, const relay::permit_request &details,
                           request_handler handler)
{
    if (statement.callsPerSecond <= 0.0) {
        handler.decided({true, {}, {}});
        return;
    }
    m_requests[key] = {upstream, std::move(handler)};
    if (isOpen(upstream)) {
        ask(key, statement, details);
        return;
    }
    permit_takeover &takeover = takeoverOf(upstream, statement);
    takeover.defer([this, key, statement, details] { ask(key, statement, details); });
    if (takeover.unheard().empty())
        openLedger(upstream);
}

/// Passes a request to the ledger, unless it was withdrawn or moved meanwhile.
void permit_keeper::ask(const permit_request_key &key, const limit_statement &statement,
                        const relay::permit_request &details)
{
    const auto asking = m_requests.find(key);
    if (asking == m_requests.end())
        return;
    const relay::permit_request_id id = m_ledger.request(
        asking->second.upstream, statement, details, [this, key](const relay::permit_decision &decision) {
            if (const auto decided = m_requests.extract(key); !decided.empty())
                decided.mapped().handler.decided(decision);
        });
    if (const auto queued = m_requests.find(key); queued != m_requests.end())
        queued->second.ledgerId = id;
}

void permit_keeper::withdraw(const permit_request_key &key)
{
    const auto found = m_requests.extract(key);
    if (!found.empty())
        m_ledger.withdraw(found.mapped().upstream, found.mapped().ledgerId);
}

void permit_keeper::recordAnswer(const std::string &upstream, std::optional<double> callsPerSecond)
{
    m_ledger.recordAnswer(upstream, callsPerSecond);
}

std::optional<double> permit_keeper::limit(const std::string &upstream) const
{
    return m_ledger.limit(upstream);
}

bool permit_keeper::isOpen(const std::string &upstream) const
{
    const auto opened = m_openedAt.find(upstream);
    return m_ledger.contains(upstream) && opened != m_openedAt.end() && opened->second == m_membersVersion
        && !m_takeovers.contains(upstream);
}

permit_takeover &permit_keeper::takeoverOf(const std::string &upstream, const limit_statement &statement)
{
    if (const auto found = m_takeovers.find(upstream); found != m_takeovers.end())
        return found->second;
    std::vector<membership::member> others = m_members.members();
    std::erase_if(others, [&](const membership::member &each) { return each.id == m_members.self().id; });
    const auto added
        = m_takeovers.try_emplace(upstream, ++m_lastInquiry, statement, others, m_link.ownCalls(upstream))
              .first;
    m_openedAt[upstream] = m_membersVersion;
    inquire(upstream);
    return added->second;
}

void permit_keeper::inquire(const std::string &upstream)
{
    permit_takeover &takeover = m_takeovers.at(upstream);
    if (takeover.unheard().empty())
        return;
    for (const auto &[host, each] : takeover.unheard())
        m_link.inquire(host, takeover.number(), upstream);
    takeover.timer = m_tasks.after(report_timeout, [this, upstream] { onReportsLate(upstream); });
}

void permit_keeper::onReportsLate(const std::string &upstream)
{
    permit_takeover &takeover = m_takeovers.at(upstream);
    if (std::exchange(takeover.isRepeated, true))
        openLedger(upstream);
    else
        inquire(upstream);
}

void permit_keeper::recordReport(const std::string &upstream, std::uint64_t number, const endpoint &from,
                                 const sent_counts &sent)
{
    const auto found = m_takeovers.find(upstream);
    if (found == m_takeovers.end() || found->second.number() != number)
        return;
    if (found->second.recordReport(from, sent) && found->second.unheard().empty())
        openLedger(upstream);
}

void permit_keeper::openLedger(const std::string &upstream)
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

void permit_keeper::divide(const std::string &upstream, const permit_takeover &takeover)
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

void permit_keeper::endDivision(const std::string &upstream)
{
    const auto found = m_divisions.extract(upstream);
    if (found.empty())
        return;
    m_tasks.cancel(found.mapped().timer);
    m_ledger.setDivided(upstream, false);
}

/// Grants the whole rate again once all nodes that were not heard have left the membership.
void permit_keeper::reviewDivisions()
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

void permit_keeper::onMembersChanged()
{
    ++m_membersVersion;
    reviewDivisions();
}

std::optional<std::string> permit_keeper::redirectionOf(const std::string &upstream) const
{
    const auto found = m_redirections.find(upstream);
    if (found == m_redirections.end() || found->second.until <= m_tasks.now())
        return std::nullopt;
    return found->second.host;
}

bool permit_keeper::ranksBefore(const std::string &host, const std::string &upstream) const
{
    const std::uint64_t ownWeight = rendezvousWeight(upstream, m_members.self().name);
    const std::vector<membership::member> members = m_members.members();
    return std::any_of(members.begin(), members.end(), [&](const membership::member &each) {
        return each.address.host == host && rendezvousWeight(upstream, each.name) > ownWeight;
    });
}

/// Leaves the ledger of an upstream to another node, with the requests that wait here.
void permit_keeper::handOver(const std::string &upstream, const std::string &host)
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
    std::vector<permit_request_key> moved;
    for (const auto &[key, each] : m_requests) {
        if (each.upstream == upstream)
            moved.push_back(key);
    }
    for (const permit_request_key &each : moved) {
        auto found = m_requests.extract(each);
        m_ledger.withdraw(upstream, found.mapped().ledgerId);
        found.mapped().handler.moved(host);
    }
}

} // namespace ivypier::fleet
