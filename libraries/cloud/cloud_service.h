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

/// How a VM is paid for; a reclaimable one can be taken back after a notice.
enum class vm_kind { reclaimable, on_demand };

/// What a VM of the platform's list is doing.
enum class vm_state { live, leaving };

std::string_view name(vm_kind kind);
std::string_view name(vm_state state);

/// A VM as the platform lists it.
struct vm_record
{
    std::string id;
    std::string role; ///< `node` or the name of the service whose upstream it is
    endpoint address;
    std::string failureDomain;
    std::string machineClass;
    vm_kind kind = vm_kind::reclaimable;
    vm_state state = vm_state::live;

    auto operator<=>(const vm_record &) const = default;
};

/// What a VM of one class and kind costs in one failure domain.
struct vm_price
{
    std::string failureDomain;
    std::string machineClass;
    vm_kind kind = vm_kind::reclaimable;
    double perHour = 0.0; ///< in the deployment's currency

    auto operator<=>(const vm_price &) const = default;
};

/// An order for a new VM. `token` makes it idempotent: the same token never starts a second VM.
struct vm_order
{
    std::string token;
    std::string role;
    std::string failureDomain;
    std::string machineClass;
    vm_kind kind = vm_kind::reclaimable;

    auto operator<=>(const vm_order &) const = default;
};

/// The platform's announcement that a VM will be taken back.
struct reclaim_notice
{
    std::string vm;
    std::int64_t remainingMilliseconds = 0; ///< from the moment of the answer

    auto operator<=>(const reclaim_notice &) const = default;
};

/// The cloud's interface: VMs, prices, notices. Answers come as tasks of the caller's scheduler.
class cloud_service
{
public:
    virtual ~cloud_service() = default;

    /// Live and leaving VMs, as the platform knew them some time ago.
    virtual void listVms(std::function<void(outcome<std::vector<vm_record>>)> done) = 0;

    virtual void listPrices(std::function<void(outcome<std::vector<vm_price>>)> done) = 0;

    /// Starts a VM; `refused` when the cloud has none to give.
    virtual void startVm(const vm_order &order, std::function<void(outcome<vm_record>)> done) = 0;

    /// Gives a VM back: it is listed as leaving at once and ends after `notice`, so that its work can drain.
    /// One that is gone already counts as done.
    virtual void releaseVm(const std::string &id, duration notice, std::function<void(outcome<void>)> done)
        = 0;

    /// Notices for one VM, or for all when `vm` is empty.
    virtual void listNotices(const std::string &vm,
                             std::function<void(outcome<std::vector<reclaim_notice>>)> done)
        = 0;
};

} // namespace ivypier::cloud
