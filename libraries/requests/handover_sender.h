#pragma once

#include "base/metrics_registry.h"
#include "base/scheduler.h"
#include "requests/attempt_runner.h"
#include "requests/conversation_order.h"
#include "requests/peer_channel.h"
#include "requests/request_table.h"

#include <functional>
#include <string>
#include <vector>

namespace ivypier::requests {

/// Returns the nodes that may take over a request, in order of preference.
using successor_selector = std::function<std::vector<incarnation>(const incoming_request &)>;

/// Dependencies of a handover_sender. All referenced objects must outlive it.
struct handover_sender_dependencies
{
    scheduler &tasks;
    metrics_registry &metrics;
    request_table &table;
    conversation_order &conversations;
    attempt_runner &attempts;
    peer_channel &peers;
    record_owner &owner;
    incarnation self = 0;
};

/// Hands the open requests of a stopping node over to successors. The protocol is accept-then-release: from
/// the offer on, this node starts no attempt, and it releases the request only after a successor has
/// confirmed that it accepted it.
class handover_sender
{
public:
    explicit handover_sender(handover_sender_dependencies dependencies);

    /// Starts the handover. By `deadline`, requests that can't be handed over are finished with their actual
    /// outcome (`not_run` or `unknown`).
    void start(successor_selector successors, time_point deadline);

    /// Returns true when a request that has not started must wait for its handover.
    bool defersStart(const request_record &record) const;

private:
    void sweep();
    void offerRequests();
    bool isFinalPhase() const;
    bool isFirstInConversation(const request_record &record) const;
    bool canMove(const request_record &record) const;
    void offer(const record_pointer &record);
    void onOfferCompleted(const record_pointer &record, incarnation successor, const outcome<void> &answer);
    void closeRequest(const record_pointer &record);
    handover_payload makePayload(const request_record &record) const;

    handover_sender_dependencies m_dependencies;
    successor_selector m_selectSuccessors;
    time_point m_deadline{};
    bool m_active = false;
};

} // namespace ivypier::requests
