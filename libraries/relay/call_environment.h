#pragma once

#include "base/metrics_registry.h"
#include "base/random_source.h"
#include "base/scheduler.h"
#include "http/exchange_transport.h"
#include "relay/answer_buffers.h"
#include "relay/call_permits.h"
#include "relay/call_quarantine.h"
#include "relay/call_rollouts.h"
#include "relay/crash_key.h"
#include "relay/event_numbering.h"
#include "relay/retry_budget.h"
#include "relay/run_counter.h"
#include "relay/service_versions.h"
#include "relay/stream_origins.h"
#include "relay/unit_quota.h"
#include "relay/upstream_directory.h"
#include "relay/upstream_end_detector.h"
#include "relay/upstream_protocol.h"
#include "relay/upstream_selector.h"
#include "relay/upstream_speed.h"
#include "relay/work_meter.h"

#include <functional>
#include <memory>

namespace ivypier::relay {

/// The services and state that all calls of a node share.
struct call_environment
{
    scheduler &tasks;
    random_source &randomness;
    metrics_registry &metrics;
    http::exchange_transport &transport;
    const upstream_protocol &protocol;
    upstream_directory &upstreams;
    upstream_selector &selector;
    retry_budget &retries;
    unit_quota &quota;
    run_counter &runs;
    work_meter &work;
    upstream_speed &speeds;
    call_permits &permits;
    stream_origins &origins;
    service_versions &versions;
    answer_buffers &buffers;
    call_quarantine &quarantine;
    upstream_end_detector &ends;
    const crash_key_deriver &crashKeys;
    /// Returns the wall-clock time in milliseconds since 1970, by which the run windows are numbered.
    std::function<std::int64_t()> wallMilliseconds;
    /// Returns the maximum number of connections that this node may open to one upstream of the service.
    std::function<std::size_t(const service &)> connectionsFor;
    call_rollouts *rollouts = nullptr; ///< null: the deployment has no rollouts
    std::shared_ptr<relay::event_numbering> eventNumbering = std::make_shared<relay::event_numbering>();
};

} // namespace ivypier::relay
