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

/// What an expected_time_router is told about its node and its upstreams.
struct expected_time_settings
{
    std::string node; ///< chooses the upstreams that this node follows
    std::string failureDomain; ///< this node's
    std::size_t polledLimit = 32; ///< upstreams of one service whose load this node follows
    duration crossDomainLatency = std::chrono::milliseconds(1);
    duration reportLag{}; ///< age of a load report when it arrives
    duration reportInterval
        = std::chrono::milliseconds(500); ///< between two reports pollPending of one upstream
    std::size_t sampledCandidates = 2; ///< drawn at random for each request
    bool usePrefixes = true; ///< false: a baseline that knows nothing of prefix caches

    auto operator<=>(const expected_time_settings &) const = default;
};

/// The upstream with the least expected time to the first token, among a few drawn at random, the home of the
/// request's prefix by rendezvous hash, and the one that holds most of its prompt. Expected time: the last
/// report aged, this node's ownWork attempts since, the prompt tokens not cached, and the distance. What
/// choose() expects has a margin on top, learned so that 97 in 100 first tokens come within it.
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
        std::vector<state_pointer> polled; ///< the most wanted by rendezvous hash first
        service_speed speed;
        bool streamSecondsKnown = false;
        fleet_work fleet;
        double margin = 0.0; ///< 97 in 100 first tokens came at most this much later than expected
        time_point marginUpdatedAt{};
    };

    struct in_flight_attempt
    {
        state_pointer target;
        std::string service;
        bool isProbe = false;
        bool begun = false;
        double expectedSeconds = 0.0;
        time_point sentAt{};
        time_point firstTokenAt{};
    };

    struct first_token_estimate
    {
        state_pointer target;
        double seconds = 0.0;
        double unloadedSeconds = 0.0; ///< the same without any wait
        std::uint64_t cachedTokens = 0;
    };

    static void updateStreamTime(service_state &service, double elapsed);
    void updateMargin(service_state &service, double lateness) const;
    double margin(const service_state &service) const;
    void updateFleetWork(service_state &service) const;
    void selectPolled(service_state &service) const;
    bool isLeaving(const upstream_state &of) const;
    bool isEligible(const upstream_state &of, const routing_request &request) const;
    std::vector<state_pointer> eligibleUpstreams(const service_state &service,
                                                 const routing_request &request) const;
    state_pointer findProbeTarget(const service_state &service, const routing_request &request) const;
    state_pointer home(const service_state &service, const routing_request &request) const;
    std::vector<state_pointer> selectCandidates(const service_state &service, const routing_request &request,
                                                const state_pointer &preferred);
    first_token_estimate estimateFirstToken(const service_state &service, const state_pointer &of,
                                            const routing_request &request) const;
    bool isPollDue(const upstream_state &of) const;

    const clock &m_time;
    random_source &m_random;
    expected_time_settings m_settings;
    std::map<endpoint, state_pointer> m_upstreams;
    std::map<std::string, service_state> m_services;
    std::set<endpoint> m_leaving;
    std::map<std::string, in_flight_attempt> m_attempts;
};

} // namespace ivypier::routing
