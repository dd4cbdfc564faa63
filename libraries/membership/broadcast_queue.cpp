#include "membership/broadcast_queue.h"

#include "base/hash.h"
#include "membership/gossip_codec.h"

#include <cmath>
#include <vector>

namespace ivypier::membership {

namespace {

constexpr std::size_t extra_sends = 3;

} // namespace

void broadcast_queue::add(member_news news)
{
    const std::size_t size = encodedSize(news);
    const std::string subject = "m" + toHex(news.id) + news.accuserDomain; // each domain's accusation counts
    insert(subject, {std::move(news), size});
}

void broadcast_queue::add(fact_news news)
{
    const std::size_t size = encodedSize(news);
    const std::string subject = "f" + news.content.key;
    insert(subject, {std::move(news), size});
}

void broadcast_queue::fill(gossip_message &message, std::size_t room, std::size_t members)
{
    const std::size_t limit = sendLimit(members);
    std::vector<std::pair<std::size_t, std::pair<std::string, entry>>> sent;
    for (auto each = m_entries.begin(); each != m_entries.end();) {
        if (each->second.second.size > room) {
            ++each;
            continue;
        }
        room -= each->second.second.size;
        if (const auto *news = std::get_if<member_news>(&each->second.second.news))
            message.members.push_back(*news);
        else
            message.facts.push_back(std::get<fact_news>(each->second.second.news));
        m_subjects.erase(each->second.first);
        sent.emplace_back(each->first.first + 1, std::move(each->second));
        each = m_entries.erase(each);
    }
    for (auto &[count, item] : sent) {
        if (count >= limit)
            continue;
        const order place{count, m_next++};
        m_subjects[item.first] = place;
        m_entries.emplace(place, std::move(item));
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

std::size_t broadcast_queue::sendLimit(std::size_t members)
{
    return static_cast<std::size_t>(std::ceil(std::log(static_cast<double>(members) + 1.0))) + extra_sends;
}

void broadcast_queue::insert(const std::string &subject, entry fresh)
{
    const auto known = m_subjects.find(subject);
    if (known != m_subjects.end()) {
        m_entries.erase(known->second);
        m_subjects.erase(known);
    }
    if (m_entries.size() >= broadcast_limit) {
        const auto last = std::prev(m_entries.end());
        m_subjects.erase(last->second.first);
        m_entries.erase(last);
    }
    const order place{0, m_next++};
    m_subjects[subject] = place;
    m_entries.emplace(place, std::pair{subject, std::move(fresh)});
}

} // namespace ivypier::membership
