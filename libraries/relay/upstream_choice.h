#pragma once

#include "relay/call_environment.h"
#include "relay/stream_origin.h"
#include "relay/version_reserve.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace ivypier::relay {

/// Chooses the upstreams to which one call is sent, each at most once.
class upstream_choice
{
public:
    /// `request` and `matched` must outlive this object.
    upstream_choice(call_environment &environment, const call &request, const route &matched);

    /// Returns an upstream of the service that takes the call now, or null. A call that continues a stream
    /// goes only where `origin` allows. A new stream goes to the `selected` version as long as its upstreams
    /// have room; while deviations are stored late, it goes to no other.
    const upstream *choose(const std::string &service, const std::optional<stream_origin> &origin,
                           const std::optional<std::string> &selected = std::nullopt);

    /// Returns whether an upstream of this version may take the call, as far as is known without choosing it.
    bool hasUpstreamOf(const std::string &service, const std::string &version) const;

    /// Returns whether only the selected version was looked at, because deviations are stored late. A call
    /// with another id may be sent elsewhere.
    bool wasBoundToSelected() const
    {
        return m_wasBoundToSelected;
    }

    /// Returns false if the version of an upstream that was chosen has been rolled back since.
    bool mayStillUse(const upstream_record &chosen, const std::optional<stream_origin> &origin);

    /// Records that the call was sent to an upstream. Further attempts avoid the target of a rollout.
    void recordSent(const std::string &id);

    /// Records that an upstream was tried or does not take the call. `returnAfter`: when it may take calls.
    void exclude(const std::string &id, std::optional<duration> returnAfter = std::nullopt);

    /// Records that the call got no permit for an upstream that it might wait for.
    void excludeUntilPermit(const std::string &id, const permit_decision &refusal);

    /// Returns the upstream that grants a permit soonest, of those excluded until then, or null if none does
    /// within `patience`. Each is returned once.
    const upstream *takeSoonest(duration patience);

    /// Returns when an upstream that takes no calls now may take them again, if one is known to.
    std::optional<duration> returnAfter() const
    {
        return m_returnAfter;
    }

private:
    bool canServe(const upstream_record &candidate, const std::optional<stream_origin> &origin) const;
    /// Returns whether the call has to run at an upstream whose software version is known.
    bool isVersionNeeded(const std::vector<const upstream *> &ready,
                         const std::optional<stream_origin> &origin) const;
    void excludeUnavailable(const std::string &service, const std::optional<stream_origin> &origin);
    version_reserve reserved(const std::string &service, const std::optional<stream_origin> &origin) const;
    /// Returns whether a rollout is in progress, as far as this node knows, and every listed upstream of the
    /// service is of its target.
    bool isTargetAlone(const std::string &service) const;
    /// Returns the versions at which the call may run by the rollouts.
    delivery::version_filter filterFor(const std::string &service,
                                       const std::optional<stream_origin> &origin);
    const upstream *select(const std::string &service, const delivery::version_filter &filter,
                           version_reserve reserve) const;
    bool hasOtherVersion(const std::string &service, const std::string &selected) const;
    version_reserve withRoom(const std::string &service, version_reserve reserve) const;
    const upstream *selectPreferring(const std::string &selected, const std::string &service,
                                     const delivery::version_filter &filter,
                                     const version_reserve &reserve) const;

    call_environment &m_environment;
    const call &m_call;
    const route &m_route;
    std::set<std::string> m_excluded;
    std::map<std::string, time_point> m_permitsAt; ///< of the upstreams that may grant a permit later
    std::set<std::string> m_waitedFor; ///< upstreams that takeSoonest() has returned
    std::optional<duration> m_returnAfter;
    std::optional<delivery::version_filter> m_admitted; ///< by the gate, for the first attempt
    std::string m_admittedService;
    bool m_isSent = false; ///< an attempt was sent
    bool m_wasBoundToSelected = false;
};

} // namespace ivypier::relay
