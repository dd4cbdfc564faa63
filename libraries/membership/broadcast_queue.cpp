#include "membership/broadcast_queue.h"

#include "base/hash.h"
#include "membership/gossip_codec.h"

#include <cmath>
#include <vector>

namespace ivypier::membership {

namespace {

constexpr std::size_t extra_transmissions = 3;

} // namespace

void broadcast_queue::add(member_update update)
{
    const std::size_t size = encodedSize(update);
    const std::string subject
        = "m" + toHex(update.id) + update.reporterDomain; // each domain's suspicion is kept
    insert(subject, {std::move(update), size});
}

void broadcast_queue::add(fact_update update)
{
    const std::size_t size = encodedSize(update);
    const std::string subject = "f" + update.content.key;
    insert(subject, {std::move(update), size});
}

void broadcast_queue::fill(gossip_message &message, std::size_t availableBytes, std::size_t members)
{
    const std::size_t limit = maxTransmissions(members);
    std::vector<std::pair<std::size_t, std::pair<std::string, entry>>> sent;
    for (auto each = m_entries.begin(); each != m_entries.end();) {
        if (each->second.second.size > availableBytes) {
            ++each;
            continue;
        }
        availableBytes -= each->second.second.size;
        if (const auto *update = std::get_if<member_update>(&each->second.second.update))
            message.members.push_back(*update);
        else
            message.facts.push_back(std::get<fact_update>(each->second.second.update));
        m_subjects.erase(each->second.first);
        sent.emplace_back(each->first.first + 1, std::move(each->second));
        each = m_entries.erase(each);
    }
    for (auto &[count, item] : sent) {
        if (count >= limit)
            continue;
        const send_order position{count, m_next++};
        m_subjects[item.first] = position;
        m_entries.emplace(position, std::move(item));
    }
}

bool broadcast_queue::empty() const
{
    return m_entries.empty();
}

std::size_t broadcast_queue::size() const
{
    return m_entries.size();
}

std::size_t broadcast_queue::maxTransmissions(std::size_t members)
{
    return static_cast<std::size_t>(std::ceil(std::log(static_cast<double>(members) + 1.0)))
        + extra_transmissions;
}

void broadcast_queue::insert(const std::string &subject, entry added)
{
    const auto known = m_subjects.find(subject);
    if (known != m_subjects.end()) {
        m_entries.erase(known->second);
        m_subjects.erase(known);
    }
    if (m_entries.size() >= max_queued_updates) {
        const auto last = std::prev(m_entries.end());
        m_subjects.erase(last->second.first);
        m_entries.erase(last);
    }
    const send_order position{0, m_next++};
    m_subjects[subject] = position;
    m_entries.emplace(position, std::pair{subject, std::move(added)});
}

} // namespace ivypier::membership
