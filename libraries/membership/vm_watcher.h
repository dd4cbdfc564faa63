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

/// What a vm_watcher works with; every reference outlives it.
struct vm_watcher_parts
{
    scheduler &tasks;
    random_source &randomness;
    cloud::cloud_service &cloud;
    membership_view &members;
    std::function<std::size_t()> fleetSize; ///< nodes that poll as this one does
};

/// Follows the platform's list of VMs and its notices, and tells the fleet which upstreams leave, as facts
/// `leaving/<address>` whose value is the VM. An empty value takes it back: another VM has the address now.
/// Each node polls so seldom that the fleet as a whole stays under fixed rates.
class vm_watcher
{
public:
    explicit vm_watcher(vm_watcher_parts parts);

    /// Starts to poll, at once and then at jittered intervals.
    void start();

    /// The VMs as they were last listed.
    const std::vector<cloud::vm_record> &vms() const;

    /// Addresses of upstreams that the configuration names, by name; a notice may be for one of them.
    void setNamedUpstreams(std::map<std::string, endpoint> upstreams);

    /// Publishes that an upstream leaves, by its own word.
    void reportLeaving(const endpoint &upstream);

    /// Calls `observer` after the list changed.
    void onVmsChanged(std::function<void()> observer);

    /// Calls `observer` with each answer of the platform.
    void onPlatformAnswered(std::function<void()> observer);

    /// The upstream that a fact says is leaving; nothing for other facts and for those that take it back.
    static std::optional<endpoint> leavingUpstream(const fact &update);

    /// The address that a fact says has another VM now; nothing for other facts.
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

    vm_watcher_parts m_parts;
    std::vector<cloud::vm_record> m_vms;
    std::map<std::string, endpoint> m_named;
    std::set<std::string> m_noticed; ///< VMs with a notice, as of the last answer
    std::vector<std::function<void()>> m_vmObservers;
    std::vector<std::function<void()>> m_responseObservers;
};

} // namespace ivypier::membership
