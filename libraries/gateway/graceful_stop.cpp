#include "gateway/graceful_stop.h"

#include "base/log_event.h"

#include <algorithm>
#include <utility>

namespace ivypier::gateway {

namespace {

constexpr duration check_interval = std::chrono::milliseconds(50);

/// Time in which running requests may finish before the rest is handed over: the stop timeout divided by
/// drain_time_divisor, but at most max_drain_time.
constexpr int drain_time_divisor = 4;
constexpr duration max_drain_time = std::chrono::seconds(2);

} // namespace

graceful_stop::graceful_stop(graceful_stop_parts parts, std::function<void()> onStopped)
    : m_parts(parts)
    , m_onStopped(std::move(onStopped))
{
}

void graceful_stop::start(duration timeout, std::string_view cause)
{
    const time_point deadline = m_parts.tasks.now() + timeout;
    const bool first = !std::exchange(m_started, true);
    if (!first && deadline >= m_stopDeadline)
        return;
    m_stopDeadline = deadline;
    if (first) {
        log_event(log_level::info, "node.draining")
            .with("cause", cause)
            .with("seconds", seconds(timeout))
            .with("unfinished", static_cast<std::int64_t>(m_parts.requests.unfinished()))
            .write();
        m_parts.members.leave();
        m_parts.requests.stopAccepting();
        m_parts.witness.start(m_parts.entries.witnessSuccessors());
        checkCompletion();
    }
    const duration drainTime = std::min<duration>(timeout / drain_time_divisor, max_drain_time);
    m_parts.tasks.after(drainTime, [this] { handOver(); });
}

void graceful_stop::handOver()
{
    m_parts.requestForwarder.redirectAll();
    m_parts.requests.handOver(
        [this](const requests::incoming_request &request) {
            return m_parts.entries.successors(request.account, request.conversation, request.key());
        },
        m_stopDeadline);
}

void graceful_stop::checkCompletion()
{
    const bool done = m_parts.requests.unfinished() == 0 && m_parts.requestForwarder.activeCount() == 0
        && m_parts.witness.isDone();
    if (!done && m_parts.tasks.now() < m_stopDeadline) {
        m_parts.tasks.after(check_interval, [this] { checkCompletion(); });
        return;
    }
    // The threads of the HTTP server may still be sending the last responses.
    m_parts.tasks.after(check_interval * 4, [this] { m_onStopped(); });
}

} // namespace ivypier::gateway
