#pragma once

#include "base/scheduler.h"
#include "requests/epoch_window.h"
#include "requests/request_record.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ivypier::requests {

/// The bounds of what is kept after a request ended.
struct retention_limits
{
    duration answerRetention = std::chrono::seconds(60);
    std::size_t maxAnswerBytes = std::size_t{32} * 1024 * 1024; ///< of all kept answers together
    duration epochLength = std::chrono::minutes(10);
    std::size_t maxIdsPerEpoch = 20'000; ///< an epoch of this node that has more ends early

    auto operator<=>(const retention_limits &) const = default;
};

/// What becomes of an id that has no record here.
enum class id_status {
    fresh, ///< it may start
    expired, ///< it did not start here and never will
    forgotten, ///< it may have run
};

/// The requests of one node: those that run, the answers of those that ended, and the ids of those whose
/// answers are no longer kept. Memory is bounded by retention_limits and the epochs.
class request_table
{
public:
    request_table(scheduler &tasks, incarnation self, retention_limits limits);
    ~request_table();

    /// Starts to count epochs; `onEpochChanged` hears of each new one.
    void startEpochRotation(std::function<void(std::uint64_t)> onEpochChanged);

    const epoch_window &epochs() const;

    /// The record of a request, or one that only tells how it ended; null when there is none.
    record_pointer find(const std::string &key) const;

    /// Whether a request without a record may start here.
    id_status idStatus(const request_name &request) const;

    void add(const record_pointer &record);

    /// Forgets a request as if it never came.
    void remove(const std::string &key);

    /// Keeps what is left of a request that ended or moved, within the limits.
    void retain(const record_pointer &record);

    /// Requests that are this node's to answer, in the order they came.
    std::vector<record_pointer> open() const;
    std::size_t openCount() const;

    /// Records and ids that are kept.
    std::size_t size() const;

private:
    struct retained_answer
    {
        record_pointer record;
        time_point expiresAt;
        std::size_t bytes = 0;
    };
    struct epoch_group
    {
        std::map<std::string, record_pointer> records;
        time_point lastUsed{};
    };

    void rotate();
    void scheduleRotation();
    void sweep();
    void dropOldestAnswer();
    record_pointer sharedTombstone(const request_record &record);
    epoch_group &epochGroupOf(const request_record &record);

    scheduler &m_tasks;
    incarnation m_self;
    retention_limits m_limits;
    epoch_window m_window;
    std::function<void(std::uint64_t)> m_epochChanged;
    timer_id m_rotation = 0;
    timer_id m_sweep = 0;
    std::map<std::string, record_pointer> m_byKey;
    std::map<std::uint64_t, record_pointer> m_open;
    std::map<std::string, std::uint64_t> m_openSequences;
    std::uint64_t m_nextSequence = 1;
    std::map<incarnation, std::map<std::uint64_t, epoch_group>> m_groups;
    std::map<incarnation, std::uint64_t> m_floors; ///< of other homes
    std::map<std::string, record_pointer> m_tombstones; ///< by ending; shared by all ids that ended so
    std::deque<retained_answer> m_answers;
    std::size_t m_answerBytes = 0;
};

} // namespace ivypier::requests
