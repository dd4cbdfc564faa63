#pragma once

#include "base/scheduler.h"
#include "fleet/permit_ledger.h"
#include "fleet/permit_takeover.h"
#include "membership/membership_view.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace ivypier::fleet {

/// Names a request for a permit among those of all nodes.
struct permit_request_key
{
    endpoint from; ///< the default one for requests of the keeper itself
    std::uint64_t number = 0;

    auto operator<=>(const permit_request_key &) const = default;
};

/// Decides on permits for the upstreams whose ledgers this node keeps.
///
/// A node that begins to keep a ledger, or goes on after the members changed, asks all others what they sent
/// in the last seconds, and decides once they have replied or are late. A node that is asked leaves the
/// ledger to the one that asks, with the requests that wait. Docs: docs/design/upstream-statements.md.
class permit_keeper
{
public:
    /// Time for the reports that a new keeper asks for; the inquiry is sent twice.
    static constexpr duration report_timeout = std::chrono::milliseconds(50);
    /// How long a new keeper that did not hear from all members grants a part of the rate only.
    static constexpr duration division_time = std::chrono::seconds(4);
    /// How long a former keeper passes requests on to the one that follows it.
    static constexpr duration redirection_time = std::chrono::milliseconds(500);

    /// What the keeper learns from the nodes, and how it asks them.
    struct node_link
    {
        /// Asks the node on a host, by an inquiry with this number, for the calls that it sent to an
        /// upstream.
        std::function<void(const std::string &host, std::uint64_t number, const std::string &upstream)>
            inquire;
        /// Returns the calls that this node sent to an upstream.
        std::function<sent_counts(const std::string &upstream)> ownCalls;
    };

    /// What becomes of a request: one of these is called once, unless it is withdrawn.
    struct request_handler
    {
        permit_ledger::completion decided;
        std::function<void(const std::string &host)> moved; ///< the node on this host decides
    };

    permit_keeper(scheduler &tasks, random_source &randomness, const membership::membership_view &members,
                  node_link link);
    ~permit_keeper();
    permit_keeper(const permit_keeper &) = delete;
    permit_keeper &operator=(const permit_keeper &) = delete;

    /// Decides on a request of a node that was told this limit, at once or later.
    void decide(const permit_request_key &key, const std::string &upstream, const limit_statement &statement,
                const relay::permit_request &details, request_handler handler);

    /// Returns whether a request is not decided yet.
    bool isDeciding(const permit_request_key &key) const
    {
        return m_requests.contains(key);
    }

    /// Drops a request that is not decided yet.
    void withdraw(const permit_request_key &key);

    /// Records that an answer stated the limit, or none.
    void recordAnswer(const std::string &upstream, std::optional<double> callsPerSecond);

    /// Returns the limit in force; nothing if the upstream is not known or its limit has ended.
    std::optional<double> limit(const std::string &upstream) const;

    /// Returns the host of the node to which this one has just left the ledger of an upstream.
    std::optional<std::string> redirectionOf(const std::string &upstream) const;

    /// Leaves the ledger of an upstream to the node on this host, which asked for its calls.
    void handOver(const std::string &upstream, const std::string &host);

    /// Records the reply to an inquiry.
    void recordReport(const std::string &upstream, std::uint64_t number, const endpoint &from,
                      const sent_counts &sent);

    /// Has the ledgers be brought up to date before they are used again.
    void onMembersChanged();

private:
    struct request
    {
        std::string upstream;
        request_handler handler;
        relay::permit_request_id ledgerId = 0; ///< 0 while the ledger is not open
    };
    /// A ledger that another node asked for.
    struct redirection
    {
        std::string host;
        time_point until{};
    };
    /// A ledger of which another part of the fleet may have another keeper.
    struct division
    {
        std::set<membership::incarnation> unheard;
        timer_id timer{};
    };

    void ask(const permit_request_key &key, const limit_statement &statement,
             const relay::permit_request &details);
    bool isOpen(const std::string &upstream) const;
    permit_takeover &takeoverOf(const std::string &upstream, const limit_statement &statement);
    void inquire(const std::string &upstream);
    void onReportsLate(const std::string &upstream);
    void openLedger(const std::string &upstream);
    void divide(const std::string &upstream, const permit_takeover &takeover);
    void endDivision(const std::string &upstream);
    void reviewDivisions();
    bool ranksBefore(const std::string &host, const std::string &upstream) const;

    scheduler &m_tasks;
    const membership::membership_view &m_members;
    node_link m_link;
    permit_ledger m_ledger;
    std::map<permit_request_key, request> m_requests;
    std::map<std::string, permit_takeover> m_takeovers;
    std::map<std::string, std::uint64_t> m_openedAt; ///< the members' version at which a ledger was opened
    std::map<std::string, redirection> m_redirections;
    std::map<std::string, division> m_divisions;
    std::uint64_t m_membersVersion = 0;
    std::uint64_t m_lastInquiry = 0;
};

} // namespace ivypier::fleet
