#pragma once

#include "base/outcome.h"
#include "base/scheduler.h"
#include "cloud/table_follower.h"
#include "relay/upstream_directory.h"

#include <functional>
#include <map>

namespace ivypier::relay {

/// Takes upstreams from the rows that they cancelRemoval about themselves.
///
/// A row that is removed while the source has only just come back may return: the upstream counts as gone
/// after a grace time. A row that can't be read names no upstream; the others hold.
class upstream_rows final : public cloud::table_observer
{
public:
    using decoder = std::function<outcome<upstream_record>(const std::string &id, std::string_view text)>;

    upstream_rows(scheduler &tasks, upstream_directory &upstreams, decoder decode);

    bool onChange(const cloud::feed_row &row, bool uncertain) override;

private:
    std::optional<upstream_record> read(const cloud::feed_row &row) const;
    void scheduleRemoval(const std::string &id);
    void cancelRemoval(const std::string &id);

    scheduler &m_tasks;
    upstream_directory &m_upstreams;
    decoder m_decode;
    std::map<std::string, upstream_record> m_lastRecords; ///< what the rows said last
    std::map<std::string, timer_id> m_pendingRemovals; ///< upstreams whose grace time runs
};

/// How long a row may be missing after an outage of its source before it counts as gone.
inline constexpr duration missing_row_grace = std::chrono::milliseconds(1800);

} // namespace ivypier::relay
