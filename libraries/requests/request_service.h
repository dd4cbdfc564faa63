#pragma once

#include "admission/admission_policy.h"
#include "admission/retry_policy.h"
#include "base/metrics_registry.h"
#include "base/scheduler.h"
#include "membership/membership_view.h"
#include "requests/answer.h"
#include "requests/attempt_runner.h"
#include "requests/conversation_order.h"
#include "requests/handover_payload.h"
#include "requests/handover_sender.h"
#include "requests/peer_channel.h"
#include "requests/request_record.h"
#include "requests/request_table.h"
#include "routing/router.h"
#include "upstream/model_engine.h"
#include "upstream/plain_service.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::requests {

/// Dependencies of a request_service. All referenced objects must outlive it.
struct request_service_dependencies
{
    scheduler &tasks;
    metrics_registry &metrics;
    routing::router &router;
    admission::admission_policy &admission;
    admission::retry_policy &retries;
    upstream::model_engine &engines;
    upstream::plain_service &services;
    peer_channel &peers;
    const membership::membership_view &members;
    retention_limits limits;
};

/// Accepts requests whose home is this node or that were handed over to it. Orders, dispatches, retries and
/// answers them, and hands them over when the node stops. Must be called from tasks of its scheduler only.
class request_service final : private record_owner
{
public:
    explicit request_service(request_service_dependencies dependencies);
    ~request_service() override;

    /// Submits a request whose home is this node, or attaches to the existing request with the same id.
    /// `firstChunk` is the index of the first chunk that the listener needs. The listener always receives a
    /// final call.
    void submit(incoming_request request, std::uint64_t firstChunk,
                std::shared_ptr<answer_listener> listener);

    /// Attaches a listener to a known request, starting with chunk `firstChunk`. Returns false when the
    /// request is not known on this node.
    bool attach(const std::string &key, std::uint64_t firstChunk, std::shared_ptr<answer_listener> listener);

    /// Returns the kind of service that a known request is for, or nothing when the request is not known.
    std::optional<configuration::service_kind> serviceKindOf(const std::string &key) const;

    /// Detaches a listener; the request continues.
    void detach(const std::string &key, const answer_listener *listener);

    /// Accepts a request from a stopping node. Accepting a request that is already known succeeds. Fails with
    /// `refused` when this node can't accept it.
    outcome<void> acceptHandover(const handover_payload &payload);

    /// Returns true while this node has unfinished requests of a conversation (`<account>/<conversation>`).
    bool hasConversation(const std::string &conversation) const;

    /// Moves the streams that run on a leaving upstream to other upstreams.
    void onUpstreamLeaving(const endpoint &upstream);

    /// Starts the rotation of epochs. `onEpochChanged` is called with the current epoch and with each new
    /// one.
    void startEpochRotation(std::function<void(std::uint64_t)> onEpochChanged);

    /// Refuses all new requests from now on.
    void stopAccepting();

    /// Hands the open requests over. Those that can't be handed over are answered by `deadline`.
    void handOver(successor_selector successors, time_point deadline);

    /// Returns the number of requests without a final answer.
    std::size_t unfinished() const;

private:
    record_pointer create(incoming_request request, dispatch_right right);
    void refuseUnknownId(const incoming_request &request, id_status idStatus,
                         const std::shared_ptr<answer_listener> &listener) const;
    void accept(const record_pointer &record);
    void startDeadlineTimer(const record_pointer &record);
    void enqueueInConversation(const record_pointer &record);
    void dequeueFromConversation(const request_record &record);
    void scheduleStart(const std::string &key);
    void startRequest(const record_pointer &record);
    void requestGrant(const record_pointer &record, unsigned attemptsLeft);
    void onGrantRefused(const record_pointer &record, const std::string &cause);

    void applyAnswer(const record_pointer &record, final_answer answer);
    void onDeadlineExpired(const record_pointer &record);
    void refuse(const record_pointer &record, const admission::refusal &reason);
    void closeNotRun(const record_pointer &record, const std::string &cause);
    void finish(const record_pointer &record, final_answer answer) override;
    void completeHandover(const record_pointer &record, incarnation successor) override;
    void releaseAdmission(const record_pointer &record);
    void addListener(request_record &record, std::uint64_t firstChunk,
                     std::shared_ptr<answer_listener> listener);
    admission::admission_request admissionRequest(const request_record &record, duration expected) const;

    request_service_dependencies m_dependencies;
    incarnation m_self;
    request_table m_table;
    conversation_order m_conversations;
    attempt_runner m_attempts;
    handover_sender m_handover;
    bool m_accepting = true;
};

} // namespace ivypier::requests
