#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "delivery/rollout_order.h"
#include "delivery/rollout_status.h"
#include "delivery/version_filter.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ivypier::delivery {

/// Applies the share of a rollout to the calls of this node. Each node has one.
///
/// The share is taken by an accumulator that starts at a random phase: with a few calls a second at each of
/// many nodes, accumulators that all start at 0 would give the target no call for seconds and then one call
/// at all nodes at once.
class rollout_gate
{
public:
    /// A permission for the target ends this long after it was stated, unless a newer one was heard.
    static constexpr duration permission_lifetime = std::chrono::milliseconds(1500);
    /// This node stops using the target after `max_bad_answers` bad ones among its last `answer_window`
    /// answers, until a newer statement.
    static constexpr std::size_t answer_window = 20;
    static constexpr std::size_t max_bad_answers = 10;
    /// Rolled-back versions that are remembered, by service.
    static constexpr std::size_t max_rolled_back = 16;

    rollout_gate(const clock &time, random_source &randomness);

    /// Sets the orders that this node knows. The target of an order gets no calls without a permission.
    void setOrders(const std::vector<rollout_order> &orders);

    /// Takes a statement, if it is newer than the known one. `statedAt` is when it was made, by this node's
    /// clock.
    void setStatus(const rollout_status &status, time_point statedAt);

    /// Returns the versions at which the next new call may run. To be called once for each new call, because
    /// it takes the call's part of the share. A call that may use the target only and finds no upstream of it
    /// uses excludedVersions() instead.
    version_filter admit(const std::string &service);

    /// As admit(), but the call never goes to the target of a rollout that is in progress. To be used for
    /// repeated attempts and for calls whose version must not be chosen by the share.
    version_filter withoutTarget(const std::string &service) const;

    /// Returns the versions that no new call may use at present.
    std::set<std::string> excludedVersions(const std::string &service) const;

    /// Returns true unless the version is excluded. Doesn't take a part of the share.
    bool mayUse(const std::string &service, const std::string &softwareVersion) const;

    /// Records an answer of the target. Answers of other versions are ignored.
    void recordAnswer(const std::string &service, const std::string &softwareVersion, bool bad);

    /// Returns the newest known statements.
    std::vector<rollout_status> statuses() const;

    /// Returns the order in progress of a service, for the keys of evidence: 0 if there is none.
    std::uint64_t orderInProgress(const std::string &service) const;

private:
    struct rollout
    {
        rollout_order order; ///< newest known order; withdrawn if `isOrdered` is false
        bool isOrdered = false;
        std::optional<rollout_status> status;
        time_point statedAt{};
        double accumulator = 0.0;
        std::deque<bool> answers; ///< newest answers of the target, true for bad ones
        bool isStopped = false; ///< this node saw too many bad answers
        std::map<std::string, std::uint64_t> rolledBack; ///< row version of the order, by version
    };

    static std::string targetOf(const rollout &current);
    bool isPermitted(const rollout &current) const;

    const clock &m_clock;
    random_source &m_random;
    std::map<std::string, rollout> m_rollouts; ///< by service
};

} // namespace ivypier::delivery
