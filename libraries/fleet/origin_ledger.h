#pragma once

#include "base/clock.h"
#include "fleet/origin_message.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace ivypier::fleet {

/// The records that a node holds of where streams began: of its own streams, and of those that it keeps for
/// other nodes. A record never changes; one that disagrees with an earlier one makes both useless.
class origin_ledger
{
public:
    /// Records above this number are dropped, those that end first before others.
    static constexpr std::size_t max_records = 16'384;

    explicit origin_ledger(const clock &time);

    /// Adds a record. One that is known already is kept for the longer of the two times. `isOwn`: this node
    /// forwards the stream.
    void add(const origin_entry &entry, bool isOwn = false);

    /// Returns the record of a stream, with its present age.
    std::optional<origin_entry> find(const relay::stream_key &stream);

    /// Returns the records that were not returned by an earlier call.
    std::vector<origin_entry> takeNotHandedOver();

    /// Returns the records of the streams of a service that this node forwards.
    std::vector<origin_entry> ownRecords(const std::string &service);

    std::size_t size() const
    {
        return m_records.size();
    }

private:
    struct stored_record
    {
        relay::stream_origin origin;
        time_point madeAt{};
        time_point expiresAt{};
        bool isHandedOver = false;
        bool isConflicting = false;
        bool isOwn = false;
    };

    void dropExpired();
    void remove(const relay::stream_key &stream);
    origin_entry entryOf(const relay::stream_key &stream, const stored_record &stored) const;

    const clock &m_time;
    std::map<relay::stream_key, stored_record> m_records;
    std::set<std::pair<time_point, relay::stream_key>> m_expiries;
};

} // namespace ivypier::fleet
