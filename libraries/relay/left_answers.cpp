#include "relay/left_answers.h"

#include <algorithm>

namespace ivypier::relay {

void left_answers::add(crash_key key, const left_answer &answer, const ends_by_upstream &ends)
{
    auto found = m_records.find(key);
    if (found == m_records.end()) {
        if (m_records.size() >= max_keys)
            makeRoom();
        found = m_records.try_emplace(key).first;
        for (const auto &[upstream, end] : ends)
            addEnd(found->second, key, end);
    }
    std::map<crash_key, left_answer> &answers = found->second.answers;
    if (answers.size() >= max_answers_per_key) {
        answers.erase(
            std::min_element(answers.begin(), answers.end(), [](const auto &left, const auto &right) {
                return left.second.beganAt < right.second.beganAt;
            }));
    }
    answers.try_emplace(answer.call, answer);
}

void left_answers::makeRoom()
{
    // The key with the fewest answers is the least likely to be outlived.
    m_records.erase(
        std::min_element(m_records.begin(), m_records.end(), [](const auto &left, const auto &right) {
            return left.second.answers.size() < right.second.answers.size();
        }));
}

void left_answers::addEnd(const upstream_end &end)
{
    for (auto &[key, record] : m_records)
        addEnd(record, key, end);
}

void left_answers::addEnd(key_record &to, crash_key key, const upstream_end &end)
{
    for (const crash_suspect &call : end.calls) {
        if (!std::binary_search(call.keys.begin(), call.keys.end(), key))
            continue;
        to.ends.try_emplace(end.upstream, end.at);
        to.longest = std::max(to.longest, call.progress);
    }
    if (to.ends.size() > max_ends_per_key)
        to.ends.erase(
            std::min_element(to.ends.begin(), to.ends.end(),
                             [](const auto &left, const auto &right) { return left.second < right.second; }));
}

std::size_t left_answers::endCount(crash_key key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? 0 : found->second.ends.size();
}

bool left_answers::isOutlivedSince(crash_key key, time_point time) const
{
    const auto found = m_records.find(key);
    if (found == m_records.end())
        return false;
    const key_record &record = found->second;
    const auto ends = static_cast<std::size_t>(std::count_if(
        record.ends.begin(), record.ends.end(), [time](const auto &each) { return each.second >= time; }));
    const auto answers = static_cast<std::size_t>(
        std::count_if(record.answers.begin(), record.answers.end(), [&](const auto &each) {
            return each.second.beganAt >= time && each.second.lasted > record.longest;
        }));
    return answers >= answers_per_end * std::max<std::size_t>(ends, 1);
}

bool left_answers::isOutlived(crash_key key) const
{
    return isOutlivedSince(key, time_point::min());
}

} // namespace ivypier::relay
