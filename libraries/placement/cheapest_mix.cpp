#include "placement/cheapest_mix.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace ivypier::placement {

namespace {

constexpr double infeasible_cost = std::numeric_limits<double>::infinity();
/// Above this number of VMs of the smallest class the mix is found by greedy filling and rounding, not
/// exactly.
constexpr double max_exact_vms = 48.0;
constexpr double max_units = 96.0; // of the demand
constexpr double max_units_per_vm = 8.0; // of the smallest class
constexpr int domain_limit_steps = 96; // of the greedy search
constexpr int demand_search_steps = 12; // of the bisection for the largest affordable demand
constexpr double tolerance = 1e-9;

/// Up to `maxCount` VMs of one type at one price.
struct supply
{
    vm_type type;
    double price = 0.0; ///< per hour, with the premium for VMs that don't run yet
    double requestsPerSecond = 0.0; ///< of one VM
    std::uint32_t maxCount = 0;
};

using supplies = std::map<std::string, std::vector<supply>>; // by failure domain
using vm_counts = std::map<vm_type, std::uint32_t>;

/// Returns the supplies of each domain. A type has one supply for its running VMs and one for new VMs.
supplies buildSupplies(const mix_request &request, const cheapest_mix_options &options, double demand)
{
    supplies result;
    for (const vm_offer &each : request.offers) {
        if (each.requestsPerSecond <= 0.0
            || (options.onDemandOnly && each.type.kind != cloud::vm_kind::on_demand))
            continue;
        std::vector<supply> &domain = result[each.type.failureDomain];
        const auto maxCount = static_cast<std::uint32_t>(std::ceil(demand / each.requestsPerSecond)) + 1;
        if (each.running > 0)
            domain.push_back(
                {each.type, each.pricePerHour, each.requestsPerSecond, std::min(each.running, maxCount)});
        if (each.startable)
            domain.push_back({each.type, each.pricePerHour * (1.0 + options.startPremium),
                              each.requestsPerSecond, maxCount});
    }
    return result;
}

/// For each number of capacity units, the cheapest VMs of one domain that have at least that many.
struct domain_plan
{
    domain_plan(const std::vector<supply> &available, double unit, std::size_t unitLimit)
        : cost(unitLimit + 1, infeasible_cost)
        , counts(unitLimit + 1)
    {
        cost[0] = 0.0;
        for (const supply &each : available)
            add(each, static_cast<std::size_t>(std::floor(each.requestsPerSecond / unit + tolerance)));
    }

    void add(const supply &added, std::size_t units)
    {
        if (units == 0)
            return;
        // Batches of 1, 2, 4 … VMs: every count up to `maxCount` is a sum of some of them.
        std::uint32_t remaining = added.maxCount;
        for (std::uint32_t batch = 1; remaining > 0; batch *= 2) {
            const std::uint32_t batchSize = std::min(batch, remaining);
            remaining -= batchSize;
            for (std::size_t to = cost.size(); to-- > 1;) {
                const std::size_t from = to > units * batchSize ? to - units * batchSize : 0;
                const double candidateCost = cost[from] + added.price * batchSize;
                if (candidateCost >= cost[to])
                    continue;
                cost[to] = candidateCost;
                counts[to] = counts[from];
                counts[to][added.type] += batchSize;
            }
        }
    }

    std::vector<double> cost;
    std::vector<vm_counts> counts;
};

/// Returns the lowest cost of at least `total` units over all domains, of which at most `domainLimit` count
/// in one domain, and the units allocated in each domain. The cost is infeasible_cost when there is no such
/// allocation.
std::pair<double, std::vector<std::size_t>> allocateUnits(const std::vector<domain_plan> &domains,
                                                          std::size_t total, std::size_t domainLimit)
{
    std::vector<double> best(total + 1, infeasible_cost);
    std::vector<std::vector<std::size_t>> allocated(domains.size(), std::vector<std::size_t>(total + 1, 0));
    best[0] = 0.0;
    for (std::size_t domain = 0; domain < domains.size(); ++domain) {
        std::vector<double> next = best;
        for (std::size_t sum = 1; sum <= total; ++sum) {
            for (std::size_t units = 1; units <= domainLimit; ++units) {
                const double candidateCost
                    = best[sum > units ? sum - units : 0] + domains[domain].cost[units];
                if (candidateCost >= next[sum])
                    continue;
                next[sum] = candidateCost;
                allocated[domain][sum] = units;
            }
        }
        best = std::move(next);
    }
    std::vector<std::size_t> chosen(domains.size(), 0);
    std::size_t remaining = total;
    for (std::size_t domain = domains.size(); domain-- > 0;) {
        chosen[domain] = allocated[domain][remaining];
        remaining -= std::min(remaining, chosen[domain]);
    }
    return {best[total], chosen};
}

/// Returns the cheapest VM counts, exact in units of capacity; the cost of the search limits it to few VMs.
vm_counts solveExactly(const supplies &available, double demand, double smallest, bool toleratesDomainLoss)
{
    const double unitsPerVm = std::clamp(std::floor(max_units * smallest / demand), 1.0, max_units_per_vm);
    const double unit = smallest / unitsPerVm;
    const auto demandUnits = static_cast<std::size_t>(std::ceil(demand / unit - tolerance));
    std::vector<domain_plan> domains;
    for (const auto &[domain, list] : available)
        domains.emplace_back(list, unit, demandUnits);
    double best = infeasible_cost;
    vm_counts result;
    const std::size_t minDomainLimit
        = domains.size() > 1 ? (demandUnits + domains.size() - 2) / (domains.size() - 1) : demandUnits;
    for (std::size_t domainLimit = toleratesDomainLoss ? minDomainLimit : demandUnits;
         domainLimit <= demandUnits; ++domainLimit) {
        const auto [cost, chosen] = allocateUnits(
            domains, toleratesDomainLoss ? demandUnits + domainLimit : demandUnits, domainLimit);
        if (cost >= best)
            continue;
        best = cost;
        result.clear();
        for (std::size_t domain = 0; domain < domains.size(); ++domain) {
            for (const auto &[type, count] : domains[domain].counts[chosen[domain]])
                result[type] += count;
        }
    }
    return result;
}

/// Fills `total` requests per second from the supplies in the given order, at most `domainLimit` of them in
/// one domain. Returns the cost and the VM counts; the cost is infeasible_cost when the supplies don't
/// suffice.
std::pair<double, vm_counts> fillGreedily(const std::vector<supply> &byCost, double total, double domainLimit)
{
    std::map<std::string, double> usedByDomain;
    vm_counts counts;
    double cost = 0.0;
    double remaining = total;
    for (const supply &each : byCost) {
        double &used = usedByDomain[each.type.failureDomain];
        const double rate = std::min({remaining, domainLimit - used, each.requestsPerSecond * each.maxCount});
        if (rate <= tolerance)
            continue;
        const auto count = static_cast<std::uint32_t>(std::ceil(rate / each.requestsPerSecond - tolerance));
        counts[each.type] += count;
        cost += count * each.price;
        used += rate;
        remaining -= rate;
    }
    return {remaining > tolerance ? infeasible_cost : cost, counts};
}

/// Returns VM counts for large demands: fills the supplies in order of cost and rounds up to whole VMs.
vm_counts solveGreedily(const supplies &available, double demand, bool toleratesDomainLoss)
{
    std::vector<supply> byCost;
    for (const auto &[domain, list] : available)
        byCost.insert(byCost.end(), list.begin(), list.end());
    std::stable_sort(byCost.begin(), byCost.end(), [](const supply &left, const supply &right) {
        return left.price / left.requestsPerSecond < right.price / right.requestsPerSecond;
    });
    if (!toleratesDomainLoss)
        return fillGreedily(byCost, demand, demand).second;
    const double minDomainLimit = demand / std::max<double>(1.0, static_cast<double>(available.size()) - 1.0);
    double best = infeasible_cost;
    vm_counts result;
    const auto tryDomainLimit = [&](double domainLimit) {
        const auto [cost, counts] = fillGreedily(byCost, demand + domainLimit, domainLimit);
        if (cost >= best)
            return;
        best = cost;
        result = counts;
    };
    for (std::size_t domains = 2; domains <= available.size(); ++domains)
        tryDomainLimit(demand / static_cast<double>(domains - 1));
    for (int step = 0; step <= domain_limit_steps; ++step)
        tryDomainLimit(minDomainLimit + (demand - minDomainLimit) * step / domain_limit_steps);
    return result;
}

/// Removes the VMs that the demand does not need, the most expensive first.
void removeExcessVms(const mix_request &request, vm_mix &mix, double demand, bool toleratesDomainLoss)
{
    std::vector<vm_offer> byPrice = request.offers;
    std::stable_sort(byPrice.begin(), byPrice.end(), [](const vm_offer &left, const vm_offer &right) {
        return left.pricePerHour > right.pricePerHour;
    });
    const auto meetsDemand = [&] {
        if (toleratesDomainLoss)
            return carriedAfterDomainLoss(request, mix) + tolerance >= demand;
        double total = 0.0;
        for (const vm_offer &each : request.offers)
            total += each.requestsPerSecond * mix.counts[each.type];
        return total + tolerance >= demand;
    };
    for (const vm_offer &each : byPrice) {
        while (mix.counts[each.type] > 0) {
            --mix.counts[each.type];
            if (meetsDemand())
                continue;
            ++mix.counts[each.type];
            break;
        }
    }
    std::erase_if(mix.counts, [](const auto &each) { return each.second == 0; });
}

} // namespace

double carriedAfterDomainLoss(const mix_request &request, const vm_mix &mix)
{
    std::map<std::string, double> byDomain;
    double total = 0.0;
    double largest = 0.0;
    for (const vm_offer &each : request.offers) {
        const auto found = mix.counts.find(each.type);
        if (found == mix.counts.end())
            continue;
        const double carried = found->second * each.requestsPerSecond;
        total += carried;
        largest = std::max(largest, byDomain[each.type.failureDomain] += carried);
    }
    return total - largest;
}

cheapest_mix::cheapest_mix(cheapest_mix_options options)
    : m_options(options)
{
}

std::optional<vm_mix> cheapest_mix::planFor(const mix_request &request, double demand) const
{
    const supplies available = buildSupplies(request, m_options, demand);
    double smallest = infeasible_cost;
    for (const auto &[domain, list] : available) {
        for (const supply &each : list)
            smallest = std::min(smallest, each.requestsPerSecond);
    }
    if (available.empty())
        return std::nullopt;
    vm_mix mix;
    mix.counts = demand / smallest > max_exact_vms
        ? solveGreedily(available, demand, m_options.surviveDomainLoss)
        : solveExactly(available, demand, smallest, m_options.surviveDomainLoss);
    if (mix.counts.empty())
        return std::nullopt;
    removeExcessVms(request, mix, demand, m_options.surviveDomainLoss);
    for (const vm_offer &each : request.offers) {
        const auto found = mix.counts.find(each.type);
        mix.costPerHour += found == mix.counts.end() ? 0.0 : found->second * each.pricePerHour;
    }
    mix.carriedRequestsPerSecond = demand;
    if (mix.costPerHour > request.budgetPerHour + tolerance)
        return std::nullopt;
    return mix;
}

vm_mix cheapest_mix::choose(const mix_request &request) const
{
    if (request.requestsPerSecond <= 0.0)
        return {{}, 0.0, 0.0, true};
    if (std::optional<vm_mix> fullMix = planFor(request, request.requestsPerSecond)) {
        fullMix->meetsTarget = m_options.surviveDomainLoss;
        return *fullMix;
    }
    vm_mix best;
    double low = 0.0;
    double high = request.requestsPerSecond;
    for (int step = 0; step < demand_search_steps; ++step) {
        const double targetDemand = (low + high) / 2;
        if (std::optional<vm_mix> partialMix = planFor(request, targetDemand)) {
            best = std::move(*partialMix);
            low = targetDemand;
        } else {
            high = targetDemand;
        }
    }
    if (!best.counts.empty() || !m_options.surviveDomainLoss)
        return best;
    // With one domain no mix survives its loss: return one that carries the demand while the domain is up.
    cheapest_mix_options options = m_options;
    options.surviveDomainLoss = false;
    return cheapest_mix(options).choose(request);
}

} // namespace ivypier::placement
