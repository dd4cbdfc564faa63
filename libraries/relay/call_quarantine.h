#pragma once

#include "relay/crash_key.h"
#include "relay/left_answers.h"
#include "relay/upstream_end.h"

#include <functional>
#include <string>

namespace ivypier::relay {

/// What may be done with a call that shares keys with calls under which upstreams ended.
enum class quarantine_decision {
    send,
    send_once, ///< it is suspected: it is not sent to a further upstream when one ends
    refuse, ///< it is not sent to any upstream
};

/// Keeps calls that crash the upstreams that run them away from upstreams, on all nodes.
class call_quarantine
{
public:
    virtual ~call_quarantine() = default;

    /// Decides from what is known now whether a call to a service may be sent.
    virtual quarantine_decision decide(const std::string &service, const crash_key_list &keys) const = 0;

    /// Returns whether decide() depends on the keys, so that they need to be derived.
    virtual bool hasEntries(const std::string &service) const = 0;

    /// Asks whether a call that is refused may be sent this once, alone and not again, to find out whether
    /// its keys are sound. The whole fleet sends at most max_quarantine_trials such calls for an entry. Calls
    /// `done` once, possibly before it returns, at the latest after max_trial_request_time.
    virtual void requestTrial(const std::string &service, const crash_key_list &keys,
                              std::function<void(bool isGranted)> done)
        = 0;

    /// Returns whether answers to calls are of interest, besides answers to their parts.
    virtual bool watchesCalls(const std::string &service) const = 0;

    /// Records that an upstream ended. May be called again for the same upstream, with further calls.
    virtual void recordEnd(const upstream_end &end) = 0;

    /// Returns whether an answer to a call with these keys that merely seems to be whole must be verified.
    virtual bool needsProof(const std::string &service, const crash_key_list &keys) const = 0;

    /// Records an answer that began at `beganAt`.
    virtual void recordAnswer(const std::string &service, const crash_key_list &keys, time_point beganAt,
                              answer_evidence evidence)
        = 0;

    /// Records that a caller left the answer to a call with these keys while it was going on.
    virtual void recordLeftAnswer(const std::string & /*service*/, const crash_key_list & /*keys*/,
                                  const left_answer & /*answer*/)
    {
    }
};

/// Longest time for which a call waits for permission to be a trial.
inline constexpr duration max_trial_request_time = std::chrono::milliseconds(100);

} // namespace ivypier::relay
