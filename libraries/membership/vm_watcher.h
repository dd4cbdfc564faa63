#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "cloud/cloud_service.h"
#include "membership/membership_view.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ivypier::membership {

/// Collaborators of a vm_watcher. Every reference must outlive it.
struct vm_watcher_dependencies
{
    scheduler &tasks;
    random_source &randomness;
    cloud::cloud_service &cloud;
    membership_view &members;
    std::function<std::size_t()> fleetSize; ///< returns the number of nodes that poll the platform
};

/// Polls the platform's list of VMs and its reclaim notices, and publishes leaving upstreams as facts
/// `leaving/<address>` whose value is the VM. An empty value withdraws the fact: another VM has the address
/// now. The poll interval grows with the fleet, so that the fleet as a whole stays below fixed request rates.
class vm_watcher
{
public:
    explicit vm_watcher(vm_watcher_dependencies dependencies);

    /// Polls at once, then at jittered intervals.
    void start();

    /// Returns the VMs of the last list.
    const std::vector<cloud::vm_record> &vms() const;

    /// Sets the addresses, by name, of the upstreams in the configuration; a notice may name one of them.
    void setNamedUpstreams(std::map<std::string, endpoint> upstreams);

    /// Publishes that an upstream announced its own leaving, unless it is already known to leave.
    void reportLeaving(const endpoint &upstream);

    /// Registers an observer that is called after the list changed.
    void onVmsChanged(std::function<void()> observer);

    /// Registers an observer that is called after each successful response of the platform.
    void onPlatformResponse(std::function<void()> observer);

    /// Returns the upstream that a fact declares as leaving; nothing for other facts and withdrawn ones.
    static std::optional<endpoint> leavingUpstream(const fact &update);

    /// Returns the upstream address that a fact declares as reused by another VM; nothing for other facts.
    static std::optional<endpoint> replacedUpstream(const fact &update);

private:
    void pollVms();
    void pollNotices();
    duration interval(double fleetReadsPerSecond) const;
    void applyVms(std::vector<cloud::vm_record> listed);
    void applyNotices(const std::vector<cloud::reclaim_notice> &notices);
    void publishLeaving(const endpoint &upstream, const std::string &vm);
    void withdrawLeaving(const cloud::vm_record &live);
    std::optional<endpoint> findAddress(const std::string &vm) const;

    vm_watcher_dependencies m_dependencies;
    std::vector<cloud::vm_record> m_vms;
    std::map<std::string, endpoint> m_namedUpstreams;
    std::set<std::string> m_noticedVms; ///< VMs with a reclaim notice in the last response
    std::vector<std::function<void()>> m_vmObservers;
    std::vector<std::function<void()>> m_responseObservers;
};

} // namespace ivypier::membership
