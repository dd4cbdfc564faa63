#pragma once

#include "base/random_source.h"
#include "routing/load_estimate.h"
#include "routing/prefix_index.h"
#include "routing/router.h"
#include "routing/upstream_health.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ivypier::routing {

/// Settings of an expected_time_router.
struct expected_time_settings
{
    std::string node; ///< name of this node; seeds the choice of the upstreams that it polls
    std::string failureDomain; ///< failure domain of this node
    std::size_t polledLimit = 32; ///< most upstreams of one service that this node polls for load
    duration crossDomainLatency = std::chrono::milliseconds(1); ///< to an upstream in another failure domain
    duration reportLag{}; ///< age of a load report on arrival
    duration reportInterval = std::chrono::milliseconds(500); ///< between two polls of one upstream
    std::size_t sampledCandidates = 2; ///< upstreams drawn at random for each request
    bool usePrefixes = true; ///< false: ignores prefix caches (baseline)

    auto operator<=>(const expected_time_settings &) const = default;
};

/// Chooses the upstream with the lowest expected time to the first token. It compares a few upstreams drawn
/// at random, the home of the request's prefix (by rendezvous hash), and the upstream that caches the longest
/// part of its prompt.
///
/// The expected time is computed from the upstream's last report, weighted down by its age, the attempts that
/// this node has sent there since, the prompt tokens that are not cached, and the latency between failure
/// domains. choose() adds a margin, which adapts so that 97 in 100 first tokens arrive within the result.
class expected_time_router final : public router
{
public:
    expected_time_router(const clock &time, random_source &randomness, expected_time_settings settings);

    void setCandidates(std::vector<candidate> all) override;
    void markLeaving(const endpoint &upstream) override;
    void markReplaced(const endpoint &upstream) override;
    outcome<routing_choice> choose(const routing_request &request) override;
    void dispatched(const endpoint &upstream, const std::string &attempt,
                    const routing_request &request) override;
    void firstToken(const std::string &attempt, duration elapsed) override;
    void finished(const std::string &attempt, attempt_result result) override;
    void loadReported(const endpoint &upstream, const upstream::engine_load &load) override;
    void cacheReported(const endpoint &upstream, const std::vector<upstream::cache_event> &events) override;
    std::vector<endpoint> upstreamsToPoll(std::size_t limit) override;

private:
    struct upstream_state
    {
        candidate target;
        load_estimate load;
        prefix_index prefixes;
        upstream_health health;
        time_point polledAt{};
        bool pollPending = false;
    };
    using state_pointer = std::shared_ptr<upstream_state>;

    struct service_state
    {
        std::vector<state_pointer> all;
        std::vector<state_pointer> polled; ///< polled for load; by descending rendezvous weight if limited
        service_speed speed;
        bool streamSecondsKnown = false;
        fleet_work fleet;
        double margin = 0.0; ///< seconds by which 97 in 100 first tokens exceed the estimate at most
        time_point marginUpdatedAt{};
    };

    struct in_flight_attempt
    {
        state_pointer target;
        std::string service;
        bool isProbe = false;
        bool begun = false; ///< the first token has arrived
        double expectedSeconds = 0.0;
        time_point sentAt{};
        time_point firstTokenAt{};
    };

    struct first_token_estimate
    {
        state_pointer target;
        double seconds = 0.0;
        double unloadedSeconds = 0.0; ///< `seconds` without queueing
        std::uint64_t cachedTokens = 0;
    };

    static void updateStreamTime(service_state &service, double elapsed);
    void updateMargin(service_state &service, double lateness) const;
    double margin(const service_state &service) const;
    void updateFleetWork(service_state &service) const;
    void selectPolled(service_state &service) const;
    bool isLeaving(const upstream_state &state) const;
    bool isEligible(const upstream_state &state, const routing_request &request) const;
    std::vector<state_pointer> eligibleUpstreams(const service_state &service,
                                                 const routing_request &request) const;
    state_pointer findProbeTarget(const service_state &service, const routing_request &request) const;
    state_pointer home(const service_state &service, const routing_request &request) const;
    std::vector<state_pointer> selectCandidates(const service_state &service, const routing_request &request,
                                                const state_pointer &preferred);
    first_token_estimate estimateFirstToken(const service_state &service, const state_pointer &state,
                                            const routing_request &request) const;
    bool isPollDue(const upstream_state &state) const;

    const clock &m_time;
    random_source &m_random;
    expected_time_settings m_settings;
    std::map<endpoint, state_pointer> m_upstreams;
    std::map<std::string, service_state> m_services;
    std::set<endpoint> m_leaving;
    std::map<std::string, in_flight_attempt> m_attempts;
};

} // namespace ivypier::routing
