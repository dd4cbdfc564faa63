#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "cloud/change_feed.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace ivypier::cloud {

/// Receives what a follower learns.
class table_observer
{
public:
    virtual ~table_observer() = default;

    /// One row was read for the first time, changed or was removed. `uncertain`: the source was away until
    /// just now, so that a removed row may come back. Returns whether it told something new.
    virtual bool onChange(const feed_row &row, bool uncertain) = 0;
};

struct follower_options
{
    /// Longest wait for a change. A call that gets lost leaves the follower blind for this long and the time
    /// that the source may take to answer: together less than what a listed upstream is promised to serve on.
    duration wait = std::chrono::seconds(3);
    duration disconnectedPollTimeout = std::chrono::milliseconds(300); ///< until the source answers again
    /// Pause after an answer that brought rows, so that changes that come together are read together.
    duration batchDelay = std::chrono::milliseconds(200);
    duration initialBackoff = std::chrono::milliseconds(150); ///< after a failure; doubled each time
    duration maxBackoff = std::chrono::milliseconds(1200);
    duration uncertainPeriod = std::chrono::seconds(3); ///< after the source came back
    std::size_t changeLogCapacity = 1000; ///< kept for those who follow this follower

    auto operator<=>(const follower_options &) const = default;
};

/// Follows one table through a change feed, for ever: reads it, waits for changes, reads it again when the
/// history is lost. While the source does not answer, another one (other nodes) is asked for the whole table.
class table_follower
{
public:
    table_follower(scheduler &tasks, random_source &randomness, change_feed &source, change_feed *fallback,
                   std::string table, table_observer &observer, follower_options options = {});

    void start();

    /// Something newer is known elsewhere: the table is read at once, from the fallback while the source
    /// does not answer.
    void refresh();

    /// Every row as last seen.
    versioned_rows rows() const;

    /// The rows that told something new after a version, each as last seen; nothing when that is not known
    /// any longer.
    std::optional<versioned_rows> changesSince(std::uint64_t after) const;

    /// The version up to which changes are known.
    std::uint64_t version() const
    {
        return m_version;
    }

    /// True while the source answers.
    bool isConnected() const
    {
        return m_connected;
    }

    /// Calls `observer` each time the source recordSuccess.
    void onResponse(std::function<void()> observer);

    /// Calls `observer` after rows told something new, and when the source stops to answer.
    void onTableUpdated(std::function<void()> observer);

private:
    void list();
    void wait();
    void listFromFallback();
    void applySnapshot(const versioned_rows &read);
    void applyChanges(const versioned_rows &read);
    void notifyObserver(const feed_row &row, bool uncertain);
    void notifyTableUpdated();
    void schedulePoll();
    void recordSuccess();
    void recordFailure(const error &failure);

    scheduler &m_tasks;
    random_source &m_random;
    change_feed &m_source;
    change_feed *m_fallback;
    std::string m_table;
    table_observer &m_observer;
    follower_options m_options;
    std::map<std::string, feed_row> m_rows;
    std::uint64_t m_version = 0;
    std::deque<feed_row> m_changeLog; ///< what told something new, in order of versions
    std::uint64_t m_changeLogStart = 0; ///< changes up to this version are not in the log
    bool m_hasUpdates = false;
    std::uint64_t m_callNumber = 0; ///< answers to earlier turns are dropped
    std::uint32_t m_failures = 0;
    time_point m_connectedSince{};
    bool m_connected = false;
    bool m_hasSnapshot = false;
    std::function<void()> m_onResponse;
    std::function<void()> m_onTableUpdated;
};

} // namespace ivypier::cloud
