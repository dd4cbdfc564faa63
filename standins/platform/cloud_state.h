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

/// Faults and times of the cloud that a test sets.
struct cloud_faults
{
    int refuseStarts = 0; ///< VM orders to refuse
    double listLagSeconds = 0.0; ///< age of the VM list that is shown
    double startSeconds = 0.0; ///< from an order to a live VM
};

/// The cloud of the stand-in: VMs, prices, notices, and the list that lags. A started VM gets an address of
/// the pool that a test registered for its role, so that a process can stand there.
class cloud_state
{
public:
    explicit cloud_state(const clock &time);

    void setFaults(const cloud_faults &faults);

    /// Answers `/vms` and what is below `/cloud/`.
    http::response handle(const http::request &incoming);

    /// Answers a control call, or nothing when it is not one of the cloud's.
    std::optional<http::response> control(const std::string &path, const Json::Value &json);

private:
    struct vm_list_snapshot
    {
        time_point at;
        std::vector<cloud::vm_record> vms;
    };

    /// A price from some moment on.
    struct price_change
    {
        time_point from;
        double perHour = 0.0;
    };

    using vm_type = std::tuple<std::string, std::string, cloud::vm_kind>;

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
    std::map<std::string, time_point> m_liveAt; ///< of VMs that are being started
    std::map<std::string, time_point> m_terminatesAt; ///< of VMs that are leaving
    std::map<std::string, time_point> m_reclaimAt; ///< of those, the ones that the cloud takes back
    std::map<std::string, cloud::vm_record> m_vmsByToken;
    std::map<vm_type, std::vector<price_change>> m_prices;
    std::vector<Json::Value> m_refusalRules; ///< types that get no new VM; an empty field stands for any
    std::map<std::string, std::deque<endpoint>> m_pools; ///< by role
    std::vector<vm_list_snapshot> m_snapshots;
    Json::Value m_record{Json::arrayValue};
};

} // namespace ivypier::standins
