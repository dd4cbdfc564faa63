#include "duties/capacity_policy.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace ivypier::duties {

namespace {

double priceOf(const relay::scaling_rule &rule, const std::string &domain)
{
    const auto found = rule.domainPrices.find(domain);
    return found == rule.domainPrices.end() ? 1.0 : found->second;
}

/// Returns the failure domains of the service, cheapest first.
std::vector<std::string> domainsByPrice(const capacity_input &input)
{
    std::vector<std::string> domains;
    for (const auto &[domain, price] : input.rule.domainPrices)
        domains.push_back(domain);
    for (const auto &[domain, counts] : input.present) {
        if (!input.rule.domainPrices.contains(domain))
            domains.push_back(domain);
    }
    std::sort(domains.begin(), domains.end(), [&](const std::string &left, const std::string &right) {
        return std::pair(priceOf(input.rule, left), left) < std::pair(priceOf(input.rule, right), right);
    });
    return domains;
}

std::uint32_t ceilEngines(double engines)
{
    constexpr double tolerance = 1e-6;
    return static_cast<std::uint32_t>(std::max(std::ceil(engines - tolerance), 0.0));
}

domain_capacity capacityIn(const capacity_plan &plan, const std::string &domain)
{
    const auto found = plan.find(domain);
    return found == plan.end() ? domain_capacity() : found->second;
}

} // namespace

capacity_policy::capacity_policy(capacity_options options)
    : m_options(options)
{
}

double sizing_rule::enginesFor(double load) const
{
    return enginesPerLoad * load + enginesPerRootLoad * std::sqrt(load);
}

double sizing_rule::loadFor(double engines) const
{
    // The positive root of enginesPerLoad * x^2 + enginesPerRootLoad * x = engines, where x^2 is the load.
    const double root = (std::sqrt(enginesPerRootLoad * enginesPerRootLoad + 4.0 * enginesPerLoad * engines)
                         - enginesPerRootLoad)
        / (2.0 * enginesPerLoad);
    return root * root;
}

double capacity_policy::loadFor(std::uint32_t upstreams) const
{
    return m_options.normal.loadFor(upstreams);
}

capacity_policy::mix capacity_policy::cheapestMix(const capacity_input &input,
                                                  const std::vector<std::string> &domains) const
{
    const auto count = static_cast<std::uint32_t>(domains.size());
    const std::uint32_t maxPerDomain = input.rule.maxPerDomain;
    const std::uint32_t needed = std::max(ceilEngines(m_options.normal.enginesFor(input.load)), 1U);
    const std::uint32_t neededAfterDomainLoss = ceilEngines(m_options.afterDomainLoss.enginesFor(input.load));
    double meanPrice = 0.0;
    for (const std::string &each : domains)
        meanPrice += priceOf(input.rule, each) / count;
    double bestPrice = std::numeric_limits<double>::infinity();
    // Fallback if the limits are too low for the load: the maximum in each domain, with one on-demand
    // upstream and the rest reclaimable.
    mix best{count, maxPerDomain - std::min(maxPerDomain, 1U)};
    for (std::uint32_t each = 0; each <= maxPerDomain; ++each) {
        const std::uint32_t reclaimable = each * count;
        std::uint32_t onDemand = m_options.minOnDemand;
        onDemand = std::max(onDemand, needed - std::min(needed, reclaimable));
        onDemand
            = std::max(onDemand, neededAfterDomainLoss - std::min(neededAfterDomainLoss, reclaimable - each));
        if (onDemand + reclaimable > maxPerDomain * count)
            continue;
        const double price = meanPrice * (onDemand + reclaimable * input.rule.reclaimablePrice);
        if (price >= bestPrice)
            continue;
        bestPrice = price;
        best = {onDemand, each};
    }
    return best;
}

std::uint32_t capacity_policy::requiredOnDemand(double load,
                                                const std::vector<std::uint32_t> &reclaimable) const
{
    std::uint32_t sum = 0;
    std::uint32_t largest = 0;
    for (const std::uint32_t each : reclaimable) {
        sum += each;
        largest = std::max(largest, each);
    }
    const std::uint32_t required = ceilEngines(m_options.degraded.enginesFor(load));
    const std::uint32_t requiredAfterDomainLoss = ceilEngines(m_options.afterDomainLoss.enginesFor(load));
    return std::max(required - std::min(required, sum),
                    requiredAfterDomainLoss - std::min(requiredAfterDomainLoss, sum - largest));
}

capacity_plan capacity_policy::choose(const capacity_input &input) const
{
    const std::vector<std::string> domains = domainsByPrice(input);
    capacity_plan plan;
    if (domains.empty())
        return plan;
    const mix chosen = cheapestMix(input, domains);
    std::vector<std::uint32_t> presentReclaimable;
    std::vector<std::uint32_t> expectedReclaimable;
    std::uint32_t onDemand = 0;
    for (const std::string &domain : domains) {
        const domain_capacity present = capacityIn(input.present, domain);
        presentReclaimable.push_back(present.reclaimable);
        expectedReclaimable.push_back(present.reclaimable + capacityIn(input.booting, domain).reclaimable);
        onDemand += present.onDemand;
    }
    // On-demand upstreams are kept until reclaimable ones have booted; new on-demand ones would not boot
    // sooner.
    const std::uint32_t retained
        = input.beforeFirstCall ? 0 : std::min(onDemand, requiredOnDemand(input.load, presentReclaimable));
    std::uint32_t remaining
        = std::max({chosen.onDemand, retained, requiredOnDemand(input.load, expectedReclaimable)});
    for (const std::string &domain : domains)
        plan[domain].reclaimable = chosen.reclaimablePerDomain;
    const auto place = [&](const std::string &domain, std::uint32_t limit) {
        domain_capacity &counts = plan[domain];
        const std::uint32_t used = counts.onDemand + capacityIn(input.present, domain).reclaimable;
        const std::uint32_t available = input.rule.maxPerDomain - std::min(input.rule.maxPerDomain, used);
        const std::uint32_t placed = std::min({remaining, available, limit});
        counts.onDemand += placed;
        remaining -= placed;
        // On-demand upstreams take the slots of planned reclaimable upstreams that are not present.
        counts.reclaimable = std::min(counts.reclaimable, input.rule.maxPerDomain - counts.onDemand);
    };
    // Keep on-demand upstreams that are present before ordering new ones in other domains.
    for (const std::string &domain : domains)
        place(domain, capacityIn(input.present, domain).onDemand);
    for (const std::string &domain : domains)
        place(domain, input.rule.maxPerDomain);
    for (const std::string &domain : domains) {
        domain_capacity &counts = plan[domain];
        if (counts.total() < input.rule.minPerDomain)
            counts.reclaimable = input.rule.minPerDomain - counts.onDemand;
    }
    return plan;
}

} // namespace ivypier::duties
