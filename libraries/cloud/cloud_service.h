#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/outcome.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::cloud {

/// Pricing model of a VM. The cloud can reclaim a reclaimable VM after a notice.
enum class vm_kind { reclaimable, on_demand };

/// State of a VM in the platform's list.
enum class vm_state { live, leaving };

std::string_view name(vm_kind kind);
std::string_view name(vm_state state);

/// A VM as the platform lists it.
struct vm_record
{
    std::string id;
    std::string role; ///< `node`, or the name of the service for which the VM is an upstream
    endpoint address;
    std::string failureDomain;
    std::string machineClass;
    vm_kind kind = vm_kind::reclaimable;
    vm_state state = vm_state::live;

    auto operator<=>(const vm_record &) const = default;
};

/// Price of a VM of one machine class and kind in one failure domain.
struct vm_price
{
    std::string failureDomain;
    std::string machineClass;
    vm_kind kind = vm_kind::reclaimable;
    double perHour = 0.0; ///< in the deployment's currency

    auto operator<=>(const vm_price &) const = default;
};

/// Request for a new VM. `token` is an idempotency key: repeating it never starts a second VM.
struct vm_order
{
    std::string token;
    std::string role;
    std::string failureDomain;
    std::string machineClass;
    vm_kind kind = vm_kind::reclaimable;

    auto operator<=>(const vm_order &) const = default;
};

/// The platform's notice that it will reclaim a VM.
struct reclaim_notice
{
    std::string vm;
    std::int64_t remainingMilliseconds = 0; ///< counted from the time of the response

    auto operator<=>(const reclaim_notice &) const = default;
};

/// The cloud API: VMs, prices and reclaim notices. Completions run as tasks of the caller's scheduler.
class cloud_service
{
public:
    virtual ~cloud_service() = default;

    /// Lists live and leaving VMs. The platform's list lags behind the actual state.
    virtual void listVms(std::function<void(outcome<std::vector<vm_record>>)> done) = 0;

    virtual void listPrices(std::function<void(outcome<std::vector<vm_price>>)> done) = 0;

    /// Starts a VM. Fails with `refused` when the cloud has no capacity for it.
    virtual void startVm(const vm_order &order, std::function<void(outcome<vm_record>)> done) = 0;

    /// Releases a VM. It is listed as leaving at once and terminated after `notice`, so that its work can
    /// drain. Succeeds when the VM no longer exists.
    virtual void releaseVm(const std::string &id, duration notice, std::function<void(outcome<void>)> done)
        = 0;

    /// Lists the reclaim notices of one VM, or of all VMs when `vm` is empty.
    virtual void listNotices(const std::string &vm,
                             std::function<void(outcome<std::vector<reclaim_notice>>)> done)
        = 0;
};

} // namespace ivypier::cloud
