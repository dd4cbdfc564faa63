#pragma once

#include "fleet/crash_message.h"
#include "relay/left_answers.h"

#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace ivypier::fleet {

/// The last answers of a service that callers of this node left, until the keepers of evidence are told.
class left_answer_memory
{
public:
    static constexpr std::size_t max_keys = 256;
    static constexpr std::size_t max_answers_per_key = 8;
    /// Answers that are taken at a time: those of three messages.
    static constexpr std::size_t max_taken = 72;

    void add(relay::crash_key key, const relay::left_answer &answer);

    /// Returns the answers to keys of interest and forgets them; keys with most answers come first.
    std::vector<key_left_answer> take(time_point now,
                                      const std::function<bool(relay::crash_key)> &isOfInterest);

    bool empty() const
    {
        return m_answers.empty();
    }

private:
    std::map<relay::crash_key, std::deque<relay::left_answer>> m_answers;
};

} // namespace ivypier::fleet
