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

/// Receives the row changes that a follower reads.
class table_observer
{
public:
    virtual ~table_observer() = default;

    /// Called when a row is first read, changed or removed. Shortly after the source became reachable again a
    /// removed row may still reappear, for `uncertainFor`; zero otherwise. Returns whether the row holds new
    /// information; only then is it recorded in the change log.
    virtual bool onChange(const feed_row &row, duration uncertainFor) = 0;
};

struct follower_options
{
    /// Long-poll timeout. After a lost call the follower sees no changes for this time plus the source's
    /// response time. The sum must stay below the time for which a listed upstream is guaranteed to keep
    /// serving.
    duration pollTimeout = std::chrono::seconds(3);
    duration disconnectedPollTimeout = std::chrono::milliseconds(300); ///< until the source responds again
    /// Delay before the next poll after a response with rows, so that changes in quick succession are
    /// batched.
    duration batchDelay = std::chrono::milliseconds(200);
    /// As above, once removals are certain again. Before that, a removal already waits for the row to
    /// reappear.
    duration settledBatchDelay = std::chrono::milliseconds(200);
    duration initialBackoff = std::chrono::milliseconds(150); ///< after a failure; doubled each time
    duration maxBackoff = std::chrono::milliseconds(1200);
    /// Time after the source became reachable again in which rows that expired meanwhile may reappear.
    duration uncertainPeriod = std::chrono::milliseconds(2200);
    std::size_t changeLogCapacity = 1000; ///< entries kept to serve changesSince()

    auto operator<=>(const follower_options &) const = default;
};

/// Keeps a copy of one table up to date through a change feed: reads the whole table, polls for changes, and
/// reads the table again when the change history is no longer available. While the source is unreachable, the
/// whole table is read from a fallback (other nodes). After a restore of the source from an older copy the
/// table is read again; rows that are missing then may still be written again.
class table_follower
{
public:
    table_follower(scheduler &tasks, random_source &randomness, change_feed &source, change_feed *fallback,
                   std::string table, table_observer &observer, follower_options options = {});

    void start();

    /// Reads the table at once, from the fallback while the source is unreachable, unless it is being read
    /// already: a large table takes longer than the time between two calls. To be called when a newer version
    /// is known to exist.
    void refresh();

    /// Reads the table from the fallback and takes over the rows that hold new information for the observer,
    /// but no removals: after a restore of the source other nodes may know rows that it lacks.
    void mergeFromFallback();

    /// Returns the last known state of every row. A row whose last change held no new information for the
    /// observer is returned as it was before.
    versioned_rows rows() const;

    /// Returns the rows with new information since version `after`, each once in its latest state. Returns
    /// std::nullopt when the change log does not reach back that far.
    std::optional<versioned_rows> changesSince(std::uint64_t after) const;

    /// As rows(), without a copy.
    const std::map<std::string, feed_row> &rowsByKey() const
    {
        return m_rows;
    }

    /// Returns the table version up to which changes are known.
    std::uint64_t version() const
    {
        return m_version;
    }

    /// Returns whether the source is responding.
    bool isConnected() const
    {
        return m_connected;
    }

    /// Sets a callback that runs after each successful response of the source.
    void onResponse(std::function<void()> callback);

    /// Sets a callback that runs after rows with new information were read, and after each failed call to the
    /// source.
    void onTableUpdated(std::function<void()> callback);

    /// Sets a callback that runs when the value of a known row is replaced, with the row as it was before and
    /// its new value.
    void onReplacing(std::function<void(const feed_row &before, const std::string &after)> callback);

private:
    struct logged_change
    {
        std::string key;
        std::uint64_t version = 0;
    };

    void readTable();
    void poll();
    void listFromFallback();
    void applySnapshot(const versioned_rows &read);
    void recordRestore(std::uint64_t version);
    void applyChanges(const versioned_rows &read);
    duration uncertainTimeLeft() const;
    /// `loggedVersion` is the version under which the change log keeps the row. It grows with each read; the
    /// row's own version may be older.
    bool notifyObserver(const feed_row &row, duration uncertainFor, std::uint64_t loggedVersion);
    void notifyReplacing(const feed_row &before, const std::string &after) const;
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
    std::deque<logged_change> m_changeLog; ///< rows with new information, in order of version
    std::uint64_t m_changeLogStart = 0; ///< changes up to this version are not in the change log
    bool m_hasUpdates = false;
    std::uint64_t m_callNumber = 0; ///< responses to earlier calls are ignored
    std::uint32_t m_failures = 0;
    time_point m_connectedSince{};
    bool m_connected = false;
    bool m_isListing = false; ///< a call that reads the whole table from the source has not completed
    bool m_isListingFallback = false;
    bool m_hasSnapshot = false;
    std::function<void()> m_onResponse;
    std::function<void()> m_onTableUpdated;
    std::function<void(const feed_row &, const std::string &)> m_onReplacing;
};

} // namespace ivypier::cloud
