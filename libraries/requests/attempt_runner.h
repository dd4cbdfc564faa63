#pragma once

#include "admission/retry_policy.h"
#include "base/metrics_registry.h"
#include "base/scheduler.h"
#include "requests/cost_meter.h"
#include "requests/request_record.h"
#include "routing/router.h"
#include "upstream/model_engine.h"
#include "upstream/plain_service.h"

#include <string>
#include <vector>

namespace ivypier::requests {

/// Dependencies of an attempt_runner. All referenced objects must outlive it.
struct attempt_runner_dependencies
{
    scheduler &tasks;
    metrics_registry &metrics;
    routing::router &router;
    admission::retry_policy &retries;
    upstream::model_engine &engines;
    upstream::plain_service &services;
    record_owner &owner;
    incarnation self = 0;
};

/// Runs requests on upstreams: selects an upstream, dispatches, retries where that is allowed, and continues
/// on another upstream when one fails or is leaving. Must be called from tasks of its scheduler only.
class attempt_runner
{
public:
    explicit attempt_runner(attempt_runner_dependencies dependencies);

    /// Selects an upstream and starts an attempt there. Finishes the request when no upstream is available.
    void dispatch(const record_pointer &record);

    /// Resumes a stream that was started at an engine before this node took over the request.
    void resume(const record_pointer &record, const routing::candidate &target, const std::string &stream);

    /// Moves those streams of `records` that run on the leaving `upstream` to other upstreams.
    void moveStreams(const endpoint &upstream, const std::vector<record_pointer> &records);

    /// Ends the current attempt of a request and cancels its work at the engine.
    void cancel(request_record &record);

    /// Ends the current attempt on this node but keeps its stream at the engine, so that another node can
    /// resume it.
    void release(request_record &record);

private:
    class attempt_observer;

    void beginAttempt(const record_pointer &record, const routing::candidate &target, recompute_cause cause);
    void sendToEngine(const record_pointer &record, const std::string &cacheHandle);
    void sendToPlainService(const record_pointer &record);
    void moveStream(const record_pointer &record, const std::string &cacheHandle);

    void handleStarted(const record_pointer &record, const std::string &attempt, const std::string &stream);
    void handleToken(const record_pointer &record, const std::string &attempt, std::uint64_t index,
                     const std::string &text);
    void handleFinished(const record_pointer &record, const std::string &attempt,
                        const upstream::token_usage &usage);
    void handlePlainResponse(const record_pointer &record, const std::string &attempt,
                             const outcome<http::response> &answer);
    void handleFailure(const record_pointer &record, const std::string &attempt, const error &failure);
    void retryOrFinish(const record_pointer &record, recompute_cause cause);
    void endAttempt(request_record &record, routing::attempt_result result);
    bool isCurrent(const request_record &record, const std::string &attempt);

    attempt_runner_dependencies m_dependencies;
    cost_meter m_costs;
};

/// Returns the routing input for a request.
routing::routing_request makeRoutingRequest(const request_record &record);

/// Returns the labels of a request's metrics: account, class and service.
metric_labels metricLabelsOf(const request_record &record);

/// Returns the time left until a request's deadline, or zero when it has passed.
duration timeRemaining(const request_record &record, time_point now);

} // namespace ivypier::requests
