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

/// The nodes that may take over a request, the best first.
using successor_selector = std::function<std::vector<incarnation>(const incoming_request &)>;

/// What a handover_sender works with; every reference outlives it.
struct handover_sender_parts
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

/// Hands the open requests of a node that stops to successors, each by accept-then-release: nothing starts
/// here from the offer on, and the request is released only when a successor said that it has it.
class handover_sender
{
public:
    explicit handover_sender(handover_sender_parts parts);

    /// Starts to hand over; what can't move ends by `deadline`, with an outcome that is true of it.
    void start(successor_selector successors, time_point deadline);

    /// True when a request that has not hasStarted is to wait for its handover.
    bool defersStart(const request_record &record) const;

private:
    void sweep();
    void offerRequests();
    bool isFinalPhase() const;
    bool isFirstInConversation(const request_record &record) const;
    bool canMove(const request_record &record) const;
    void offer(const record_pointer &record);
    void onOfferCompleted(const record_pointer &record, incarnation successor, const outcome<void> &answer);
    void close(const record_pointer &record);
    handover_payload makePayload(const request_record &record) const;

    handover_sender_parts m_parts;
    successor_selector m_selectSuccessors;
    time_point m_deadline{};
    bool m_active = false;
};

} // namespace ivypier::requests
