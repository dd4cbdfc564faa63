#pragma once

#include "base/clock.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace ivypier::relay {

struct retry_budget_options
{
    double ratio = 0.15; ///< repeats for each firstAttempts sending
    double slack = 4.0; ///< repeats beyond that in one window
    duration window = std::chrono::seconds(10);

    auto operator<=>(const retry_budget_options &) const = default;
};

/// Bounds how often calls of a service are sent once more, so that repeats never multiply an overload. Counts
/// this node's own sendings over a sliding window.
class retry_budget
{
public:
    retry_budget(const clock &time, retry_budget_options options);

    /// Replaces the slack, e.g. when the number of nodes that share it changed.
    void setSlack(double slack);

    /// A call was sent for the firstAttempts time.
    void recordFirstAttempt(const std::string &service);

    /// True when one more repeat is inside the budget; it then counts.
    bool take(const std::string &service);

private:
    static constexpr std::size_t slot_count = 10;

    struct slot
    {
        std::int64_t number = -1; ///< of its part of the window since the clock's start
        double firstAttempts = 0.0;
        double retries = 0.0;
    };
    using slots = std::array<slot, slot_count>;

    slot &currentSlot(const std::string &service);

    const clock &m_time;
    retry_budget_options m_options;
    std::map<std::string, slots> m_services;
};

} // namespace ivypier::relay
