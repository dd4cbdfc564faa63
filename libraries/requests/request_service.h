#pragma once

#include "admission/admission_policy.h"
#include "admission/retry_policy.h"
#include "base/metrics_registry.h"
#include "base/scheduler.h"
#include "requests/answer.h"
#include "requests/peer_channel.h"
#include "requests/request_record.h"
#include "routing/router.h"
#include "upstream/model_engine.h"
#include "upstream/plain_service.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

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
    incarnation self = 0;
};

/// The home of requests: accepts, orders, dispatches, repeats and answers them. Only from tasks of its
/// scheduler.
class request_service
{
public:
    explicit request_service(request_service_parts parts);
    ~request_service();

    /// Takes a request whose home is this node, or joins the one that has the same id. `from` is the first
    /// piece that the listener wants. The listener gets its final answer in every case.
    void submit(incoming_request request, std::uint64_t from, std::shared_ptr<answer_listener> listener);

    /// Follows a known request from piece `from` on; false when it is not known here.
    bool attach(const std::string &key, std::uint64_t from, std::shared_ptr<answer_listener> listener);

    /// Forgets a listener; the request goes on.
    void detach(const std::string &key, const answer_listener *listener);

    /// Refuses every new request from now on.
    void stopAccepting();

    /// Requests that have no final answer yet.
    std::size_t unfinished() const;

private:
    class attempt_observer;
    using record_pointer = std::shared_ptr<request_record>;

    void accept(const record_pointer &record);
    void enterConversation(const record_pointer &record);
    void leaveConversation(const request_record &record);
    void begin(const record_pointer &record);
    void askGrant(const record_pointer &record);
    void dispatch(const record_pointer &record);
    void sendToEngine(const record_pointer &record);
    void sendToPlainService(const record_pointer &record);

    void attemptStarted(const record_pointer &record, const std::string &attempt, const std::string &stream);
    void attemptPiece(const record_pointer &record, const std::string &attempt, std::uint64_t index,
                      const std::string &text);
    void attemptFinished(const record_pointer &record, const std::string &attempt,
                         const upstream::token_usage &usage);
    void attemptFailed(const record_pointer &record, const std::string &attempt, const error &failure);
    void plainAnswered(const record_pointer &record, const std::string &attempt,
                       const outcome<http::response> &answer);
    bool isCurrent(const request_record &record, const std::string &attempt);

    void deadlinePassed(const record_pointer &record);
    void refuse(const record_pointer &record, const admission::refusal &why);
    void closeNotRun(const record_pointer &record, const std::string &cause, duration retryAfter);
    void finish(const record_pointer &record, final_answer answer);
    void forgetLater(const std::string &key);
    void addListener(request_record &record, std::uint64_t from, std::shared_ptr<answer_listener> listener);

    duration remaining(const request_record &record) const;
    metric_labels labels(const request_record &record) const;
    routing::routing_request routingRequest(const request_record &record) const;
    admission::admission_request admissionRequest(const request_record &record, duration expected) const;

    request_service_parts m_parts;
    bool m_accepting = true;
    std::size_t m_unfinished = 0;
    std::map<std::string, record_pointer> m_records;
    std::map<std::string, std::deque<std::string>> m_conversations;
};

} // namespace ivypier::requests
