#include "fleet/left_answer_memory.h"

#include <algorithm>

namespace ivypier::fleet {

void left_answer_memory::add(relay::crash_key key, const relay::left_answer &answer)
{
    if (m_answers.size() >= max_keys && !m_answers.contains(key)) {
        m_answers.erase(
            std::min_element(m_answers.begin(), m_answers.end(), [](const auto &left, const auto &right) {
                return left.second.back().beganAt < right.second.back().beganAt;
            }));
    }
    std::deque<relay::left_answer> &answers = m_answers[key];
    if (answers.size() >= max_answers_per_key)
        answers.pop_front();
    answers.push_back(answer);
}

std::vector<key_left_answer>
left_answer_memory::take(time_point now, const std::function<bool(relay::crash_key)> &isOfInterest)
{
    std::vector<relay::crash_key> keys;
    for (const auto &[key, answers] : m_answers) {
        if (isOfInterest(key))
            keys.push_back(key);
    }
    std::stable_sort(keys.begin(), keys.end(), [this](relay::crash_key left, relay::crash_key right) {
        return m_answers.at(left).size() > m_answers.at(right).size();
    });
    std::vector<key_left_answer> result;
    for (const relay::crash_key key : keys) {
        if (result.size() + m_answers.at(key).size() > max_taken)
            break;
        for (const relay::left_answer &each : m_answers.at(key))
            result.push_back({key, each.call, now - each.beganAt, each.lasted});
        m_answers.erase(key);
    }
    return result;
}

} // namespace ivypier::fleet
