#include "fleet/deviation_sender.h"

#include "relay/stream_origins.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace ivypier::fleet {

deviation_sender::deviation_sender(scheduler &tasks, transmitter transmit)
    : m_tasks(tasks)
    , m_transmit(std::move(transmit))
{
}

void deviation_sender::add(const relay::stream_key &stream, duration lifetime, std::function<void()> onStored)
{
    const time_point now = m_tasks.now();
    const auto [added, isNew] = m_pending.try_emplace(stream);
    if (isNew)
        m_order.emplace(now, stream);
    added->second = {isNew ? now : added->second.addedAt, now + lifetime, std::move(onStored)};
    scheduleResend();
    m_transmit(stream, lifetime);
}

void deviation_sender::applyStored(const relay::stream_key &stream)
{
    auto stored = m_pending.extract(stream);
    if (stored.empty())
        return; // an earlier datagram told it
    const auto [first, end] = m_order.equal_range(stored.mapped().addedAt);
    m_order.erase(std::find_if(first, end, [&](const auto &each) { return each.second == stream; }));
    if (stored.mapped().onStored)
        stored.mapped().onStored();
}

bool deviation_sender::isLate() const
{
    return !m_order.empty() && m_tasks.now() - m_order.begin()->first > relay::late_deviation_time;
}

void deviation_sender::scheduleResend()
{
    if (std::exchange(m_isScheduled, true))
        return;
    m_tasks.after(resend_interval, [this] {
        m_isScheduled = false;
        resend();
    });
}

void deviation_sender::dropExpired()
{
    std::erase_if(m_order, [this](const auto &each) {
        const auto found = m_pending.find(each.second);
        if (m_tasks.now() < found->second.expiresAt)
            return false;
        m_pending.erase(found);
        return true;
    });
}

void deviation_sender::resend()
{
    dropExpired();
    std::vector<relay::stream_key> resent;
    for (const auto &[addedAt, stream] : m_order) {
        if (resent.size() == max_resent || m_tasks.now() - addedAt < resend_interval)
            break;
        resent.push_back(stream);
    }
    for (const relay::stream_key &each : resent) {
        const auto found = m_pending.find(each);
        if (found != m_pending.end()) // transmitting one may have stored another
            m_transmit(each, found->second.expiresAt - m_tasks.now());
    }
    if (!m_pending.empty())
        scheduleResend();
}

} // namespace ivypier::fleet
