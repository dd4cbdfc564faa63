#pragma once

#include "base/random_source.h"
#include "base/virtual_scheduler.h"
#include "delivery/rollout_controller.h"
#include "delivery/rollout_gate.h"
#include "fake_status_table.h"
#include "fake_table.h"

#include <array>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace ivypier::delivery::tests {

enum class badness { good, at_once, later, under_load, on_one_route, slow, gaps, without_answer };
enum class disturbance {
    none,
    burst,
    nodes_killed,
    domain_lost,
    holder_killed,
    store_silent,
    third_partitioned
};

struct rollout_case
{
    std::size_t nodes = 8;
    double callsPerSecond = 300.0;
    duration length = std::chrono::seconds(12);
    duration lateness = std::chrono::milliseconds(400); ///< average age of the evidence
    duration statementSpread = std::chrono::milliseconds(200); ///< until the last node hears a statement
    badness bad = badness::good;
    disturbance disturbed = disturbance::none;
    std::uint64_t seed = 1;
};

struct rollout_result
{
    rollout_state state = rollout_state::in_progress;
    double endedAt = 0.0; ///< seconds from the order to the end as the status row or a statement has it
    bool isInTime = false;
    std::uint64_t calls = 0; ///< calls of the service between order and deadline
    std::uint64_t exposed = 0; ///< those that went to the target
    double exposureBound = 0.0;
    std::uint64_t callsAfterBound = 0; ///< calls to a bad target sent over 5 s after its 50th bad response
    std::uint64_t callsAfterRollback = 0; ///< calls to the target by nodes that heard of the rollback
    double rollbackSeconds = 0.0; ///< from the 50th bad response to the last call
    std::uint64_t brokenStreams = 0; ///< streams on old upstreams when those stopped
    std::string reason;

    bool isWithinExposure() const
    {
        return static_cast<double>(exposed) <= exposureBound;
    }
};

/// Plays one rollout in virtual time: calls arrive at nodes, the gates choose versions, evidence reaches the
/// holder of the duties late, statements reach the nodes late.
class simulated_rollout
{
public:
    explicit simulated_rollout(const rollout_case &wanted);

    rollout_result run();

private:
    static constexpr duration step = std::chrono::milliseconds(20);
    static constexpr double boot_seconds = 2.5;

    struct node
    {
        std::unique_ptr<rollout_gate> gate;
        version_evidence evidence;
        std::uint64_t incarnation = 0;
        bool isPartitioned = false;
        bool knowsRollback = false;
    };
    struct event
    {
        time_point at{};
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event &other) const
        {
            return std::pair(other.at, other.order) < std::pair(at, order);
        }
    };
    struct holder
    {
        std::unique_ptr<placement::tests::fake_table_client> table;
        std::unique_ptr<fake_status_table> statusTable;
        std::unique_ptr<rollout_controller> controller;
        std::vector<version_evidence> received; ///< by node
        version_evidence ended; ///< of nodes that were killed
        std::uint64_t token = 0; ///< 0: doesn't hold the duties
    };

    double elapsed() const
    {
        return seconds(m_time.now().time_since_epoch());
    }
    void at(duration after, std::function<void()> action);
    void startNode(std::size_t index);
    void scheduleReport(std::size_t index, std::uint64_t incarnation);
    void announce(const rollout_status &status);
    void poll();
    void arrive(double rate);
    void call(std::size_t index, std::size_t route);
    bool isBadCall(std::size_t route);
    void disturb();
    void noteEnd();
    double lognormal(double median, double sigma);

    rollout_case m_case;
    seeded_random m_random;
    virtual_scheduler m_time;
    placement::tests::fake_table m_store{m_time, m_random};
    rollout_order m_order;
    std::vector<node> m_nodes;
    std::vector<holder> m_holders;
    std::priority_queue<event> m_events;
    std::uint64_t m_eventCount = 0;
    rollout_result m_result;
    double m_badPortion = 0.0;
    double m_slowFactor = 1.0;
    double m_badFrom = 0.0;
    double m_badRate = 0.0; ///< calls a second from which a version is bad that is bad under load only
    double m_targetRate = 0.0; ///< calls a second to the target, smoothed
    double m_disturbedAt = 0.0;
    double m_commonFailures = 0.0; ///< part of calls to both versions that fail
    std::uint64_t m_badResponses = 0;
    double m_fiftiethAt = -1.0;
    double m_lastTargetCall = 0.0;
    std::uint64_t m_running = 0; ///< calls on old upstreams
    std::deque<std::uint64_t> m_runningHistory;
    std::uint64_t m_streamEpoch[2] = {0, 0};
    bool m_isOldStopped = false;
};

} // namespace ivypier::delivery::tests
