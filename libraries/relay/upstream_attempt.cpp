#include "relay/upstream_attempt.h"

#include <utility>

namespace ivypier::relay {

namespace {

/// The pace of a stream is recorded once in this time, to save processor time.
constexpr duration pace_interval = std::chrono::milliseconds(100);

} // namespace

upstream_attempt::upstream_attempt(call_environment &environment, const call &request,
                                   const upstream_record &to, std::uint64_t uncachedTokens)
    : m_environment(environment)
    , m_call(request)
    , m_to(to)
    , m_pendingPrefillTokens(uncachedTokens)
    , m_sentAt(environment.tasks.now())
{
}

upstream_attempt::~upstream_attempt()
{
    end(false);
}

void upstream_attempt::start(const attempt &details, std::size_t maxConnections,
                             http::exchange_observer &observer)
{
    const upstream *known = m_environment.upstreams.find(m_to.id);
    const double load = known ? m_environment.selector.loadOf(*known) : 0.0;
    std::optional<double> work;
    if (m_call.size)
        work = static_cast<double>(m_pendingPrefillTokens + (known ? known->pendingPrefillTokens : 0));
    m_speedTicket = m_environment.speeds.recordSent(m_to, work, load);
    m_environment.upstreams.recordCallStart(m_to.id, m_pendingPrefillTokens);
    http::exchange_options options;
    options.maxConnections = maxConnections;
    options.isHeadRequest = m_call.method == "HEAD";
    options.callId = m_call.id;
    options.isMatchingResponse
        = [this](const http::response_head &head) { return m_environment.protocol.isAnswerTo(m_call, head); };
    m_exchange = m_environment.transport.start(m_to.address, m_environment.protocol.encode(m_call, details),
                                               std::move(options), observer);
}

void upstream_attempt::end(bool succeeded)
{
    if (!std::exchange(m_exchange, nullptr))
        return;
    m_environment.upstreams.recordCallEnd(m_to.id, m_pendingPrefillTokens);
    m_environment.speeds.recordUnanswered(m_to, m_speedTicket);
    if (m_answerBeganAt)
        m_environment.speeds.recordEnd(m_to, m_environment.tasks.now() - m_sentAt);
    if (succeeded)
        m_environment.upstreams.recordSuccess(m_to.id);
}

void upstream_attempt::setAnswering()
{
    m_isAnswering = true;
}

void upstream_attempt::setAnswerBegan()
{
    if (m_answerBeganAt)
        return;
    m_answerBeganAt = m_environment.tasks.now();
    m_countedAt = *m_answerBeganAt;
    m_environment.speeds.recordAnswerBegan(m_to, m_speedTicket);
}

void upstream_attempt::recordEvents(std::optional<std::uint64_t> last)
{
    if (m_pendingPrefillTokens > 0)
        m_environment.upstreams.recordPrefill(m_to.id, std::exchange(m_pendingPrefillTokens, 0));
    const std::uint64_t events = last && m_lastEvent && *last > *m_lastEvent ? *last - *m_lastEvent : 1;
    m_lastEvent = last;
    if (m_answerBeganAt)
        recordPace(events);
    else
        setAnswerBegan();
}

void upstream_attempt::recordPace(std::uint64_t events)
{
    m_uncountedEvents += events;
    const time_point now = m_environment.tasks.now();
    const upstream *known = m_environment.upstreams.find(m_to.id);
    if (now - m_countedAt < pace_interval || !known)
        return;
    m_environment.speeds.recordEvents(m_to, m_environment.selector.loadOf(*known),
                                      std::exchange(m_uncountedEvents, 0),
                                      now - std::exchange(m_countedAt, now));
}

} // namespace ivypier::relay
