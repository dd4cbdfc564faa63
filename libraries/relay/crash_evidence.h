#pragma once

#include "base/clock.h"
#include "relay/left_answers.h"
#include "relay/upstream_end.h"

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ivypier::relay {

/// Keys that occurred together in a call at each of several upstreams that ended, and that no answer has
/// cleared since.
struct crash_blame
{
    crash_key_list keys;
    std::vector<std::string> upstreams; ///< that ended
    std::size_t events = 0; ///< ends, those at one moment counted once
    std::size_t calls = 0; ///< different calls with the keys that were in progress at these ends
    time_point firstEnd{};
    time_point lastEnd{};
    bool isAmbiguous = false; ///< other keys explain the same ends as well
    bool wasAnswered = false; ///< each of the keys had been answered before the first end

    auto operator<=>(const crash_blame &) const = default;
};

/// Collects, for one service, which keys were in progress at upstreams that ended, and which were answered.
///
/// An end is blamed on the keys that explain most ends. A call that holds the keys of a blame only in part is
/// not blamed: its keys may merely have occurred beside the cause. Docs: docs/design/crashing-calls.md.
class crash_evidence
{
public:
    /// Ends within this time have one cause outside of the calls, for instance a lost failure domain, and
    /// count once.
    static constexpr duration simultaneous_time = std::chrono::milliseconds(50);
    static constexpr duration retention = std::chrono::minutes(10);
    static constexpr std::size_t max_ends = 128;
    static constexpr std::size_t max_calls_per_end = 256;
    static constexpr std::size_t max_answered_keys = 4096;
    /// Events that keys which were never answered must explain to be blamed before others.
    static constexpr std::size_t unanswered_first_events = 3;
    /// Blames that are looked for at a time.
    static constexpr std::size_t max_blames = 8;

    explicit crash_evidence(const clock &time);

    /// Adds an end, or further calls of a known one. `answeredBefore` are keys of these calls that were
    /// answered before the end.
    void addEnd(const upstream_end &end, const crash_key_list &answeredBefore);

    /// Records an answer to a call with this key that began at `beganAt`. The ends before that were not
    /// caused by the key, unless the answer was not whole and the key ends upstreams late.
    void addAnswer(crash_key key, time_point beganAt, answer_evidence evidence);

    /// Records an answer to a call with this key that its caller left while it was going on.
    void addLeftAnswer(crash_key key, const left_answer &answer);

    /// Returns whether the key occurred in a call at an upstream that ended, and no answer has cleared it.
    bool isSuspected(crash_key key) const;

    /// Returns whether an answer that began at this time or later speaks for the key.
    bool wasAnsweredAfter(crash_key key, time_point time) const;

    /// Returns whether one of these ends is known, and the key was answered after each end at which it
    /// occurred.
    bool isCleared(crash_key key, const std::vector<std::string> &upstreams) const;

    /// Returns the keys that explain at least `minEvents` ends, those that explain most first.
    std::vector<crash_blame> blames(std::size_t minEvents) const;

    std::size_t endCount() const
    {
        return m_ends.size();
    }

private:
    using end_set = std::vector<const upstream_end *>; ///< ordered by time

    struct blamed_key
    {
        crash_key key;
        end_set ends; ///< at which it occurred, without those of which it is cleared
    };

    struct last_answers
    {
        std::optional<time_point> whole; ///< when the last whole one began
        std::optional<time_point> survived;
    };

    bool endsUpstreamsLate(crash_key key) const;
    void dropOld();
    std::vector<const upstream_end *> endsByTime() const;
    std::map<crash_key, end_set> endsByKey(const end_set &ends) const;
    static std::size_t eventCount(const end_set &ends);
    static std::size_t callCount(const crash_key_list &keys, const end_set &ends);
    static bool occurTogether(const crash_key_list &keys, const end_set &ends);
    /// Returns the keys that explain most of these ends, and at least `minEvents`.
    std::vector<blamed_key> strongestKeys(const end_set &ends, std::size_t minEvents,
                                          bool onlyUnanswered) const;
    /// Adds the blames for ends that are not explained yet, and removes these ends.
    void addBlames(std::vector<crash_blame> &to, end_set &unexplained, std::size_t minEvents,
                   bool onlyUnanswered) const;
    bool isKnownAnswered(crash_key key) const;
    static std::size_t eventCount(crash_key key, const end_set &ends);
    /// Returns a key with those that occurred beside it in a call at each of its ends.
    static crash_key_list groupOf(const blamed_key &seed, const std::vector<blamed_key> &strongest);
    crash_blame blameOf(crash_key_list keys, const end_set &ends) const;

    const clock &m_time;
    std::map<std::string, upstream_end> m_ends;
    std::map<crash_key, last_answers> m_answered;
    left_answers m_left;
    std::set<crash_key> m_answeredBefore;
};

} // namespace ivypier::relay
