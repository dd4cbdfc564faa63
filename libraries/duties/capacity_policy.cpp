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

/// The service's domains, the cheapest first.
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

domain_capacity in(const capacity_plan &plan, const std::string &domain)
{
    const auto found = plan.find(domain);
    return found == plan.end() ? domain_capacity() : found->second;
}

} // namespace

capacity_policy::capacity_policy(capacity_options options)
    : m_options(options)
{
}

double sizing_rule::engines(double load) const
{
    return enginesPerLoad * load + enginesPerRootLoad * std::sqrt(load);
}

double sizing_rule::loadFor(double engines) const
{
    // The positive root of enginesPerLoad x^2 + enginesPerRootLoad x = engines, where x^2 is the load.
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
    const std::uint32_t most = input.rule.most;
    const std::uint32_t needed = std::max(ceilEngines(m_options.normal.engines(input.load)), 1U);
    const std::uint32_t neededAfterDomainLoss = ceilEngines(m_options.afterDomainLoss.engines(input.load));
    double meanPrice = 0.0;
    for (const std::string &each : domains)
        meanPrice += priceOf(input.rule, each) / count;
    double bestPrice = std::numeric_limits<double>::infinity();
    // More is asked for than may be ordered: one on demand in each domain, the rest reclaimable.
    mix best{count, most - std::min(most, 1U)};
    for (std::uint32_t each = 0; each <= most; ++each) {
        const std::uint32_t reclaimable = each * count;
        std::uint32_t onDemand = m_options.minOnDemand;
        onDemand = std::max(onDemand, needed - std::min(needed, reclaimable));
        onDemand
            = std::max(onDemand, neededAfterDomainLoss - std::min(neededAfterDomainLoss, reclaimable - each));
        if (onDemand + reclaimable > most * count)
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
    const std::uint32_t now = ceilEngines(m_options.degraded.engines(load));
    const std::uint32_t afterDomainLoss = ceilEngines(m_options.afterDomainLoss.engines(load));
    return std::max(now - std::min(now, sum), afterDomainLoss - std::min(afterDomainLoss, sum - largest));
}

capacity_plan capacity_policy::choose(const capacity_input &input) const
{
    const std::vector<std::string> domains = domainsByPrice(input);
    capacity_plan plan;
    if (domains.empty())
        return plan;
    const mix chosen = cheapestMix(input, domains);
    std::vector<std::uint32_t> there;
    std::vector<std::uint32_t> expectedReclaimable;
    std::uint32_t onDemand = 0;
    for (const std::string &domain : domains) {
        const domain_capacity now = in(input.present, domain);
        there.push_back(now.reclaimable);
        expectedReclaimable.push_back(now.reclaimable + in(input.booting, domain).reclaimable);
        onDemand += now.onDemand;
    }
    // Until reclaimable ones have booted, those on demand are kept; new ones would boot no sooner.
    const std::uint32_t kept
        = input.beforeFirstCall ? 0 : std::min(onDemand, requiredOnDemand(input.load, there));
    std::uint32_t remaining
        = std::max({chosen.onDemand, kept, requiredOnDemand(input.load, expectedReclaimable)});
    for (const std::string &domain : domains)
        plan[domain].reclaimable = chosen.reclaimablePerDomain;
    const auto place = [&](const std::string &domain, std::uint32_t limit) {
        domain_capacity &counts = plan[domain];
        const std::uint32_t taken = counts.onDemand + in(input.present, domain).reclaimable;
        const std::uint32_t available = input.rule.most - std::min(input.rule.most, taken);
        const std::uint32_t placed = std::min({remaining, available, limit});
        counts.onDemand += placed;
        remaining -= placed;
        // Reclaimable upstreams that are not there make available.
        counts.reclaimable = std::min(counts.reclaimable, input.rule.most - counts.onDemand);
    };
    // Those that are there are kept before others are ordered.
    for (const std::string &domain : domains)
        place(domain, in(input.present, domain).onDemand);
    for (const std::string &domain : domains)
        place(domain, input.rule.most);
    for (const std::string &domain : domains) {
        domain_capacity &counts = plan[domain];
        if (counts.total() < input.rule.least)
            counts.reclaimable = input.rule.least - counts.onDemand;
    }
    return plan;
}

} // namespace ivypier::duties
