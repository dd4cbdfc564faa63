#pragma once

#include "relay/upstream_end.h"

#include <cstddef>
#include <map>
#include <string>

namespace ivypier::relay {

/// An answer that its caller left while it was going on.
struct left_answer
{
    crash_key call; ///< identity of the call
    time_point beganAt{};
    duration lasted{}; ///< from its beginning to the last event that arrived

    auto operator<=>(const left_answer &) const = default;
};

/// Weighs, for one service, answers that callers left against the ends of upstreams.
///
/// Such an answer may have been left just before its upstream would have ended, so it speaks for a key only
/// if it lasted longer than each call with the key had when an upstream ended: a key that ends upstreams
/// after some time is never outlived. Docs: docs/design/crashing-calls.md.
class left_answers
{
public:
    static constexpr std::size_t max_keys = 64;
    static constexpr std::size_t max_answers_per_key = 256;
    static constexpr std::size_t max_ends_per_key = 128; ///< as many as the evidence of a service holds
    /// Answers for each end that must have outlasted the calls at the ends. A key that ends one in five or
    /// more of the upstreams that run it is never cleared.
    static constexpr std::size_t answers_per_end = 4;

    using ends_by_upstream = std::map<std::string, upstream_end>;

    /// Adds an answer to a call with this key. `ends` are the known ends.
    void add(crash_key key, const left_answer &answer, const ends_by_upstream &ends);

    /// Takes an end, or further calls of one, into account.
    void addEnd(const upstream_end &end);

    /// Returns whether calls with the key outlived the ends since `time`, by answers that began after it.
    bool isOutlivedSince(crash_key key, time_point time) const;

    /// Returns whether calls with the key outlived each end at any time.
    bool isOutlived(crash_key key) const;

    /// Returns the number of kept ends in which calls with the key were in progress.
    std::size_t endCount(crash_key key) const;

    bool contains(crash_key key) const
    {
        return m_records.contains(key);
    }
    void clear()
    {
        m_records.clear();
    }

private:
    struct key_record
    {
        std::map<crash_key, left_answer> answers; ///< by call
        std::map<std::string, time_point> ends; ///< with the key, by upstream
        duration longest{}; ///< progress of a call with the key when an upstream ended
    };

    static void addEnd(key_record &to, crash_key key, const upstream_end &end);
    void makeRoom();

    std::map<crash_key, key_record> m_records;
};

} // namespace ivypier::relay
