#pragma once

#include "relay/call_environment.h"

#include <optional>
#include <string>

namespace ivypier::relay {

/// What a call has to do with upstreams that crashed: whether it may be sent, and what its attempts tell.
class call_suspicion
{
public:
    /// `request` must outlive this object. `account` is empty for a call without one.
    call_suspicion(call_environment &environment, const call &request, std::string account,
                   std::string service);

    /// Returns whether the call may not be sent.
    bool isRefused();

    /// Returns whether the call may not be sent again once it may have run.
    bool isSuspected();

    /// Asks whether the call may be sent nevertheless, to find out whether its keys are sound.
    void requestTrial(std::function<void(bool isGranted)> done);

    /// Records that an attempt broke off whose answer had begun at `beganAt`, if it had.
    void recordBroken(const std::string &upstream, std::optional<time_point> beganAt);

    /// Records a whole answer. One that ended with its connection counts only if the upstream goes on.
    void recordAnswer(const std::string &upstream, time_point beganAt, bool endsWithConnection);

    /// Records that an upstream went on with an answer for crash_survival_time.
    void recordSurvival(time_point beganAt);

    /// Records that the caller left an answer that began at `beganAt` and had gone on for `lasted`.
    void recordLeft(time_point beganAt, duration lasted);

    /// Returns the key of the call itself.
    crash_key callKey() const;

private:
    quarantine_decision decide();
    const crash_key_list &keys();
    crash_suspect suspect(duration progress);

    call_environment &m_environment;
    const call &m_call;
    std::string m_account;
    std::string m_service;
    std::optional<crash_key_list> m_keys; ///< derived when they are needed
};

} // namespace ivypier::relay
