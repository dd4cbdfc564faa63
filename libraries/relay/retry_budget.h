#pragma once

#include "base/clock.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace ivypier::relay {

/// Fraction of a fleet's retry budget that its nodes use. It is below 1 because the nodes do not share their
/// retry counts.
inline constexpr double used_retry_fraction = 0.7;

/// Fraction that nodes use in the first window after their start. The processes that ran there before may
/// have used `used_retry_fraction` of the same window; both together are below 1.
inline constexpr double used_retry_fraction_after_start = 0.2;

struct retry_budget_options
{
    double ratio = 0.15; ///< allowed retries for each first attempt
    double slack = 4.0; ///< retries that all nodes together are allowed in addition in each window
    duration window = std::chrono::seconds(10);
    /// Ratio in the first window after the start, without slack. If not set, that window is like any other.
    std::optional<double> ratioAfterStart = std::nullopt;

    auto operator<=>(const retry_budget_options &) const = default;
};

/// What a decision about a retry was based on.
struct retry_budget_state
{
    double firstAttempts = 0.0; ///< in the window
    double retries = 0.0; ///< in the window
    double slack = 0.0; ///< this node's share
    double ratio = 0.0; ///< allowed retries for each first attempt

    auto operator<=>(const retry_budget_state &) const = default;
};

/// Limits the retries of each service, so that retries do not amplify an overload. Counts only this node's
/// attempts, in a sliding window; those of a process that ran on the VM before are unknown.
class retry_budget
{
public:
    retry_budget(const clock &time, retry_budget_options options);

    /// Sets the slack of all nodes together.
    void setSlack(double slack);

    /// Sets the number of nodes that share the slack, at least 1.
    void setNodes(std::size_t count);

    /// Records the first attempt of a call.
    void recordFirstAttempt(const std::string &service);

    /// Returns true and counts a retry if the budget allows one more.
    bool take(const std::string &service);

    /// Returns the present state of a service's budget.
    retry_budget_state stateOf(const std::string &service) const;

private:
    static constexpr std::size_t slot_count = 10;

    struct slot
    {
        std::int64_t number = -1; ///< index of the time slot since the clock's epoch; -1: unused
        double firstAttempts = 0.0;
        double retries = 0.0;
    };
    using slots = std::array<slot, slot_count>;

    std::int64_t currentNumber() const;
    slot &currentSlot(const std::string &service);

    const clock &m_time;
    retry_budget_options m_options;
    std::size_t m_nodes = 1;
    time_point m_startedAt;
    std::map<std::string, slots> m_services;
};

} // namespace ivypier::relay
