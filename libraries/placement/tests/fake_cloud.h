#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "cloud/cloud_service.h"
#include "placement/demand_source.h"
#include "placement/vm_type.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ivypier::placement::tests {

/// The cloud of a test, on the test's virtual clock.
struct fake_cloud
{
    fake_cloud(scheduler &world, random_source &random)
        : tasks(world)
        , randomness(random)
    {
    }

    outcome<cloud::vm_record> start(const cloud::vm_order &order)
    {
        const auto known = byToken.find(order.token);
        if (known != byToken.end())
            return known->second;
        const vm_type type{order.failureDomain, order.machineClass, order.kind};
        if (refuses && refuses(type)) {
            ++refusals;
            return error{error_code::refused, "no capacity"};
        }
        cloud::vm_record vm{"vm" + std::to_string(++started),
                            order.role,
                            {"127.0.0.1", 1},
                            order.failureDomain,
                            order.machineClass,
                            order.kind,
                            cloud::vm_state::live};
        byToken.emplace(order.token, vm);
        tasks.after(startTime, [this, vm] {
            vms[vm.id] = vm;
            record();
        });
        return vm;
    }

    /// Marks a VM as leaving and removes it after `notice`.
    void startLeaving(const std::string &vm, duration notice)
    {
        const auto found = vms.find(vm);
        if (found == vms.end())
            return;
        found->second.state = cloud::vm_state::leaving;
        record();
        tasks.after(notice, [this, vm] {
            vms.erase(vm);
            notices.erase(vm);
            record();
        });
    }

    /// Reclaims every live VM for which `chosen` returns true, with a notice.
    void reclaim(duration notice, const std::function<bool(const cloud::vm_record &)> &chosen)
    {
        std::vector<std::string> ids;
        for (const auto &[id, vm] : vms) {
            if (vm.state == cloud::vm_state::live && chosen(vm))
                ids.push_back(id);
        }
        for (const std::string &id : ids) {
            notices.insert(id);
            startLeaving(id, notice);
        }
    }

    /// Adds the current VM list to the history that list() lags behind in.
    void record()
    {
        std::vector<cloud::vm_record> list;
        for (const auto &[id, vm] : vms)
            list.push_back(vm);
        history.push_back({tasks.now(), std::move(list)});
        while (history.size() > 1 && history[1].first + listLag <= tasks.now())
            history.pop_front();
    }

    std::vector<cloud::vm_record> list() const
    {
        std::vector<cloud::vm_record> shown;
        for (const auto &[at, each] : history) {
            if (at + listLag <= tasks.now())
                shown = each;
        }
        return shown;
    }

    std::size_t live() const
    {
        std::size_t count = 0;
        for (const auto &[id, vm] : vms)
            count += vm.state == cloud::vm_state::live ? 1 : 0;
        return count;
    }

    std::map<std::string, std::size_t> liveByDomain() const
    {
        std::map<std::string, std::size_t> count;
        for (const auto &[id, vm] : vms)
            count[vm.failureDomain] += vm.state == cloud::vm_state::live ? 1 : 0;
        return count;
    }

    scheduler &tasks;
    random_source &randomness;
    std::map<vm_type, double> prices;
    std::map<std::string, cloud::vm_record> vms;
    std::map<std::string, cloud::vm_record> byToken;
    std::set<std::string> notices;
    std::function<bool(const vm_type &)> refuses;
    std::deque<std::pair<time_point, std::vector<cloud::vm_record>>> history;
    std::size_t started = 0;
    std::size_t refusals = 0;
    duration startTime = std::chrono::seconds(60);
    duration listLag = std::chrono::seconds(0);
    double lossProbability = 0.0; ///< of a call; half of the lost calls are still applied
};

/// The connection of one process to the cloud.
class fake_cloud_client final : public cloud::cloud_service
{
public:
    fake_cloud_client(scheduler &process, fake_cloud &cloud)
        : m_process(process)
        , m_cloud(cloud)
    {
    }

    void listVms(std::function<void(outcome<std::vector<cloud::vm_record>>)> done) override
    {
        call<std::vector<cloud::vm_record>>(
            [this]() -> outcome<std::vector<cloud::vm_record>> { return m_cloud.list(); }, done);
    }

    void listPrices(std::function<void(outcome<std::vector<cloud::vm_price>>)> done) override
    {
        call<std::vector<cloud::vm_price>>(
            [this]() -> outcome<std::vector<cloud::vm_price>> {
                std::vector<cloud::vm_price> prices;
                for (const auto &[type, price] : m_cloud.prices)
                    prices.push_back({type.failureDomain, type.machineClass, type.kind, price});
                return prices;
            },
            done);
    }

    void startVm(const cloud::vm_order &order, std::function<void(outcome<cloud::vm_record>)> done) override
    {
        call<cloud::vm_record>([this, order] { return m_cloud.start(order); }, done);
    }

    void releaseVm(const std::string &id, duration notice, std::function<void(outcome<void>)> done) override
    {
        call<void>(
            [this, id, notice]() -> outcome<void> {
                m_cloud.startLeaving(id, notice);
                return success();
            },
            done);
    }

    void listNotices(const std::string &,
                     std::function<void(outcome<std::vector<cloud::reclaim_notice>>)> done) override
    {
        call<std::vector<cloud::reclaim_notice>>(
            [this]() -> outcome<std::vector<cloud::reclaim_notice>> {
                std::vector<cloud::reclaim_notice> list;
                for (const std::string &vm : m_cloud.notices)
                    list.push_back({vm, 1000});
                return list;
            },
            done);
    }

private:
    template <typename T>
    void call(std::function<outcome<T>()> effect, std::function<void(outcome<T>)> done)
    {
        const double draw = m_cloud.randomness.uniform();
        const bool lostRequest = draw < m_cloud.lossProbability / 2;
        const bool lostAnswer = draw < m_cloud.lossProbability;
        if (lostAnswer)
            m_cloud.tasks.after(std::chrono::seconds(2), [this, done] {
                m_process.post([done] { done(error{error_code::timed_out, "no response"}); });
            });
        if (lostRequest)
            return;
        m_cloud.tasks.after(std::chrono::milliseconds(20), [this, effect, done, lostAnswer] {
            const outcome<T> result = effect();
            if (!lostAnswer)
                m_process.post([done, result] { done(result); });
        });
    }

    scheduler &m_process;
    fake_cloud &m_cloud;
};

/// A demand source whose value the test sets.
class fake_demand final : public demand_source
{
public:
    std::optional<service_demand> observed(const std::string &) const override
    {
        return value;
    }

    std::optional<service_demand> value;
};

} // namespace ivypier::placement::tests
