#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace ivypier::relay {

/// Calls that began to run, by account.
using run_counts = std::map<std::string, std::uint64_t>;

/// Counts the calls of each account that began to run in each window of the time of day.
class run_counter
{
public:
    /// `windowMilliseconds` is above 0.
    explicit run_counter(std::int64_t windowMilliseconds);

    /// A call began to run at this time of day.
    void count(const std::string &account, std::int64_t wallMilliseconds);

    /// The number of the window that holds a time of day.
    std::int64_t windowAt(std::int64_t wallMilliseconds) const;

    /// What was counted in a window.
    run_counts countsOf(std::int64_t window) const;

    /// Forgets the windows before this one.
    void forgetBefore(std::int64_t window);

private:
    std::int64_t m_windowMilliseconds;
    std::map<std::int64_t, run_counts> m_windows;
};

} // namespace ivypier::relay
