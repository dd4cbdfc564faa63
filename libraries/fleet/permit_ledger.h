#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "fleet/permit_bucket.h"
#include "relay/call_permits.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace ivypier::fleet {

/// What a node was told of an upstream's limit.
struct limit_statement
{
    double callsPerSecond = 0.0;
    duration ago{}; ///< since the node was told

    auto operator<=>(const limit_statement &) const = default;
};

/// Grants the permits of upstreams that stated a limit, on the one node that keeps the ledger of each.
///
/// A new call that gets no permit is refused at once. A continuation of a stream may queue: those that wait
/// get their permits in the order in which they came, and one whose permit would come too late is refused at
/// once.
class permit_ledger
{
public:
    using completion = relay::call_permits::completion;

    /// Fraction of the rate that is granted while another node may keep the ledger for a part of the fleet.
    static constexpr double divided_share = 0.4;
    /// Longest time that a continuation waits for its permit.
    static constexpr duration max_queue_time = std::chrono::seconds(3);
    /// The limit ends when this many answers in a row do not state it, and no node was told it for
    /// `statement_lifetime`: an upstream may state it in some of its answers only.
    static constexpr int answers_to_end = 4;
    static constexpr duration statement_lifetime = std::chrono::seconds(1);
    /// Requests of all nodes above this rate are held back at the nodes.
    static constexpr double max_refusals_per_second = 200.0;
    static constexpr duration max_return_after = std::chrono::seconds(3);
    /// Ledgers that nobody asked for this long are dropped.
    static constexpr duration idle_retention = std::chrono::seconds(60);

    permit_ledger(scheduler &tasks, random_source &randomness);
    ~permit_ledger();
    permit_ledger(const permit_ledger &) = delete;
    permit_ledger &operator=(const permit_ledger &) = delete;

    bool contains(const std::string &upstream) const
    {
        return m_ledgers.contains(upstream);
    }

    /// Opens the ledger of an upstream to which the nodes sent these calls lately, or brings an older one up
    /// to date: another node may have kept it meanwhile.
    void open(const std::string &upstream, const limit_statement &statement, const sent_counts &sent);

    /// Grants a part of the rate only, or again the whole.
    void setDivided(const std::string &upstream, bool isDivided);

    /// Decides on a request of a node that was told this limit; the ledger must be open. Calls `done` once,
    /// before it returns or when the permit is granted or refused later.
    relay::permit_request_id request(const std::string &upstream, const limit_statement &statement,
                                     const relay::permit_request &details, completion done);

    /// Removes a request from the queue.
    void withdraw(const std::string &upstream, relay::permit_request_id id);

    /// Records that an answer stated the limit, or none.
    void recordAnswer(const std::string &upstream, std::optional<double> callsPerSecond);

    /// Returns the limit in force; nothing if the upstream is not known or its limit has ended.
    std::optional<double> limit(const std::string &upstream) const;

private:
    struct queued_request
    {
        relay::permit_request_id id = 0;
        time_point refusedAt{}; ///< unless it gets a permit before
        completion done;
    };
    struct ledger
    {
        explicit ledger(const permit_bucket &opened)
            : bucket(opened)
        {
        }

        permit_bucket bucket;
        bool isEnded = false; ///< the upstream states no limit any more
        bool isDivided = false;
        time_point statedAt{}; ///< or, for an ended limit, when it ended
        time_point expectedAt{}; ///< last request, or the next one if the last was refused
        time_point decayedAt{};
        double recentRefusals = 0.0; ///< per second, smoothed
        int answersWithout = 0;
        std::deque<queued_request> queue;
        std::optional<timer_id> timer; ///< grants the next permit of the queue
    };

    static double shareOf(const ledger &of);
    void refill(ledger &of) const;
    void follow(ledger &of, const limit_statement &statement);
    void setRate(ledger &of, double callsPerSecond);
    bool isInTime(const ledger &of, const relay::permit_request &details) const;
    /// Returns how long a continuation waits behind others.
    duration queueTime(const ledger &of, std::size_t waiting) const;
    relay::permit_decision refusal(ledger &of, duration next) const;
    void serveQueue(const std::string &upstream);
    void forgetIdle();

    scheduler &m_tasks;
    random_source &m_random;
    std::map<std::string, ledger> m_ledgers;
    relay::permit_request_id m_lastId = 0;
};

} // namespace ivypier::fleet
