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

/// What a request_service works with; every reference outlives it.
struct request_service_parts
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

/// Accepts requests whose home is this node or that were payload to it, orders, dispatches, repeats and
/// answers them, and hands them over when the node stops. Only from tasks of its scheduler.
class request_service final : private record_owner
{
public:
    explicit request_service(request_service_parts parts);
    ~request_service() override;

    /// Takes a request whose home is this node, or joins the one that has the same id. `from` is the first
    /// piece that the listener wants. The listener gets its final answer in every case.
    void submit(incoming_request request, std::uint64_t from, std::shared_ptr<answer_listener> listener);

    /// Follows a known request from piece `from` on; false when it is not known here.
    bool attach(const std::string &key, std::uint64_t from, std::shared_ptr<answer_listener> listener);

    /// What kind of service a known request is for.
    std::optional<configuration::service_kind> serviceKindOf(const std::string &key) const;

    /// Forgets a listener; the request goes on.
    void detach(const std::string &key, const answer_listener *listener);

    /// Takes over a request from a node that stops; the same request again is taken as well. `refused` when
    /// this node does not take it.
    outcome<void> acceptHandover(const handover_payload &payload);

    /// True while this node has unfinished requests of a conversation (`<account>/<conversation>`).
    bool hasConversation(const std::string &conversation) const;

    /// An upstream leaves: its streams go on elsewhere.
    void onUpstreamLeaving(const endpoint &upstream);

    /// Starts to count epochs; `onEpochChanged` hears of each new one.
    void startEpochRotation(std::function<void(std::uint64_t)> onEpochChanged);

    /// Refuses every new request from now on.
    void stopAccepting();

    /// Hands the open requests over; what can't move has its answer by `deadline`.
    void handOver(successor_selector successors, time_point deadline);

    /// Requests that have no final answer yet.
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
    void begin(const record_pointer &record);
    void requestGrant(const record_pointer &record, unsigned attemptsLeft);
    void onGrantRefused(const record_pointer &record, const std::string &cause);

    void applyAnswer(const record_pointer &record, final_answer answer);
    void onDeadlineExpired(const record_pointer &record);
    void refuse(const record_pointer &record, const admission::refusal &reason);
    void closeNotRun(const record_pointer &record, const std::string &cause);
    void finish(const record_pointer &record, final_answer answer) override;
    void moved(const record_pointer &record, incarnation successor) override;
    void releaseAdmission(const record_pointer &record);
    void addListener(request_record &record, std::uint64_t from, std::shared_ptr<answer_listener> listener);
    admission::admission_request admissionRequest(const request_record &record, duration expected) const;

    request_service_parts m_parts;
    incarnation m_self;
    request_table m_table;
    conversation_order m_conversations;
    attempt_runner m_attempts;
    handover_sender m_handover;
    bool m_accepting = true;
};

} // namespace ivypier::requests
