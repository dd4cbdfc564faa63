#include "fleet/crash_reporter.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace ivypier::fleet {

crash_reporter::crash_reporter(scheduler &tasks, membership::datagram_channel &channel,
                               const secret_key &fleetKey, const membership::membership_view &members,
                               keeper_ranking &ranking, std::uint16_t port, local_receiver receiveLocally)
    : m_tasks(tasks)
    , m_channel(channel)
    , m_fleetKey(fleetKey)
    , m_members(members)
    , m_ranking(ranking)
    , m_port(port)
    , m_receiveLocally(std::move(receiveLocally))
{
}

void crash_reporter::report(crash_message message)
{
    if (m_outgoing.size() >= max_messages)
        m_outgoing.erase(m_outgoing.begin());
    message.number = ++m_lastNumber;
    outgoing_message &added = m_outgoing[message.number];
    added.message = std::move(message);
    added.createdAt = added.nextSend = m_tasks.now();
    send(added);
    scheduleTick();
}

void crash_reporter::confirm(std::uint64_t number, membership::incarnation keeper)
{
    if (const auto found = m_outgoing.find(number); found != m_outgoing.end())
        found->second.confirmedBy.insert(keeper);
}

void crash_reporter::scheduleTick()
{
    if (std::exchange(m_isTickScheduled, true))
        return;
    m_tasks.after(tick_interval, [this] {
        m_isTickScheduled = false;
        tick();
    });
}

void crash_reporter::tick()
{
    std::erase_if(m_outgoing, [this](const auto &each) {
        const duration age = m_tasks.now() - each.second.createdAt;
        return age > (each.second.message.kind == crash_message_kind::end ? end_retention : answer_retention);
    });
    for (auto &[number, each] : m_outgoing)
        send(each);
    if (!m_outgoing.empty())
        scheduleTick();
}

void crash_reporter::send(outgoing_message &outgoing)
{
    const duration since = m_tasks.now() - outgoing.createdAt;
    const bool isDue = m_tasks.now() >= outgoing.nextSend;
    bool isSent = false;
    for (const keeper_ranking::candidate &each : m_ranking.keepersOf(hash64(outgoing.message.service))) {
        if (outgoing.confirmedBy.contains(each.id) || (!isDue && each.id != m_members.self().id))
            continue;
        crash_message message = outgoing.message;
        message.age += since;
        for (key_answer &answer : message.answers)
            answer.age += since;
        for (key_left_answer &answer : message.leftAnswers)
            answer.age += since;
        if (each.id == m_members.self().id) {
            outgoing.confirmedBy.insert(each.id);
            m_receiveLocally(message);
            continue;
        }
        ++m_datagramsSent;
        isSent = true;
        m_channel.send({each.address.host, m_port}, encodeCrashMessage(m_fleetKey, message));
    }
    if (!isSent)
        return;
    outgoing.nextSend = m_tasks.now() + outgoing.resendInterval;
    outgoing.resendInterval = std::min<duration>(2 * outgoing.resendInterval, last_resend_interval);
}

} // namespace ivypier::fleet
