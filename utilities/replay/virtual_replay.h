#pragma once

#include "base/virtual_scheduler.h"
#include "decision_node.h"
#include "replay_plan.h"
#include "replay_result.h"
#include "trace.h"

#include <memory>
#include <vector>

namespace ivypier::replay {

/// Replays a trace in virtual time against fake engines, through the policies of several nodes that receive
/// the engines' reports with a delay. The load is open-loop, and callers don't retry refused requests.
class virtual_replay
{
public:
    virtual_replay(replay_plan plan, const trace &requests);

    /// Runs until the last answer has ended, or until the trace ends if the plan doesn't drain. Call it once.
    replay_result run();

private:
    /// A request and the state of its current attempt.
    struct in_flight_request
    {
        const trace_request *request = nullptr;
        routing::routing_request makeRoutingRequest;
        admission::admission_request admissionRequest;
        std::size_t node = 0;
        std::size_t engine = 0;
        time_point arrivedAt{};
        time_point firstTokenAt{};
        std::uint64_t delivered = 0;
        unsigned attempts = 0;
        bool cacheTransferred = false;
        bool measured = false;
        std::uint64_t lostTokens = 0; ///< processed tokens that were lost with an interrupted attempt
    };
    using request_pointer = std::shared_ptr<in_flight_request>;

    void schedule();
    void pollLoads(std::size_t node);
    void sendReport(std::size_t node, std::size_t engine);
    void sampleImbalance();
    void announceReclaim();
    void reclaimRunners();
    void arrive(const trace_request &request);
    void dispatch(const request_pointer &inFlight, const routing::routing_choice &choice);
    void firstToken(const request_pointer &inFlight, const std::string &attempt);
    void finished(const request_pointer &inFlight, const std::string &attempt, std::uint64_t computed);
    void failed(const request_pointer &inFlight, const std::string &attempt, std::uint64_t generated,
                std::uint64_t computed);
    void redispatch(const request_pointer &inFlight);
    void abandon(const request_pointer &inFlight);
    request_counts &counts(const trace_request &request);
    bool isInMeasurement(time_point at) const;
    bool isInOutage() const;

    replay_plan m_plan;
    const trace &m_requests;
    virtual_scheduler m_tasks;
    std::vector<std::unique_ptr<fake_engine>> m_engines;
    std::vector<bool> m_reclaimed;
    /// Sequence number of the last cache event read, by node and engine.
    std::vector<std::vector<std::uint64_t>> m_lastEvents;
    std::vector<std::unique_ptr<decision_node>> m_nodes;
    /// By engine: number of caches that can still be exported within the notice.
    std::vector<std::size_t> m_transferBudgets;
    replay_result m_result;
    double m_imbalanceSum = 0.0;
    std::size_t m_imbalanceSamples = 0;
    std::uint64_t m_nextAttempt = 1;
    std::size_t m_unfinished = 0;
};

} // namespace ivypier::replay
