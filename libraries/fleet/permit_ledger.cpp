#include "fleet/permit_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace ivypier::fleet {

namespace {

/// Time over which refusals are averaged.
constexpr duration refusal_memory = std::chrono::seconds(1);
/// Shortest time until the queue is looked at again.
constexpr duration min_queue_interval = std::chrono::milliseconds(1);

constexpr double undivided_share = 1.0;

constexpr relay::permit_decision granted{true, {}, {}};

} // namespace

permit_ledger::permit_ledger(scheduler &tasks, random_source &randomness)
    : m_tasks(tasks)
    , m_random(randomness)
{
}

permit_ledger::~permit_ledger()
{
    for (const auto &[upstream, each] : m_ledgers) {
        if (each.timer)
            m_tasks.cancel(*each.timer);
    }
}

double permit_ledger::shareOf(const ledger &of)
{
    return of.isDivided ? divided_share : undivided_share;
}

void permit_ledger::refill(ledger &of) const
{
    const time_point now = m_tasks.now();
    of.bucket.refill(now, shareOf(of));
    of.recentRefusals *= std::exp(-seconds(now - std::exchange(of.decayedAt, now)) / seconds(refusal_memory));
}

void permit_ledger::open(const std::string &upstream, const limit_statement &statement,
                         const sent_counts &sent)
{
    const time_point now = m_tasks.now();
    const auto bucket = permit_bucket::afterCalls(statement.callsPerSecond, sent, now);
    const auto [found, isNew] = m_ledgers.try_emplace(upstream, bucket);
    ledger &of = found->second;
    of.expectedAt = now;
    if (isNew) {
        of.statedAt = now - statement.ago;
        of.decayedAt = now;
        return;
    }
    follow(of, statement);
    refill(of);
    if (!of.isEnded && of.bucket.callsPerSecond() == statement.callsPerSecond)
        of.bucket.limitTo(bucket);
}

void permit_ledger::setDivided(const std::string &upstream, bool isDivided)
{
    const auto found = m_ledgers.find(upstream);
    if (found == m_ledgers.end())
        return;
    refill(found->second);
    found->second.isDivided = isDivided;
    serveQueue(upstream);
}

void permit_ledger::follow(ledger &of, const limit_statement &statement)
{
    const time_point statedAt = m_tasks.now() - statement.ago;
    if (statedAt <= of.statedAt)
        return;
    setRate(of, statement.callsPerSecond);
    of.statedAt = statedAt;
}

void permit_ledger::setRate(ledger &of, double callsPerSecond)
{
    refill(of);
    of.bucket.setRate(callsPerSecond);
    of.isEnded = false;
    of.answersWithout = 0;
}

bool permit_ledger::isInTime(const ledger &of, const relay::permit_request &details) const
{
    return queueTime(of, of.queue.size()) <= std::min(details.patience, max_queue_time);
}

duration permit_ledger::queueTime(const ledger &of, std::size_t waiting) const
{
    // A ledger is divided for an unknown time, mostly until ended nodes have left the membership.
    return of.bucket.timeForContinuation(waiting, undivided_share, m_tasks.now());
}

relay::permit_request_id permit_ledger::request(const std::string &upstream, const limit_statement &statement,
                                                const relay::permit_request &details, completion done)
{
    ledger &of = m_ledgers.at(upstream);
    const time_point now = m_tasks.now();
    of.expectedAt = now;
    forgetIdle();
    follow(of, statement);
    if (of.isEnded) {
        done(granted);
        return 0;
    }
    refill(of);
    const bool isBehindOthers = details.isContinuation && !of.queue.empty();
    if (!isBehindOthers && of.bucket.take(details.isContinuation, now)) {
        done(granted);
        return 0;
    }
    if (!details.isContinuation) {
        const duration next = of.bucket.timeForNewCall(shareOf(of));
        of.expectedAt = now + next;
        done(refusal(of, next));
        return 0;
    }
    if (!details.mayQueue || !isInTime(of, details)) {
        done(refusal(of, queueTime(of, of.queue.size())));
        return 0;
    }
    const relay::permit_request_id id = ++m_lastId;
    of.queue.push_back({id, now + std::min(details.patience, max_queue_time), std::move(done)});
    serveQueue(upstream);
    return id;
}

relay::permit_decision permit_ledger::refusal(ledger &of, duration next) const
{
    of.recentRefusals += 1.0;
    const double held = of.recentRefusals / max_refusals_per_second;
    const duration nextPermit = next + fromSeconds(held > 0.1 ? held * m_random.uniform() : 0.0);
    // Spread over the time that the upstream takes for as many calls as were refused lately.
    const double spread = of.recentRefusals / of.bucket.callsPerSecond() * m_random.uniform();
    return {false, nextPermit, std::min<duration>(nextPermit + fromSeconds(spread), max_return_after)};
}

void permit_ledger::serveQueue(const std::string &upstream)
{
    ledger &of = m_ledgers.at(upstream);
    if (of.timer)
        m_tasks.cancel(*of.timer);
    of.timer.reset();
    refill(of);
    const time_point now = m_tasks.now();
    std::vector<std::pair<completion, relay::permit_decision>> decided;
    while (!of.queue.empty() && (of.isEnded || of.bucket.take(true, now))) {
        decided.emplace_back(std::move(of.queue.front().done), granted);
        of.queue.pop_front();
    }
    // A request whose permit would come too late, as the rate fell or new calls came, makes way for others.
    std::deque<queued_request> inTime;
    for (queued_request &each : of.queue) {
        const duration wait = queueTime(of, inTime.size());
        if (now + wait > each.refusedAt)
            decided.emplace_back(std::move(each.done), refusal(of, wait));
        else
            inTime.push_back(std::move(each));
    }
    of.queue = std::move(inTime);
    if (!of.queue.empty()) {
        const duration next = of.bucket.timeForContinuation(0, shareOf(of), now);
        of.timer = m_tasks.after(std::max(next, min_queue_interval), [this, upstream] {
            m_ledgers.at(upstream).timer.reset();
            serveQueue(upstream);
        });
    }
    // The completions may change the ledgers.
    for (const auto &[done, decision] : decided)
        done(decision);
}

void permit_ledger::withdraw(const std::string &upstream, relay::permit_request_id id)
{
    const auto found = m_ledgers.find(upstream);
    if (found != m_ledgers.end())
        std::erase_if(found->second.queue, [&](const queued_request &each) { return each.id == id; });
}

void permit_ledger::recordAnswer(const std::string &upstream, std::optional<double> callsPerSecond)
{
    const auto found = m_ledgers.find(upstream);
    if (found == m_ledgers.end())
        return;
    ledger &of = found->second;
    if (callsPerSecond) {
        const bool isChanged = of.isEnded || of.bucket.callsPerSecond() != *callsPerSecond;
        setRate(of, *callsPerSecond);
        of.statedAt = m_tasks.now();
        if (isChanged)
            serveQueue(upstream);
        return;
    }
    ++of.answersWithout;
    const bool isStated
        = of.answersWithout < answers_to_end || m_tasks.now() - of.statedAt < statement_lifetime;
    if (of.isEnded || isStated)
        return;
    of.isEnded = true;
    of.statedAt = m_tasks.now();
    serveQueue(upstream);
}

std::optional<double> permit_ledger::limit(const std::string &upstream) const
{
    const auto found = m_ledgers.find(upstream);
    if (found == m_ledgers.end() || found->second.isEnded)
        return std::nullopt;
    return found->second.bucket.callsPerSecond();
}

void permit_ledger::forgetIdle()
{
    std::erase_if(m_ledgers, [&](const auto &each) {
        return each.second.queue.empty() && m_tasks.now() - each.second.expectedAt > idle_retention;
    });
}

} // namespace ivypier::fleet
