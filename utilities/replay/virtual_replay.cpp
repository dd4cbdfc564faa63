#include "virtual_replay.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace ivypier::replay {

namespace {

constexpr const char *service_name = "model";
constexpr duration sample_interval = std::chrono::milliseconds(100);
constexpr duration gossip_delay = std::chrono::milliseconds(300);
constexpr duration transfer_time = std::chrono::milliseconds(100); ///< time to export one stream's cache
constexpr duration request_timeout = std::chrono::seconds(60);
constexpr std::uint16_t engine_port = 9000;

endpoint engineAddress(std::size_t engine)
{
    return {"10.0.0." + std::to_string(engine + 1), engine_port};
}

std::size_t engineIndex(const endpoint &address)
{
    return std::stoul(address.host.substr(address.host.rfind('.') + 1)) - 1;
}

} // namespace

virtual_replay::virtual_replay(replay_plan plan, const trace &requests)
    : m_plan(std::move(plan))
    , m_requests(requests)
    , m_reclaimed(m_plan.runners, false)
    , m_lastEvents(m_plan.nodes, std::vector<std::uint64_t>(m_plan.runners, 0))
    , m_transferBudgets(m_plan.runners, 0)
{
    std::vector<routing::candidate> candidates;
    for (std::size_t engine = 0; engine < m_plan.runners; ++engine) {
        m_engines.push_back(std::make_unique<fake_engine>(m_tasks, m_plan.engine));
        candidates.push_back({"runner-" + std::to_string(engine), service_name, engineAddress(engine),
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
    m_result.withinTargetBySecond.resize(static_cast<std::size_t>(seconds(span)) + 1);
    m_result.offeredBySecond.resize(m_result.withinTargetBySecond.size());
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
        m_tasks.after(m_plan.wave->at, [this] { announceReclaim(); });
        m_tasks.after(m_plan.wave->at + m_plan.wave->notice, [this] { reclaimRunners(); });
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
        if (!m_reclaimed[engine] && !isInOutage())
            sendReport(node, engine);
    }
    const double jitter = 0.8 + 0.4 * m_nodes[node]->randomness().uniform();
    m_tasks.after(fromSeconds(seconds(m_plan.reportInterval) * jitter), [this, node] { pollLoads(node); });
}

/// Reads an engine's load and cache events now and delivers them to the node after the plan's report delay.
void virtual_replay::sendReport(std::size_t node, std::size_t engine)
{
    std::vector<upstream::cache_event> events
        = m_engines[engine]->events(m_lastEvents[node][engine], m_tasks.now());
    if (!events.empty())
        m_lastEvents[node][engine] = events.back().sequence;
    std::erase_if(events, [&](const upstream::cache_event &) {
        return m_plan.eventLossProbability > 0.0
            && m_nodes[node]->randomness().uniform() < m_plan.eventLossProbability;
    });
    m_tasks.after(m_plan.reportDelay,
                  [this, node, engine, load = m_engines[engine]->load(), events = std::move(events)] {
                      m_nodes[node]->router().loadReported(engineAddress(engine), load);
                      m_nodes[node]->router().cacheReported(engineAddress(engine), events);
                  });
}

void virtual_replay::sampleImbalance()
{
    m_tasks.after(sample_interval, [this] { sampleImbalance(); });
    std::size_t totalStreams = 0;
    std::size_t maxStreams = 0;
    std::size_t availableEngines = 0;
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        if (m_reclaimed[engine])
            continue;
        totalStreams += m_engines[engine]->streams();
        maxStreams = std::max(maxStreams, m_engines[engine]->streams());
        ++availableEngines;
    }
    if (totalStreams < availableEngines || !isInMeasurement(m_tasks.now()))
        return;
    m_imbalanceSum += static_cast<double>(maxStreams * availableEngines) / static_cast<double>(totalStreams);
    ++m_imbalanceSamples;
}

void virtual_replay::announceReclaim()
{
    const auto count = static_cast<std::size_t>(
        std::lround(m_plan.wave->fraction * static_cast<double>(m_engines.size())));
    for (std::size_t engine = 0; engine < count; ++engine) {
        m_reclaimed[engine] = true;
        m_transferBudgets[engine] = static_cast<std::size_t>(m_plan.wave->notice / transfer_time);
        for (const auto &node : m_nodes) {
            m_tasks.after(gossip_delay,
                          [raw = node.get(), engine] { raw->router().markLeaving(engineAddress(engine)); });
        }
    }
}

void virtual_replay::reclaimRunners()
{
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        if (m_reclaimed[engine])
            m_engines[engine]->failAll();
    }
}

void virtual_replay::arrive(const trace_request &request)
{
    auto inFlight = std::make_shared<in_flight_request>();
    inFlight->request = &request;
    inFlight->arrivedAt = m_tasks.now();
    inFlight->measured = isInMeasurement(m_tasks.now());
    inFlight->node = hash64(request.account + '/' + request.conversation) % m_nodes.size();
    ++m_result.offeredBySecond[static_cast<std::size_t>(seconds(request.at))];
    if (isInOutage())
        ++m_result.outageRequests;
    if (inFlight->measured) {
        ++counts(request).offered;
        m_result.worthOffered += request.worth;
    }
    routing::routing_request &makeRoutingRequest = inFlight->makeRoutingRequest;
    makeRoutingRequest.service = service_name;
    makeRoutingRequest.account = request.account;
    makeRoutingRequest.conversation = request.conversation;
    makeRoutingRequest.prefixTokens = request.prefixTokens;
    for (std::size_t messages = 1; messages <= request.prefixTokens.size(); ++messages)
        makeRoutingRequest.prefixes.push_back(request.prefix(messages));
    makeRoutingRequest.promptTokens = request.prefixTokens.back();
    makeRoutingRequest.outputTokens = request.outputTokens;

    decision_node &node = *m_nodes[inFlight->node];
    const outcome<routing::routing_choice> choice = node.router().choose(makeRoutingRequest);
    admission::admission_request &evaluated = inFlight->admissionRequest;
    evaluated.account = request.account;
    evaluated.service = service_name;
    evaluated.requestClass = request.requestClass;
    evaluated.worth = request.worth;
    evaluated.maxWorth = 4.0;
    evaluated.target = m_plan.firstTokenTarget;
    if (choice) {
        evaluated.expected = choice.value().expectedFirstToken;
        evaluated.unloaded = choice.value().unloadedFirstToken;
        evaluated.margin = choice.value().margin;
    }
    if (!choice || node.admission().admit(evaluated)) {
        if (inFlight->measured)
            ++counts(request).refused;
        return;
    }
    if (inFlight->measured && evaluated.expected > evaluated.target && evaluated.unloaded <= evaluated.target)
        ++counts(request).admittedThoughLate;
    ++m_unfinished;
    ++m_result.requestCount;
    node.retries().dispatched(service_name);
    dispatch(inFlight, choice.value());
}

void virtual_replay::dispatch(const request_pointer &inFlight, const routing::routing_choice &choice)
{
    const std::string attempt = std::to_string(m_nextAttempt++);
    ++inFlight->attempts;
    ++m_result.attemptCount;
    if (isInOutage() && inFlight->attempts > 1)
        ++m_result.outageRetries;
    if (isInOutage())
        ++m_result.outageAttempts;
    inFlight->engine = engineIndex(choice.target.address);
    m_nodes[inFlight->node]->router().dispatched(choice.target.address, attempt,
                                                 inFlight->makeRoutingRequest);
    engine_attempt engineAttempt;
    engineAttempt.prefixes = inFlight->makeRoutingRequest.prefixes;
    engineAttempt.prefixTokens = inFlight->makeRoutingRequest.prefixTokens;
    engineAttempt.outputTokens = inFlight->request->outputTokens - inFlight->delivered;
    engineAttempt.deliveredTokens = inFlight->delivered;
    engineAttempt.cacheTransferred = inFlight->cacheTransferred;
    engineAttempt.onFirstToken = [this, inFlight, attempt] { firstToken(inFlight, attempt); };
    engineAttempt.onFinished
        = [this, inFlight, attempt](std::uint64_t computed) { finished(inFlight, attempt, computed); };
    engineAttempt.onFailed = [this, inFlight, attempt](std::uint64_t generated, std::uint64_t computed) {
        failed(inFlight, attempt, generated, computed);
    };
    m_engines[inFlight->engine]->start(std::move(engineAttempt));
}

void virtual_replay::firstToken(const request_pointer &inFlight, const std::string &attempt)
{
    m_nodes[inFlight->node]->router().firstToken(attempt, m_tasks.now() - inFlight->arrivedAt);
    if (inFlight->firstTokenAt != time_point{})
        return;
    inFlight->firstTokenAt = m_tasks.now();
    if (inFlight->measured)
        counts(*inFlight->request).firstTokenSeconds.push_back(seconds(m_tasks.now() - inFlight->arrivedAt));
}

void virtual_replay::finished(const request_pointer &inFlight, const std::string &attempt,
                              std::uint64_t computed)
{
    decision_node &node = *m_nodes[inFlight->node];
    node.router().finished(attempt, routing::attempt_result::answered);
    node.admission().finished(inFlight->admissionRequest);
    --m_unfinished;
    if (isInMeasurement(m_tasks.now()))
        ++m_result.completedInWindow;
    m_result.recomputedTokens += std::min(inFlight->lostTokens, computed);
    const duration firstTokenTime = inFlight->firstTokenAt - inFlight->arrivedAt;
    const double tokens = std::max(1.0, static_cast<double>(inFlight->request->outputTokens) - 1.0);
    const double meanTokenInterval = seconds(m_tasks.now() - inFlight->firstTokenAt) / tokens;
    const bool withinTarget
        = firstTokenTime <= m_plan.firstTokenTarget && meanTokenInterval <= seconds(m_plan.interTokenTarget);
    if (withinTarget)
        ++m_result.withinTargetBySecond[static_cast<std::size_t>(seconds(inFlight->request->at))];
    if (!inFlight->measured)
        return;
    request_counts &requestCounts = counts(*inFlight->request);
    ++requestCounts.answered;
    requestCounts.interTokenSeconds.push_back(meanTokenInterval);
    m_result.promptTokens += inFlight->makeRoutingRequest.promptTokens;
    m_result.computedTokens += computed;
    if (withinTarget) {
        ++requestCounts.withinTarget;
        m_result.worthWithinTarget += inFlight->request->worth;
    }
}

void virtual_replay::failed(const request_pointer &inFlight, const std::string &attempt,
                            std::uint64_t generated, std::uint64_t computed)
{
    decision_node &node = *m_nodes[inFlight->node];
    const bool reclaimed = m_reclaimed[inFlight->engine];
    node.router().finished(attempt,
                           reclaimed ? routing::attempt_result::cancelled : routing::attempt_result::failed);
    inFlight->makeRoutingRequest.excluded.push_back(engineAddress(inFlight->engine));
    if (!reclaimed) {
        const duration timeLeft = request_timeout - (m_tasks.now() - inFlight->arrivedAt);
        const auto backoff = node.retries().retryDelay(service_name, inFlight->attempts + 1, timeLeft);
        if (backoff)
            m_tasks.after(*backoff, [this, inFlight] { redispatch(inFlight); });
        else
            abandon(inFlight);
        return;
    }
    // The cached part of the prompt is lost too. finished() limits the loss to the tokens that the next
    // attempt processes, so the whole prompt can be added here.
    inFlight->lostTokens += inFlight->makeRoutingRequest.promptTokens * (computed > 0 ? 1 : 0);
    if (m_plan.recovery == recovery_policy::restart) {
        m_result.recomputedTokens += generated;
    } else {
        inFlight->delivered += generated;
        inFlight->lostTokens += generated;
        std::size_t &transferBudget = m_transferBudgets[inFlight->engine];
        inFlight->cacheTransferred
            = m_plan.recovery == recovery_policy::transfer && generated > 0 && transferBudget > 0;
        transferBudget -= inFlight->cacheTransferred ? 1 : 0;
    }
    redispatch(inFlight);
}

void virtual_replay::redispatch(const request_pointer &inFlight)
{
    const outcome<routing::routing_choice> choice
        = m_nodes[inFlight->node]->router().choose(inFlight->makeRoutingRequest);
    if (choice)
        dispatch(inFlight, choice.value());
    else
        abandon(inFlight);
}

void virtual_replay::abandon(const request_pointer &inFlight)
{
    m_nodes[inFlight->node]->admission().finished(inFlight->admissionRequest);
    --m_unfinished;
    if (inFlight->measured)
        ++counts(*inFlight->request).failed;
}

request_counts &virtual_replay::counts(const trace_request &request)
{
    return m_result.byAccountAndClass[{request.account, request.requestClass}];
}

bool virtual_replay::isInMeasurement(time_point at) const
{
    const duration since = at.time_since_epoch();
    return since >= m_plan.measuredFrom && since < m_plan.measuredUntil;
}

bool virtual_replay::isInOutage() const
{
    const duration since = m_tasks.now().time_since_epoch();
    return m_plan.outage && since >= m_plan.outage->from && since < m_plan.outage->until;
}

} // namespace ivypier::replay
