#pragma once

#include "base/scheduler.h"
#include "requests/answer.h"
#include "requests/dispatch_right.h"
#include "requests/incoming_request.h"
#include "routing/router.h"
#include "upstream/model_engine.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ivypier::requests {

/// A listener and the index of the next chunk to deliver to it.
struct listener_position
{
    std::shared_ptr<answer_listener> listener;
    std::uint64_t next = 0;
};

/// Reason why an upstream computes tokens of a request again.
enum class recompute_cause { none, runner_leaving, engine_failed, handover };

/// One attempt to run a request on an upstream.
struct request_attempt
{
    unsigned number = 0; ///< starts at 1; 0 when there has been no attempt
    std::string id; ///< unique across all nodes; empty when no attempt is running
    routing::candidate target;
    std::string stream; ///< id assigned by the engine when it started the stream
    std::shared_ptr<upstream::generation> generation; ///< model services only
    time_point sentAt{};
    recompute_cause recompute = recompute_cause::none;
    bool resumed = false; ///< the stream was started by another node
};

/// Progress of a request's handover to a successor.
enum class handover_phase {
    none,
    offered, ///< a successor may have accepted it; this node starts no attempt
    moved, ///< a successor has accepted it
};

/// State of one request on a node.
struct request_record
{
    request_record(incoming_request incoming, dispatch_right dispatchRight, time_point now)
        : request(std::move(incoming))
        , key(request.key())
        , right(std::move(dispatchRight))
        , acceptedAt(now)
    {
    }

    incoming_request request;
    std::string key;
    dispatch_right right;
    time_point acceptedAt;
    timer_id deadlineTimer = 0;
    bool admitted = false; ///< counted as running by the admission policy
    bool hasStarted = false; ///< its turn in the conversation has come
    bool mayHaveRun = false; ///< an attempt started it, or ended without proof that it did not run

    request_attempt attempt;
    std::vector<endpoint> excluded; ///< upstreams on which an attempt failed

    handover_phase handover = handover_phase::none;
    bool everOffered = false; ///< a successor may have accepted it
    bool offerRetried = false; ///< the last offer was a retry because the response to the one before was lost
    unsigned failedOffers = 0; ///< number of offers that were not accepted; selects the next successor
    std::string movedTo; ///< address of the successor

    std::vector<std::string> chunks;
    time_point lastChunkAt{};
    std::optional<final_answer> final;
    double cost = 0.0; ///< cost of the completed attempts, in the deployment's currency
    std::vector<listener_position> listeners;

    /// Returns true while this node is responsible for answering the request.
    bool isOpen() const
    {
        return !final && handover != handover_phase::moved;
    }
};

using record_pointer = std::shared_ptr<request_record>;

/// Receives state changes of requests from the components that run and hand them over.
class record_owner
{
public:
    virtual ~record_owner() = default;

    /// Finishes a request with its result.
    virtual void finish(const record_pointer &record, final_answer answer) = 0;

    /// Completes the handover of a request that a successor has accepted.
    virtual void completeHandover(const record_pointer &record, incarnation successor) = 0;
};

} // namespace ivypier::requests
