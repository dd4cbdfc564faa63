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

/// What a graceful_stop works with; every reference outlives it.
struct graceful_stop_parts
{
    scheduler &tasks;
    membership::membership_view &members;
    const entry::entry_directory &entries;
    requests::request_service &requests;
    requests::witness_handover &witness;
    forwarder &forwards;
};

/// A node's planned stop: leave first, refuse what is new, finish what fits, hand over the rest, end.
class graceful_stop
{
public:
    /// `ended` is called when nothing is left to do, or the time is over.
    graceful_stop(graceful_stop_parts parts, std::function<void()> ended);

    /// Starts to stop `within` a time; again with less time, it hurries.
    void start(duration within, std::string_view cause);

private:
    void handOver();
    void checkCompletion();

    graceful_stop_parts m_parts;
    std::function<void()> m_onStopped;
    bool m_started = false;
    time_point m_stopDeadline{};
};

} // namespace ivypier::gateway
