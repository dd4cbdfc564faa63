#include "virtual_replay.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace ivypier::replay {

namespace {

constexpr const char *service_name = "model";
constexpr duration sample_interval = std::chrono::milliseconds(100);
constexpr duration gossip_delay = std::chrono::milliseconds(300);
constexpr duration transfer_time = std::chrono::milliseconds(100); ///< to export one stream's cache
constexpr duration request_timeout = std::chrono::seconds(60);
constexpr std::uint16_t engine_port = 9000;

endpoint addressOf(std::size_t engine)
{
    return {"10.0.0." + std::to_string(engine + 1), engine_port};
}

std::size_t engineAt(const endpoint &address)
{
    return std::stoul(address.host.substr(address.host.rfind('.') + 1)) - 1;
}

} // namespace

virtual_replay::virtual_replay(replay_plan plan, const trace &requests)
    : m_plan(std::move(plan))
    , m_requests(requests)
    , m_gone(m_plan.runners, false)
    , m_lastEvents(m_plan.nodes, std::vector<std::uint64_t>(m_plan.runners, 0))
    , m_transfers(m_plan.runners, 0)
{
    std::vector<routing::candidate> candidates;
    for (std::size_t engine = 0; engine < m_plan.runners; ++engine) {
        m_engines.push_back(std::make_unique<fake_engine>(m_tasks, m_plan.engine));
        candidates.push_back({"runner-" + std::to_string(engine), service_name, addressOf(engine),
                              decision_node::failureDomain(engine), "small", 1.0});
    }
    for (std::size_t node = 0; node < m_plan.nodes; ++node) {
        m_nodes.push_back(std::make_unique<decision_node>(m_tasks, m_plan, node));
        m_nodes.back()->router().setCandidates(candidates);
    }
}

replay_result virtual_replay::run()
{
    schedule();
    const duration span = m_requests.empty() ? duration::zero() : m_requests.back().at;
    m_result.inTargetBySecond.resize(static_cast<std::size_t>(seconds(span)) + 1);
    m_result.offeredBySecond.resize(m_result.inTargetBySecond.size());
    m_tasks.advance(span);
    while (m_unfinished > 0 && m_plan.drain)
        m_tasks.advance(sample_interval);
    m_result.imbalance
        = m_imbalanceSamples > 0 ? m_imbalanceSum / static_cast<double>(m_imbalanceSamples) : 0.0;
    m_result.measuredSeconds = seconds(m_plan.measuredUntil - m_plan.measuredFrom);
    return std::move(m_result);
}

void virtual_replay::schedule()
{
    for (const trace_request &each : m_requests)
        m_tasks.after(each.at, [this, &each] { arrive(each); });
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
        pollLoads(node);
    sampleImbalance();
    if (m_plan.wave) {
        m_tasks.after(m_plan.wave->at, [this] { announceWave(); });
        m_tasks.after(m_plan.wave->at + m_plan.wave->notice, [this] { endWave(); });
    }
    if (m_plan.outage) {
        for (const auto &engine : m_engines) {
            m_tasks.after(m_plan.outage->from, [raw = engine.get()] {
                raw->setFailing(true);
                raw->failAll();
            });
            m_tasks.after(m_plan.outage->until, [raw = engine.get()] { raw->setFailing(false); });
        }
    }
}

void virtual_replay::pollLoads(std::size_t node)
{
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        if (!m_gone[engine] && !isOutage())
            report(node, engine);
    }
    const double jitter = 0.8 + 0.4 * m_nodes[node]->randomness().uniform();
    m_tasks.after(fromSeconds(seconds(m_plan.reportInterval) * jitter), [this, node] { pollLoads(node); });
}

/// Takes an engine's load and cache events now; they arrive when they are as old as the plan says.
void virtual_replay::report(std::size_t node, std::size_t engine)
{
    std::vector<upstream::cache_event> events
        = m_engines[engine]->events(m_lastEvents[node][engine], m_tasks.now());
    if (!events.empty())
        m_lastEvents[node][engine] = events.back().sequence;
    std::erase_if(events, [&](const upstream::cache_event &) {
        return m_plan.eventGaps > 0.0 && m_nodes[node]->randomness().uniform() < m_plan.eventGaps;
    });
    m_tasks.after(m_plan.reportAge,
                  [this, node, engine, load = m_engines[engine]->load(), events = std::move(events)] {
                      m_nodes[node]->router().loadReported(addressOf(engine), load);
                      m_nodes[node]->router().cacheReported(addressOf(engine), events);
                  });
}

void virtual_replay::sampleImbalance()
{
    m_tasks.after(sample_interval, [this] { sampleImbalance(); });
    std::size_t sum = 0;
    std::size_t most = 0;
    std::size_t present = 0;
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        if (m_gone[engine])
            continue;
        sum += m_engines[engine]->streams();
        most = std::max(most, m_engines[engine]->streams());
        ++present;
    }
    if (sum < present || !isMeasured(m_tasks.now()))
        return;
    m_imbalanceSum += static_cast<double>(most * present) / static_cast<double>(sum);
    ++m_imbalanceSamples;
}

void virtual_replay::announceWave()
{
    const auto count
        = static_cast<std::size_t>(std::lround(m_plan.wave->part * static_cast<double>(m_engines.size())));
    for (std::size_t engine = 0; engine < count; ++engine) {
        m_gone[engine] = true;
        m_transfers[engine] = static_cast<std::size_t>(m_plan.wave->notice / transfer_time);
        for (const auto &node : m_nodes) {
            m_tasks.after(gossip_delay,
                          [raw = node.get(), engine] { raw->router().markLeaving(addressOf(engine)); });
        }
    }
}

void virtual_replay::endWave()
{
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        if (m_gone[engine])
            m_engines[engine]->failAll();
    }
}

void virtual_replay::arrive(const trace_request &request)
{
    auto running = std::make_shared<running_request>();
    running->request = &request;
    running->arrivedAt = m_tasks.now();
    running->measured = isMeasured(m_tasks.now());
    running->node = hash64(request.account + '/' + request.conversation) % m_nodes.size();
    ++m_result.offeredBySecond[static_cast<std::size_t>(seconds(request.at))];
    if (isOutage())
        ++m_result.outageRequests;
    if (running->measured) {
        ++counts(request).offered;
        m_result.worthOffered += request.worth;
    }
    routing::routing_request &asked = running->asked;
    asked.service = service_name;
    asked.account = request.account;
    asked.conversation = request.conversation;
    asked.prefixTokens = request.prefixTokens;
    for (std::size_t messages = 1; messages <= request.prefixTokens.size(); ++messages)
        asked.prefixes.push_back(request.prefix(messages));
    asked.promptTokens = request.prefixTokens.back();
    asked.outputTokens = request.outputTokens;

    decision_node &node = *m_nodes[running->node];
    const outcome<routing::routing_choice> choice = node.router().choose(asked);
    admission::admission_request &judged = running->admitted;
    judged.account = request.account;
    judged.service = service_name;
    judged.requestClass = request.requestClass;
    judged.worth = request.worth;
    judged.maxWorth = 4.0;
    judged.target = m_plan.firstTokenTarget;
    if (choice) {
        judged.expected = choice.value().expectedFirstToken;
        judged.unloaded = choice.value().unloadedFirstToken;
        judged.margin = choice.value().margin;
    }
    if (!choice || node.admission().admit(judged)) {
        if (running->measured)
            ++counts(request).refused;
        return;
    }
    if (running->measured && judged.expected > judged.target && judged.unloaded <= judged.target)
        ++counts(request).lateByChoice;
    ++m_unfinished;
    ++m_result.requests;
    node.retries().dispatched(service_name);
    dispatch(running, choice.value());
}

void virtual_replay::dispatch(const request_pointer &running, const routing::routing_choice &choice)
{
    const std::string attempt = std::to_string(m_nextAttempt++);
    ++running->attempts;
    ++m_result.calls;
    if (isOutage() && running->attempts > 1)
        ++m_result.outageRepeats;
    if (isOutage())
        ++m_result.outageCalls;
    running->engine = engineAt(choice.target.address);
    m_nodes[running->node]->router().dispatched(choice.target.address, attempt, running->asked);
    engine_attempt sent;
    sent.prefixes = running->asked.prefixes;
    sent.prefixTokens = running->asked.prefixTokens;
    sent.outputTokens = running->request->outputTokens - running->delivered;
    sent.deliveredTokens = running->delivered;
    sent.imported = running->imported;
    sent.onFirstToken = [this, running, attempt] { firstToken(running, attempt); };
    sent.onFinished
        = [this, running, attempt](std::uint64_t computed) { finished(running, attempt, computed); };
    sent.onFailed = [this, running, attempt](std::uint64_t generated, std::uint64_t computed) {
        failed(running, attempt, generated, computed);
    };
    m_engines[running->engine]->start(std::move(sent));
}

void virtual_replay::firstToken(const request_pointer &running, const std::string &attempt)
{
    m_nodes[running->node]->router().firstToken(attempt, m_tasks.now() - running->arrivedAt);
    if (running->firstTokenAt != time_point{})
        return;
    running->firstTokenAt = m_tasks.now();
    if (running->measured)
        counts(*running->request).firstTokenSeconds.push_back(seconds(m_tasks.now() - running->arrivedAt));
}

void virtual_replay::finished(const request_pointer &running, const std::string &attempt,
                              std::uint64_t computed)
{
    decision_node &node = *m_nodes[running->node];
    node.router().finished(attempt, routing::attempt_result::answered);
    node.admission().finished(running->admitted);
    --m_unfinished;
    if (isMeasured(m_tasks.now()))
        ++m_result.endedInMeasured;
    m_result.recomputedTokens += std::min(running->lost, computed);
    const duration first = running->firstTokenAt - running->arrivedAt;
    const double tokens = std::max(1.0, static_cast<double>(running->request->outputTokens) - 1.0);
    const double between = seconds(m_tasks.now() - running->firstTokenAt) / tokens;
    const bool inTarget = first <= m_plan.firstTokenTarget && between <= seconds(m_plan.betweenTokensTarget);
    if (inTarget)
        ++m_result.inTargetBySecond[static_cast<std::size_t>(seconds(running->request->at))];
    if (!running->measured)
        return;
    request_counts &mine = counts(*running->request);
    ++mine.answered;
    mine.betweenTokensSeconds.push_back(between);
    m_result.promptTokens += running->asked.promptTokens;
    m_result.computedTokens += computed;
    if (inTarget) {
        ++mine.inTarget;
        m_result.worthInTarget += running->request->worth;
    }
}

void virtual_replay::failed(const request_pointer &running, const std::string &attempt,
                            std::uint64_t generated, std::uint64_t computed)
{
    decision_node &node = *m_nodes[running->node];
    const bool reclaimed = m_gone[running->engine];
    node.router().finished(attempt,
                           reclaimed ? routing::attempt_result::cancelled : routing::attempt_result::failed);
    running->asked.excluded.push_back(addressOf(running->engine));
    if (!reclaimed) {
        const duration left = request_timeout - (m_tasks.now() - running->arrivedAt);
        const auto pause = node.retries().repeat(service_name, running->attempts + 1, left);
        if (pause)
            m_tasks.after(*pause, [this, running] { tryAgain(running); });
        else
            giveUp(running);
        return;
    }
    // A prompt's cached part was lost too, but the next attempt counts only what it processes itself.
    running->lost += running->asked.promptTokens * (computed > 0 ? 1 : 0);
    if (m_plan.recovery == recovery_policy::restart) {
        m_result.recomputedTokens += generated;
    } else {
        running->delivered += generated;
        running->lost += generated;
        std::size_t &transfers = m_transfers[running->engine];
        running->imported = m_plan.recovery == recovery_policy::transfer && generated > 0 && transfers > 0;
        transfers -= running->imported ? 1 : 0;
    }
    tryAgain(running);
}

void virtual_replay::tryAgain(const request_pointer &running)
{
    const outcome<routing::routing_choice> choice = m_nodes[running->node]->router().choose(running->asked);
    if (choice)
        dispatch(running, choice.value());
    else
        giveUp(running);
}

void virtual_replay::giveUp(const request_pointer &running)
{
    m_nodes[running->node]->admission().finished(running->admitted);
    --m_unfinished;
    if (running->measured)
        ++counts(*running->request).failed;
}

request_counts &virtual_replay::counts(const trace_request &of)
{
    return m_result.byAccountAndClass[{of.account, of.requestClass}];
}

bool virtual_replay::isMeasured(time_point at) const
{
    const duration since = at.time_since_epoch();
    return since >= m_plan.measuredFrom && since < m_plan.measuredUntil;
}

bool virtual_replay::isOutage() const
{
    const duration since = m_tasks.now().time_since_epoch();
    return m_plan.outage && since >= m_plan.outage->from && since < m_plan.outage->until;
}

} // namespace ivypier::replay
