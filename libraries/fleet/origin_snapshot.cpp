#include "fleet/origin_snapshot.h"

#include <algorithm>

namespace ivypier::fleet {

void origin_snapshot::add(const origin_row &row)
{
    for (const stored_origin &each : row.records) {
        const auto [found, isNew]
            = m_indexes.try_emplace(each.origin, static_cast<std::uint32_t>(m_origins.size()));
        if (isNew)
            m_origins.push_back(each.origin);
        m_records.push_back({each.stream, each.endsAt, found->second, each.isConflicting});
    }
}

void origin_snapshot::finish()
{
    std::sort(
        m_records.begin(), m_records.end(),
        [](const compact_record &left, const compact_record &right) { return left.stream < right.stream; });
    m_indexes.clear();
}

relay::origin_lookup origin_snapshot::find(const relay::stream_key &stream,
                                           std::int64_t wallMilliseconds) const
{
    relay::origin_lookup result{.isComplete = true, .isStored = true};
    auto at = std::lower_bound(
        m_records.begin(), m_records.end(), stream,
        [](const compact_record &left, const relay::stream_key &right) { return left.stream < right; });
    for (; at != m_records.end() && at->stream == stream; ++at) {
        if (at->endsAt < wallMilliseconds)
            continue;
        result = merged(result,
                        {.origin = m_origins[at->origin],
                         .isConflicting = at->isConflicting,
                         .isComplete = true,
                         .isStored = true});
    }
    return result;
}

} // namespace ivypier::fleet
