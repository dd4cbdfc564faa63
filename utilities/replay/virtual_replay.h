#pragma once

#include "base/virtual_scheduler.h"
#include "decision_node.h"
#include "replay_plan.h"
#include "replay_result.h"
#include "trace.h"

#include <memory>
#include <vector>

namespace ivypier::replay {

/// Runs a trace in virtual time: open loop, against fake engines, through the decisions of several nodes that
/// learn of the engines late. Callers don't come back after a refusal.
class virtual_replay
{
public:
    virtual_replay(replay_plan plan, const trace &requests);

    /// Runs to the end of the last answer.
    replay_result run();

private:
    /// One request on its way.
    struct in_flight_request
    {
        const trace_request *request = nullptr;
        routing::routing_request routingRequest;
        admission::admission_request admissionRequest;
        std::size_t node = 0;
        std::size_t engine = 0;
        time_point arrivedAt{};
        time_point firstTokenAt{};
        std::uint64_t delivered = 0;
        unsigned attempts = 0;
        bool cacheTransferred = false;
        bool measured = false;
        std::uint64_t lostTokens = 0; ///< tokens that an interruption took after they had been processed
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
    request_counts &counts(const trace_request &of);
    bool isInMeasurement(time_point at) const;
    bool isInOutage() const;

    replay_plan m_plan;
    const trace &m_requests;
    virtual_scheduler m_tasks;
    std::vector<std::unique_ptr<fake_engine>> m_engines;
    std::vector<bool> m_reclaimed;
    std::vector<std::vector<std::uint64_t>> m_lastEvents; ///< by node and engine
    std::vector<std::unique_ptr<decision_node>> m_nodes;
    std::vector<std::size_t> m_transferBudgets; ///< streams whose cache the notice still allows to transfer
    replay_result m_result;
    double m_imbalanceSum = 0.0;
    std::size_t m_imbalanceSamples = 0;
    std::uint64_t m_nextAttempt = 1;
    std::size_t m_unfinished = 0;
};

} // namespace ivypier::replay
