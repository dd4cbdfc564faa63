#include "relay/run_counter.h"

namespace ivypier::relay {

run_counter::run_counter(std::int64_t windowMilliseconds)
    : m_windowMilliseconds(windowMilliseconds)
{
}

std::int64_t run_counter::windowAt(std::int64_t wallMilliseconds) const
{
    return wallMilliseconds / m_windowMilliseconds;
}

void run_counter::count(const std::string &account, std::int64_t wallMilliseconds)
{
    if (!account.empty())
        ++m_windows[windowAt(wallMilliseconds)][account];
}

run_counts run_counter::countsOf(std::int64_t window) const
{
    const auto found = m_windows.find(window);
    return found == m_windows.end() ? run_counts() : found->second;
}

void run_counter::dropWindowsBefore(std::int64_t window)
{
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(window));
}

} // namespace ivypier::relay
