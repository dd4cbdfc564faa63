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

/// A listener and the piece it is to get next.
struct listener_position
{
    std::shared_ptr<answer_listener> listener;
    std::uint64_t next = 0;
};

/// Why an upstream computes tokens of a request again.
enum class recompute_cause { none, runner_leaving, engine_failed, handover };

/// One try of a request at one upstream.
struct request_attempt
{
    unsigned number = 0; ///< 1 for the first; 0: none yet
    std::string id; ///< names the attempt everywhere, also among those of other nodes; empty: none runs
    routing::candidate target;
    std::string stream; ///< the engine's name for it, once it started
    std::shared_ptr<upstream::generation> generation; ///< model services only
    time_point sentAt{};
    recompute_cause recompute = recompute_cause::none;
    bool resumed = false; ///< another node started its stream
};

/// Where a request is on its way to a successor.
enum class handover_phase {
    none,
    offered, ///< a successor may have it or not; nothing starts here
    moved, ///< a successor has it
};

/// All that a node knows of one request.
struct request_record
{
    request_record(incoming_request from, dispatch_right dispatchRight, time_point now)
        : request(std::move(from))
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
    bool admitted = false; ///< admission counts it as running
    bool hasStarted = false; ///< its turn in the conversation came
    bool mayHaveRun = false; ///< an attempt ended without word whether it ran

    request_attempt attempt;
    std::vector<endpoint> excluded; ///< upstreams that failed it

    handover_phase handover = handover_phase::none;
    bool everOffered = false; ///< a successor may have it
    bool offerRetried = false; ///< the last offer repeated one whose answer was lost
    unsigned failedOffers = 0; ///< successors that did not take it
    std::string movedTo; ///< the successor's address

    std::vector<std::string> chunks;
    time_point lastChunkAt{};
    std::optional<final_answer> final;
    double cost = 0.0; ///< of the attempts that ended, in the deployment's currency
    std::vector<listener_position> listeners;

    /// True while the request is this node's to answer.
    bool isOpen() const
    {
        return !final && handover != handover_phase::moved;
    }
};

using record_pointer = std::shared_ptr<request_record>;

/// What the parts of the requests slice tell the owner of the records.
class record_owner
{
public:
    virtual ~record_owner() = default;

    /// The request's end is known.
    virtual void finish(const record_pointer &record, final_answer answer) = 0;

    /// A successor has the request.
    virtual void moved(const record_pointer &record, incarnation successor) = 0;
};

} // namespace ivypier::requests
