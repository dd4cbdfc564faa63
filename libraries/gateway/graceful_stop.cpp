#include "gateway/graceful_stop.h"

#include "base/log_event.h"

#include <algorithm>
#include <utility>

namespace ivypier::gateway {

namespace {

constexpr duration check_interval = std::chrono::milliseconds(50);

/// What still finishes here before the rest is handed over: a part of the notice, and no more than this.
constexpr int drain_time_divisor = 4;
constexpr duration max_drain_time = std::chrono::seconds(2);

} // namespace

graceful_stop::graceful_stop(graceful_stop_parts parts, std::function<void()> ended)
    : m_parts(parts)
    , m_onStopped(std::move(ended))
{
}

void graceful_stop::start(duration within, std::string_view cause)
{
    const time_point end = m_parts.tasks.now() + within;
    const bool first = !std::exchange(m_started, true);
    if (!first && end >= m_stopDeadline)
        return;
    m_stopDeadline = end;
    if (first) {
        log_event(log_level::info, "node.draining")
            .with("cause", cause)
            .with("seconds", seconds(within))
            .with("unfinished", static_cast<std::int64_t>(m_parts.requests.unfinished()))
            .write();
        m_parts.members.leave();
        m_parts.requests.stopAccepting();
        m_parts.witness.start(m_parts.entries.witnessSuccessors());
        checkCompletion();
    }
    const duration finishing = std::min<duration>(within / drain_time_divisor, max_drain_time);
    m_parts.tasks.after(finishing, [this] { handOver(); });
}

void graceful_stop::handOver()
{
    m_parts.forwards.redirectAll();
    m_parts.requests.handOver(
        [this](const requests::incoming_request &request) {
            return m_parts.entries.successors(request.account, request.conversation, request.key());
        },
        m_stopDeadline);
}

void graceful_stop::checkCompletion()
{
    const bool done
        = m_parts.requests.unfinished() == 0 && m_parts.forwards.active() == 0 && m_parts.witness.isDone();
    if (!done && m_parts.tasks.now() < m_stopDeadline) {
        m_parts.tasks.after(check_interval, [this] { checkCompletion(); });
        return;
    }
    // The last answers are on their way through the library's threads.
    m_parts.tasks.after(check_interval * 4, [this] { m_onStopped(); });
}

} // namespace ivypier::gateway
