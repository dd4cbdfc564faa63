#pragma once

#include "base/event_budget.h"
#include "base/scheduler.h"
#include "relay/crash_evidence.h"
#include "relay/quarantine_list.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ivypier::fleet {

/// Concludes from the evidence of services, as one of the nodes that keep it, which calls are suspected or
/// convicted, and when that ends.
class crash_keeper
{
public:
    using publisher = std::function<void(const relay::quarantine_entry &)>;

    /// Keys are convicted at the earliest this long after all nodes were told that they are suspected, so
    /// that a node that has had an answer can say so.
    static constexpr duration min_suspicion_time = std::chrono::milliseconds(800);
    /// Suspicions of a service that all nodes are told a second, those first that explain most ends.
    static constexpr double suspicions_per_second = 4.0;
    static constexpr double suspicion_burst = 12.0;
    /// Time from a conviction, or from the trial before, to each trial.
    static constexpr std::array<duration, relay::max_quarantine_trials> trial_delays
        = {std::chrono::seconds(5), std::chrono::seconds(30)};

    /// `publish` tells all nodes of an entry, and adds it to `entries`.
    crash_keeper(scheduler &tasks, const relay::quarantine_list &entries, publisher publish);

    void addEnd(const relay::upstream_end &end, const relay::crash_key_list &answeredBefore);
    void addAnswer(const std::string &service, relay::crash_key key, time_point beganAt,
                   relay::answer_evidence evidence);

    void addLeftAnswer(const std::string &service, relay::crash_key key, const relay::left_answer &answer);

    /// Returns whether the key occurred at an end, and no answer has cleared it.
    bool isSuspected(const std::string &service, relay::crash_key key) const;

    /// Records that an operator lifted an entry: what was known about its keys counts no more.
    void forget(const relay::quarantine_entry &entry);

    /// Returns whether it is time for a trial of an entry.
    static bool isTrialDue(const relay::quarantine_list::known_entry &known, time_point now);

    /// Returns whether a call that is refused because of an entry may be sent as a trial now. A trial that is
    /// granted has been published before, so that it is not granted again.
    bool grantTrial(const std::string &service, const std::string &entryId);

private:
    struct service_evidence
    {
        explicit service_evidence(const clock &time)
            : evidence(time)
            , suspicions(time)
        {
        }
        relay::crash_evidence evidence;
        event_budget suspicions;
        bool isEvaluating = false;
    };

    service_evidence &evidenceOf(const std::string &service);
    void scheduleEvaluation(const std::string &service, duration delay);
    void evaluate(const std::string &service);
    void publishBlame(const std::string &service, const relay::crash_blame &blame);
    void publishLifts(const std::string &service, const std::vector<relay::crash_blame> &blames);
    bool isCleared(const relay::quarantine_list::known_entry &known,
                   const relay::crash_evidence &evidence) const;
    bool isExplained(const relay::quarantine_entry &entry,
                     const std::vector<relay::crash_blame> &blames) const;

    scheduler &m_tasks;
    const relay::quarantine_list &m_entries;
    publisher m_publish;
    std::map<std::string, service_evidence> m_services;
};

} // namespace ivypier::fleet
