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
#include <vector>

namespace ivypier::requests {

/// A listener and the piece it is to get next.
struct listener_position
{
    std::shared_ptr<answer_listener> listener;
    std::uint64_t next = 0;
};

/// One try of a request at one upstream.
struct request_attempt
{
    unsigned number = 0; ///< 1 for the first; 0: none yet
    std::string id; ///< names the attempt everywhere, also among those of other nodes
    routing::candidate target;
    std::string stream; ///< the engine's name for it, once it started
    std::shared_ptr<upstream::generation> generation; ///< model services only
    time_point sentAt{};
};

/// All that the home knows of one request.
struct request_record
{
    request_record(incoming_request from, dispatch_right dispatchRight, time_point now)
        : request(std::move(from))
        , right(std::move(dispatchRight))
        , acceptedAt(now)
    {
    }

    incoming_request request;
    dispatch_right right;
    time_point acceptedAt;
    timer_id deadlineTimer = 0;
    bool admitted = false; ///< admission counts it as running

    request_attempt attempt;
    std::vector<endpoint> excluded; ///< upstreams that failed it

    std::vector<std::string> pieces;
    time_point lastPieceAt{};
    std::optional<final_answer> final;
    std::vector<listener_position> listeners;
};

} // namespace ivypier::requests
