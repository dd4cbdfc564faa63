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

/// What an attempt_runner works with; every reference outlives it.
struct attempt_runner_parts
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

/// Runs requests at upstreams: chooses, sends, repeats what may be repeated, and goes on elsewhere when an
/// upstream fails or leaves. Only from tasks of its scheduler.
class attempt_runner
{
public:
    explicit attempt_runner(attempt_runner_parts parts);

    /// Sends a request to an upstream that fits.
    void dispatch(const record_pointer &record);

    /// Takes over the stream that a request had at an engine before its handover.
    void resume(const record_pointer &record, const routing::candidate &target, const std::string &stream);

    /// Moves the streams of `records` that run at an upstream that leaves to others.
    void moveStreams(const endpoint &upstream, const std::vector<record_pointer> &records);

    /// Ends a request's attempt, and the engine's work on it.
    void cancel(request_record &record);

    /// Ends a request's attempt here and leaves its stream at the engine for another node.
    void release(request_record &record);

private:
    class attempt_observer;

    void open(const record_pointer &record, const routing::candidate &target, recompute_cause cause);
    void sendToEngine(const record_pointer &record, const std::string &cacheHandle);
    void sendToPlainService(const record_pointer &record);
    void moveStream(const record_pointer &record, const std::string &cacheHandle);

    void started(const record_pointer &record, const std::string &attempt, const std::string &stream);
    void handleToken(const record_pointer &record, const std::string &attempt, std::uint64_t index,
                     const std::string &text);
    void finished(const record_pointer &record, const std::string &attempt,
                  const upstream::token_usage &usage);
    void handlePlainResponse(const record_pointer &record, const std::string &attempt,
                             const outcome<http::response> &answer);
    void failed(const record_pointer &record, const std::string &attempt, const error &failure);
    void retryOrFinish(const record_pointer &record, recompute_cause cause);
    void end(request_record &record, routing::attempt_result result);
    bool isCurrent(const request_record &record, const std::string &attempt);

    attempt_runner_parts m_parts;
    cost_meter m_costs;
};

/// What routing has to know about a request.
routing::routing_request makeRoutingRequest(const request_record &record);

/// The labels of a request's metrics: account, class and service.
metric_labels metricLabelsOf(const request_record &record);

/// What remains of a request's time.
duration timeRemaining(const request_record &record, time_point now);

} // namespace ivypier::requests
