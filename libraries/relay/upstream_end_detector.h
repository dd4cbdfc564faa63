#pragma once

#include "base/scheduler.h"
#include "relay/call_quarantine.h"
#include "relay/reachability_check.h"
#include "relay/upstream_directory.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::relay {

/// Tells the end of an upstream from a connection that broke: after a call broke off, it checks whether
/// anything listens at the upstream's address. An upstream that drains or is no longer listed ends as
/// planned, and one that does not reply may be cut off; neither counts.
class upstream_end_detector
{
public:
    /// Time between the first call that broke off and the check, in which the other connections break.
    static constexpr duration check_delay = std::chrono::milliseconds(60);
    /// Further calls that break off within this time belong to the same end.
    static constexpr duration end_retention = std::chrono::seconds(30);
    /// Upstreams that are checked at a time; when more end at once, their calls are not the cause.
    static constexpr std::size_t max_checks = 32;

    upstream_end_detector(scheduler &tasks, upstream_directory &upstreams, reachability_check &check,
                          call_quarantine &quarantine);

    /// Records that a call broke off before its answer was whole. One that is no suspect only tells of the
    /// end.
    void recordBrokenCall(const std::string &upstream, const std::optional<crash_suspect> &call);

    /// Records an answer that began at `beganAt` and ended with its connection. It is whole if the upstream
    /// goes on.
    void recordClosedAnswer(const std::string &upstream, const crash_suspect &call, time_point beganAt);

    /// Records that the upstream closed a connection that no call used. That no call broke off says nothing
    /// about calls that end upstreams.
    void recordClosedConnection(const std::string &upstream);

private:
    struct closed_answer
    {
        crash_suspect call;
        time_point beganAt{};
    };
    struct possible_end
    {
        upstream_end end;
        std::vector<closed_answer> closedAnswers;
        bool isConfirmed = false;
        bool hasBrokenCall = false;
    };

    possible_end *findOrAdd(const std::string &upstream);
    void startCheck(const std::string &upstream, const endpoint &address);
    void applyCheck(const std::string &upstream, reachability_check::result result);
    void forgetOld();

    scheduler &m_tasks;
    upstream_directory &m_upstreams;
    reachability_check &m_check;
    call_quarantine &m_quarantine;
    std::map<std::string, possible_end> m_ends;
    std::size_t m_checks = 0; ///< in progress
};

} // namespace ivypier::relay
