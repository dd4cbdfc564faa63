#pragma once

#include "base/clock.h"
#include "cloud/cloud_service.h"
#include "http/message.h"

#include <json/value.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::standins {

/// Faults and delays of the cloud that a test sets.
struct cloud_faults
{
    int refuseStarts = 0; ///< number of VM orders to refuse
    double listLagSeconds = 0.0; ///< age of the VM list that is returned
    double startSeconds = 0.0; ///< from an order until the VM is live
};

/// Simulates the cloud API: VMs, prices, reclaim notices, and a VM list that may lag. A started VM gets an
/// address from the pool that a test registered for its role, so that the test can run a process at that
/// address.
class cloud_state
{
public:
    explicit cloud_state(const clock &time);

    void setFaults(const cloud_faults &faults);

    /// Handles `/vms` and the paths below `/cloud/`; 404 for any other path.
    http::response handle(const http::request &incoming);

    /// Handles a control call. Returns std::nullopt if the path is none of the cloud's.
    std::optional<http::response> control(const std::string &path, const Json::Value &json);

private:
    struct vm_list_snapshot
    {
        time_point at;
        std::vector<cloud::vm_record> vms;
    };

    /// A price and the time from which it applies.
    struct price_change
    {
        time_point from;
        double perHour = 0.0;
    };

    using vm_type = std::tuple<std::string, std::string, cloud::vm_kind>;

    /// Makes started VMs live and removes terminated ones whose time has come. Called before each request.
    void applyDueTransitions();
    http::response prices() const;
    http::response notices(const http::request &incoming) const;
    http::response listVms() const;
    http::response startVm(const http::request &incoming);
    http::response releaseVm(const http::request &incoming);
    http::response addVm(const Json::Value &json);
    http::response reclaim(const Json::Value &json);
    bool refuses(const cloud::vm_record &vm);
    std::optional<endpoint> addressFor(const std::string &role);
    void recordEvent(const std::string &event, const cloud::vm_record &vm, const std::string &token);
    void addSnapshot();

    const clock &m_time;
    cloud_faults m_faults;
    std::map<std::string, cloud::vm_record> m_vms;
    std::map<std::string, time_point> m_liveAt; ///< start-up end of VMs that are being started
    std::map<std::string, time_point> m_terminatesAt; ///< end of the notice of VMs that are leaving
    std::map<std::string, time_point> m_reclaimAt; ///< the same, only of VMs that the cloud reclaims
    std::map<std::string, cloud::vm_record> m_vmsByToken; ///< by idempotency token of the order
    std::map<vm_type, std::vector<price_change>> m_prices;
    std::vector<Json::Value> m_refusalRules; ///< VM types to refuse; an empty field matches any value
    std::map<std::string, std::deque<endpoint>> m_pools; ///< free addresses by role
    std::vector<vm_list_snapshot> m_snapshots;
    Json::Value m_record{Json::arrayValue};
};

} // namespace ivypier::standins
