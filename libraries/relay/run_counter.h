#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace ivypier::relay {

/// Number of calls that started to run, by account.
using run_counts = std::map<std::string, std::uint64_t>;

/// Counts, for each account, the calls that started to run in each window of wall-clock time.
class run_counter
{
public:
    /// `windowMilliseconds` must be positive.
    explicit run_counter(std::int64_t windowMilliseconds);

    /// Records that a call started to run. Calls without an account (an empty name) are not counted.
    void count(const std::string &account, std::int64_t wallMilliseconds);

    /// Returns the number of the window that contains a wall-clock time.
    std::int64_t windowAt(std::int64_t wallMilliseconds) const;

    /// Returns the counts of a window, empty if nothing was counted.
    run_counts countsOf(std::int64_t window) const;

    /// Discards all windows before `window`.
    void dropWindowsBefore(std::int64_t window);

private:
    std::int64_t m_windowMilliseconds;
    std::map<std::int64_t, run_counts> m_windows;
};

} // namespace ivypier::relay
