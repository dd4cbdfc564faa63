#pragma once

#include "base/outcome.h"
#include "base/scheduler.h"
#include "cloud/table_follower.h"
#include "relay/upstream_directory.h"
#include "relay/upstream_listings.h"

#include <functional>
#include <map>

namespace ivypier::relay {

/// Updates the upstream directory from the rows that upstreams maintain about themselves.
///
/// Rows that are removed shortly after an outage of the source may reappear, so the upstream is removed only
/// when that time is over. A row that can't be decoded is logged and ignored; other upstreams are not
/// affected. The key of a row is the upstream's name; its incarnations follow one another in the row.
///
/// A row that is absent doesn't tell that its upstream leaves: an upstream that is cut off from the platform
/// can't renew it. Nodes tell one another at which version of the table they found an incarnation absent; a
/// row of a newer version takes that back, whichever arrives first.
class upstream_rows final : public cloud::table_observer
{
public:
    using decoder = std::function<outcome<upstream_record>(const std::string &id, std::string_view text)>;
    /// Called with what other nodes are to be told, because they may not read it themselves for a while.
    using listing_handler = std::function<void(const upstream_listing &)>;

    upstream_rows(scheduler &tasks, upstream_directory &upstreams, decoder decode);

    void onListingChanged(listing_handler handler);

    bool onChange(const cloud::feed_row &row, duration uncertainFor) override;

    /// Takes over what another node read of the table. An upstream that the table lacked is not used until a
    /// newer row lists it.
    void applyListing(const upstream_listing &update);

private:
    std::optional<upstream_record> read(const cloud::feed_row &row) const;
    /// Returns whether a row without a start takes the place of one that stated it. Another writer wrote it.
    bool lacksKnownStart(const std::string &key, const upstream_record &record) const;
    void scheduleRemoval(const std::string &key, std::uint64_t tableVersion, duration after);
    void cancelRemoval(const std::string &key);
    void remove(const std::string &key, std::uint64_t tableVersion);
    void recordListed(const std::string &id, std::uint64_t rowVersion);
    void hide(const std::string &id);
    void showAgain(const std::string &id);
    void tell(const upstream_listing &update) const;

    scheduler &m_tasks;
    upstream_directory &m_upstreams;
    decoder m_decode;
    std::map<std::string, upstream_record> m_lastRecords; ///< last decoded record of each row
    std::map<std::string, timer_id> m_pendingRemovals; ///< timers, by row
    upstream_listings m_listings;
    listing_handler m_onListingChanged;
};

} // namespace ivypier::relay
