#pragma once

#include "fleet/origin_row.h"
#include "relay/stream_origins.h"

#include <cstdint>
#include <map>
#include <vector>

namespace ivypier::fleet {

/// The records of a shard's rows, as they were read. Records take 32 bytes each, because a node with little
/// memory reads the rows of several shards.
class origin_snapshot
{
public:
    void add(const origin_row &row);

    /// Sorts the records. To be called after the last add().
    void finish();

    /// Returns the record of a stream; without an origin and without a conflict if there is none. Records
    /// that ended before `wallMilliseconds` don't count.
    relay::origin_lookup find(const relay::stream_key &stream, std::int64_t wallMilliseconds) const;

    std::size_t size() const
    {
        return m_records.size();
    }

private:
    struct compact_record
    {
        relay::stream_key stream;
        std::int64_t endsAt = 0;
        std::uint32_t origin = 0;
        bool isConflicting = false;
    };

    std::vector<compact_record> m_records;
    std::vector<relay::stream_origin> m_origins;
    std::map<relay::stream_origin, std::uint32_t> m_indexes;
};

} // namespace ivypier::fleet
