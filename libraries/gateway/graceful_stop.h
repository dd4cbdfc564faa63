#pragma once

#include "base/scheduler.h"
#include "entry/entry_directory.h"
#include "gateway/forwarder.h"
#include "membership/membership_view.h"
#include "requests/request_service.h"
#include "requests/witness_handover.h"

#include <functional>
#include <string_view>

namespace ivypier::gateway {

/// Dependencies of a graceful_stop. Every referenced object must outlive it.
struct graceful_stop_dependencies
{
    scheduler &tasks;
    membership::membership_view &members;
    const entry::entry_directory &entries;
    requests::request_service &requests;
    requests::witness_handover &witness;
    forwarder &requestForwarder;
};

/// Stops a node in an orderly way: announces that the node leaves, refuses new requests, lets running
/// requests finish for a short time, and hands over the rest.
class graceful_stop
{
public:
    /// Calls `onStopped` when no request is left on this node and the witness handover is done, or when the
    /// deadline has passed.
    graceful_stop(graceful_stop_dependencies dependencies, std::function<void()> onStopped);

    /// Starts to stop the node, to be done after at most `timeout`. A further call moves the deadline when
    /// the new one is earlier, and has no effect otherwise. The first call logs `cause`.
    void start(duration timeout, std::string_view cause);

private:
    void handOver();
    void checkCompletion();

    graceful_stop_dependencies m_dependencies;
    std::function<void()> m_onStopped;
    bool m_started = false;
    time_point m_stopDeadline{};
};

} // namespace ivypier::gateway
