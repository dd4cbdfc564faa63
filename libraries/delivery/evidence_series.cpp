#include "delivery/evidence_series.h"

#include <utility>

namespace ivypier::delivery {

void evidence_series::append(entry newest)
{
    // The newest entry is replaced until it is an interval after the one before it.
    const std::size_t count = m_entries.size();
    if (count >= 2 && m_entries[count - 1].at - m_entries[count - 2].at < interval)
        m_entries.pop_back();
    m_entries.push_back(std::move(newest));
    if (m_entries.size() > max_entries)
        m_entries.pop_front();
}

} // namespace ivypier::delivery
