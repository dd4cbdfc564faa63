#pragma once

#include "base/outcome.h"
#include "base/scheduler.h"
#include "cloud/table_follower.h"
#include "relay/upstream_directory.h"

#include <functional>
#include <map>

namespace ivypier::relay {

/// Updates the upstream directory from the rows that upstreams maintain about themselves.
///
/// Rows that are removed shortly after an outage of the source may reappear, so the upstream is removed only
/// when that time is over. A row that can't be decoded is logged and ignored; other upstreams are not
/// affected. The key of a row is the upstream's name; its incarnations follow one another in the row.
class upstream_rows final : public cloud::table_observer
{
public:
    using decoder = std::function<outcome<upstream_record>(const std::string &id, std::string_view text)>;

    upstream_rows(scheduler &tasks, upstream_directory &upstreams, decoder decode);

    bool onChange(const cloud::feed_row &row, duration uncertainFor) override;

private:
    std::optional<upstream_record> read(const cloud::feed_row &row) const;
    /// Returns whether a row without a start takes the place of one that stated it. Another writer wrote it.
    bool lacksKnownStart(const std::string &key, const upstream_record &record) const;
    void scheduleRemoval(const std::string &key, duration after);
    void cancelRemoval(const std::string &key);
    void remove(const std::string &key);

    scheduler &m_tasks;
    upstream_directory &m_upstreams;
    decoder m_decode;
    std::map<std::string, upstream_record> m_lastRecords; ///< last decoded record of each row
    std::map<std::string, timer_id> m_pendingRemovals; ///< timers, by row
};

} // namespace ivypier::relay
