#pragma once

#include "base/event_budget.h"
#include "base/scheduler.h"
#include "fleet/crash_keeper.h"
#include "fleet/crash_message.h"
#include "fleet/crash_reporter.h"
#include "fleet/keeper_ranking.h"
#include "fleet/left_answer_memory.h"
#include "membership/datagram_channel.h"
#include "membership/membership_view.h"
#include "relay/call_quarantine.h"
#include "relay/quarantine_list.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ivypier::fleet {

/// Finds out which calls crash the upstreams that run them, and keeps them away from upstreams on all nodes.
///
/// Two nodes in different failure domains keep the evidence of a service; the others tell them which calls
/// were in progress at an upstream that ended, and which were answered. What the keepers conclude reaches all
/// nodes by gossip. Docs: docs/design/crashing-calls.md.
class crash_exchange final : public relay::call_quarantine
{
public:
    /// For this long after its start a node can't tell what was answered before.
    static constexpr duration learning_time = std::chrono::seconds(3);
    static constexpr std::size_t max_answered_keys = 1024;
    static constexpr std::size_t max_watched_keys = 2048;
    /// How long the keepers are told of answers to the keys of a reported end.
    static constexpr duration watch_time = std::chrono::seconds(60);
    /// Reports of ends that the nodes of a fleet send to a keeper a second, and how many seconds of them are
    /// saved up. When more upstreams end at once, calls are not the cause.
    static constexpr double fleet_reports_per_second = 400.0;
    static constexpr double saved_report_seconds = 4.0;
    static constexpr double min_report_burst = 2.0;

    /// `port` is the port of the exchange on every node.
    crash_exchange(scheduler &tasks, membership::datagram_channel &channel, const secret_key &fleetKey,
                   membership::membership_view &members, std::uint16_t port);

    /// Starts to listen for messages and gossip.
    void start();

    relay::quarantine_decision decide(const std::string &service,
                                      const relay::crash_key_list &keys) const override;
    bool hasEntries(const std::string &service) const override;
    void requestTrial(const std::string &service, const relay::crash_key_list &keys,
                      std::function<void(bool isGranted)> done) override;
    bool watchesCalls(const std::string &service) const override;
    void recordEnd(const relay::upstream_end &end) override;
    bool needsProof(const std::string &service, const relay::crash_key_list &keys) const override;
    void recordAnswer(const std::string &service, const relay::crash_key_list &keys, time_point beganAt,
                      relay::answer_evidence evidence) override;
    void recordLeftAnswer(const std::string &service, const relay::crash_key_list &keys,
                          const relay::left_answer &answer) override;

    /// Tells all nodes of an entry if it is newer than the known one.
    void publish(const relay::quarantine_entry &entry);

    const relay::quarantine_list &entries() const
    {
        return m_entries;
    }
    std::uint64_t datagramsSent() const
    {
        return m_reporter.datagramsSent() + m_datagramsSent;
    }

private:
    struct reported_end
    {
        std::size_t calls = 0; ///< that the keepers were told
        time_point at{};
    };
    struct trial_request
    {
        std::function<void(bool)> done;
        timer_id timer{};
    };
    /// A key and what speaks for it.
    using answer_key = std::pair<relay::crash_key, relay::answer_evidence>;

    struct known_answer
    {
        time_point beganAt{};
        relay::answer_evidence evidence = relay::answer_evidence::survived; ///< whole if any was
    };
    struct service_answers
    {
        std::map<relay::crash_key, known_answer> answered; ///< the last one to each key
        std::map<relay::crash_key, time_point> watched; ///< keys of ends that this node reported, and when
        std::map<answer_key, time_point> told; ///< last answers that the keepers were told
        std::map<answer_key, time_point> untold;
        left_answer_memory left;
        time_point leftToldAt{};
    };

    void noteAnswer(service_answers &answers, const std::string &service, const answer_key &answered,
                    time_point beganAt);
    static void dropOldAnswers(service_answers &answers);
    static bool wasAnsweredWhole(const service_answers &answers, relay::crash_key key);
    void scheduleTellingLeft(const std::string &service);
    void tellAnswers(const std::string &service);
    void tellLeftAnswers(const std::string &service);
    void reportEnd(crash_message message);
    void forgetWatched(service_answers &answers) const;
    bool isWatched(const service_answers &answers, relay::crash_key key) const;
    void receive(const endpoint &from, std::string_view datagram);
    void applyEvidence(const crash_message &message);
    void send(const endpoint &to, const crash_message &message);
    void endTrialRequest(const std::string &entryId, bool isGranted);
    bool grantTrial(const std::string &service, const std::string &entryId);
    void applyEntry(const relay::quarantine_entry &entry);
    void objectTo(const relay::quarantine_entry &entry);

    scheduler &m_tasks;
    membership::datagram_channel &m_channel;
    secret_key m_fleetKey;
    membership::membership_view &m_members;
    std::uint16_t m_port;
    keeper_ranking m_ranking;
    relay::quarantine_list m_entries;
    crash_keeper m_keeper;
    crash_reporter m_reporter;
    event_budget m_reportBudget;
    std::map<std::string, service_answers> m_answers; ///< by service
    std::map<std::string, reported_end> m_reportedEnds; ///< by upstream
    std::map<std::string, trial_request> m_trialRequests; ///< not answered yet, by entry
    std::set<std::string> m_tellingAnswers; ///< services whose answers are told soon
    std::set<std::string> m_tellingLeft; ///< likewise, answers that callers left
    time_point m_startedAt{};
    std::uint64_t m_datagramsSent = 0;
};

} // namespace ivypier::fleet
