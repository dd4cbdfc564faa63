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

/// Limits on what is kept after requests have ended.
struct retention_limits
{
    duration answerRetention = std::chrono::seconds(60);
    std::size_t maxAnswerBytes = std::size_t{32} * 1024 * 1024; ///< total size of all retained answers
    duration epochLength = std::chrono::minutes(10);
    std::size_t maxIdsPerEpoch = 20'000; ///< an epoch of this node with more ids ends early

    auto operator<=>(const retention_limits &) const = default;
};

/// Status of a request id that has no record on this node.
enum class id_status {
    fresh, ///< the request may start
    expired, ///< the request did not start here and never will
    forgotten, ///< the request may have run
};

/// Stores the requests of one node: open requests, the answers of ended ones, and the ids of those whose
/// answers are no longer retained. Memory is bounded by retention_limits and the number of remembered epochs.
class request_table
{
public:
    request_table(scheduler &tasks, incarnation self, retention_limits limits);
    ~request_table();

    /// Starts the rotation of epochs. `onEpochChanged` is called with the current epoch and with each new
    /// one.
    void startEpochRotation(std::function<void(std::uint64_t)> onEpochChanged);

    const epoch_window &epochs() const;

    /// Returns the record of a request, a tombstone that holds only how the request ended, or null when the
    /// request is not known.
    record_pointer find(const std::string &key) const;

    /// Returns whether a request without a record may start on this node.
    id_status idStatus(const request_name &request) const;

    void add(const record_pointer &record);

    /// Removes a request without a trace, as if it had never been received.
    void remove(const std::string &key);

    /// Retains a request that has ended or moved, within the limits.
    void retain(const record_pointer &record);

    /// Returns the requests that this node is responsible for answering, in the order received.
    std::vector<record_pointer> open() const;
    std::size_t openCount() const;

    /// Returns the number of stored records and tombstones.
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
    std::map<incarnation, std::uint64_t> m_floors; ///< lowest remembered epoch of each other home
    /// Keyed by how the requests ended. A tombstone is shared by all ids that ended the same way.
    std::map<std::string, record_pointer> m_tombstones;
    std::deque<retained_answer> m_answers;
    std::size_t m_answerBytes = 0;
};

} // namespace ivypier::requests
