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

graceful_stop::graceful_stop(graceful_stop_dependencies dependencies, std::function<void()> onStopped)
    : m_dependencies(dependencies)
    , m_onStopped(std::move(onStopped))
{
}

void graceful_stop::start(duration timeout, std::string_view cause)
{
    const time_point deadline = m_dependencies.tasks.now() + timeout;
    const bool first = !std::exchange(m_started, true);
    if (!first && deadline >= m_stopDeadline)
        return;
    m_stopDeadline = deadline;
    if (first) {
        log_event(log_level::info, "node.draining")
            .with("cause", cause)
            .with("seconds", seconds(timeout))
            .with("unfinished", static_cast<std::int64_t>(m_dependencies.requests.unfinished()))
            .write();
        m_dependencies.members.leave();
        m_dependencies.requests.stopAccepting();
        m_dependencies.witness.start(m_dependencies.entries.witnessSuccessors());
        checkCompletion();
    }
    const duration drainTime = std::min<duration>(timeout / drain_time_divisor, max_drain_time);
    m_dependencies.tasks.after(drainTime, [this] { handOver(); });
}

void graceful_stop::handOver()
{
    m_dependencies.requestForwarder.redirectAll();
    m_dependencies.requests.handOver(
        [this](const requests::incoming_request &request) {
            return m_dependencies.entries.successors(request.account, request.conversation, request.key());
        },
        m_stopDeadline);
}

void graceful_stop::checkCompletion()
{
    const bool done = m_dependencies.requests.unfinished() == 0
        && m_dependencies.requestForwarder.activeCount() == 0 && m_dependencies.witness.isDone();
    if (!done && m_dependencies.tasks.now() < m_stopDeadline) {
        m_dependencies.tasks.after(check_interval, [this] { checkCompletion(); });
        return;
    }
    // The threads of the HTTP server may still be sending the last responses.
    m_dependencies.tasks.after(check_interval * 4, [this] { m_onStopped(); });
}

} // namespace ivypier::gateway
