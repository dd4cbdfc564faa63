#pragma once

#include "relay/answer_delivery.h"
#include "relay/answer_hold.h"
#include "relay/attempt_evidence.h"
#include "relay/call_admission.h"
#include "relay/call_environment.h"
#include "relay/call_suspicion.h"
#include "relay/route_table.h"
#include "relay/stream_resumption.h"
#include "relay/upstream_attempt.h"
#include "relay/upstream_choice.h"

#include <memory>
#include <optional>
#include <string>

namespace ivypier::relay {

/// Handles one call from admission to answer: selects an upstream, forwards the call, retries it if the
/// route's call kind allows, and returns the answer to the caller.
///
/// The caller receives 503 ("not run") only if no upstream can have run the call: nothing was sent, or the
/// upstream reported that it did not run it. If no answer is available otherwise, the caller receives 502, or
/// 504 when the deadline expires.
class relayed_call final : private http::exchange_observer, public std::enable_shared_from_this<relayed_call>
{
public:
    /// Called once, when the call has completed.
    using completion_handler = std::function<void(const std::shared_ptr<relayed_call> &)>;

    relayed_call(call_environment &environment, std::shared_ptr<const route_table> table, call request,
                 std::shared_ptr<http::reply> caller, completion_handler onCompleted);

    /// Checks route, API key, deadline and quota, then starts the first attempt.
    void start();

    /// Ends the call because the node stops, unless its answer has begun.
    void endForStop();

private:
    std::string accountName() const;
    duration timeLeft() const;
    std::uint64_t uncachedTokens() const;
    std::string upstreamId() const;

    void resumeStream();
    void setService(const std::string &service);
    void startAttempt();
    /// Starts an attempt once there is a permit, if the upstream needs one.
    void requestPermit(const upstream &chosen, bool mayQueue);
    /// Returns how long the call can wait for the decision on a permit.
    duration permitPatience() const;
    void onPermit(const std::string &id, const permit_decision &decision);
    /// Has a continuation that got no permit wait for the next one. Returns false if none comes in time.
    bool waitForPermit();
    void startAttemptOn(const upstream_record &chosen);
    /// Returns the version at which the stream has to begin, or nothing if any will do.
    std::optional<std::string> selectedVersion() const;
    /// Returns whether the current attempt may begin the stream only once a deviation is stored.
    bool awaitsDeviation() const;
    void requestDeviation();
    void onDeviationStored();
    void onDeviationLate(std::uint32_t attemptNumber);
    void beginStream(const http::response_head &head);
    attempt attemptDetails(const upstream_record &to) const;
    void endAttempt(bool succeeded);
    void abandonAttempt();
    void abandon(int failureStatus, const char *reason, duration retryAfter);
    void endWithoutUpstream();
    bool isQuarantined();
    void endQuarantined();
    bool canRetry();
    bool retryAfterFailure(const char *reason);
    /// Retries an attempt of which the upstream received nothing. Takes nothing from the retry budget, which
    /// protects the upstreams.
    bool retryUnsent();
    void restartAttempt(const char *reason);

    void onHead(http::response_head head) override;
    void onBody(std::string_view data) override;
    void onEnd() override;
    void onFailed(const http::exchange_failure &failure) override;

    void handleNotRun(answer_class answer);
    void handleServedHead(http::response_head head);
    void handleFailedHead(http::response_head head, bool asksToWait);
    void handleUnusableAnswer(const char *reason);
    void sendKeptAnswer();
    void onAnswerDropped();
    void recordEvents();
    /// Returns the software version of the upstream that runs the call, or an empty string if it is not
    /// known.
    std::string knownSoftwareVersion() const;
    void endBrokenStream();
    /// Returns why the end of an answer is not the end of the stream, or null if it is.
    const char *endFault() const;
    void endStream();
    void countRun();

    void onDeadline();
    void onCallerDisconnected();
    void refuse(int status, const char *reason, duration retryAfter);
    void fail(int status, const char *reason);
    void complete(int status, const char *reason);

    call_environment &m_environment;
    std::shared_ptr<const route_table> m_table;
    call m_call;
    answer_delivery m_answer;
    answer_hold m_hold;
    completion_handler m_onCompleted;
    call_admission m_admission;
    const service *m_service = nullptr;
    std::string m_serviceName;
    std::unique_ptr<upstream_choice> m_choice;
    std::unique_ptr<stream_resumption> m_resumption;
    std::unique_ptr<call_suspicion> m_suspicion;
    std::unique_ptr<upstream_attempt> m_attempt; ///< the current or last one
    std::unique_ptr<attempt_evidence> m_evidence; ///< of the current or last attempt
    std::optional<timer_id> m_timer;
    std::optional<permit_request_id> m_permitRequest; ///< that is not decided yet
    std::uint32_t m_possibleRuns = 0; ///< attempts whose upstream may have run the call
    std::uint32_t m_attemptCount = 0;
    bool m_mayHaveRun = false;
    bool m_runCounted = false;
    bool m_isNumberingRecorded = false;
    bool m_isAtUnconfirmed = false; ///< the current attempt was sent to an unconfirmed upstream
    bool m_isDeviating = false; ///< the current attempt is at a version that the call's key does not select
    bool m_isDeviationRequested = false;
    bool m_isTrial = false; ///< sent once although it is quarantined
    bool m_completed = false;
};

} // namespace ivypier::relay
