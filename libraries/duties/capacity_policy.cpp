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
std::vector<std::string> domainsByPrice(const capacity_question &question)
{
    std::vector<std::string> domains;
    for (const auto &[domain, price] : question.rule.domainPrices)
        domains.push_back(domain);
    for (const auto &[domain, counts] : question.present) {
        if (!question.rule.domainPrices.contains(domain))
            domains.push_back(domain);
    }
    std::sort(domains.begin(), domains.end(), [&](const std::string &left, const std::string &right) {
        return std::pair(priceOf(question.rule, left), left)
            < std::pair(priceOf(question.rule, right), right);
    });
    return domains;
}

std::uint32_t rounded(double engines)
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

double staffing::engines(double load) const
{
    return perLoad * load + perRoot * std::sqrt(load);
}

double staffing::loadFor(double engines) const
{
    // The positive root of perLoad x^2 + perRoot x = engines, where x^2 is the load.
    const double root = (std::sqrt(perRoot * perRoot + 4.0 * perLoad * engines) - perRoot) / (2.0 * perLoad);
    return root * root;
}

double capacity_policy::loadFor(std::uint32_t upstreams) const
{
    return m_options.ordinary.loadFor(upstreams);
}

capacity_policy::mix capacity_policy::cheapestMix(const capacity_question &question,
                                                  const std::vector<std::string> &domains) const
{
    const auto count = static_cast<std::uint32_t>(domains.size());
    const std::uint32_t most = question.rule.most;
    const std::uint32_t needed = std::max(rounded(m_options.ordinary.engines(question.load)), 1U);
    const std::uint32_t neededAfterLoss = rounded(m_options.afterLoss.engines(question.load));
    double meanPrice = 0.0;
    for (const std::string &each : domains)
        meanPrice += priceOf(question.rule, each) / count;
    double bestPrice = std::numeric_limits<double>::infinity();
    // More is asked for than may be ordered: one on demand in each domain, the rest reclaimable.
    mix best{count, most - std::min(most, 1U)};
    for (std::uint32_t each = 0; each <= most; ++each) {
        const std::uint32_t reclaimable = each * count;
        std::uint32_t onDemand = m_options.leastOnDemand;
        onDemand = std::max(onDemand, needed - std::min(needed, reclaimable));
        onDemand = std::max(onDemand, neededAfterLoss - std::min(neededAfterLoss, reclaimable - each));
        if (onDemand + reclaimable > most * count)
            continue;
        const double price = meanPrice * (onDemand + reclaimable * question.rule.reclaimablePrice);
        if (price >= bestPrice)
            continue;
        bestPrice = price;
        best = {onDemand, each};
    }
    return best;
}

std::uint32_t capacity_policy::onDemandNeeded(double load,
                                              const std::vector<std::uint32_t> &reclaimable) const
{
    std::uint32_t sum = 0;
    std::uint32_t largest = 0;
    for (const std::uint32_t each : reclaimable) {
        sum += each;
        largest = std::max(largest, each);
    }
    const std::uint32_t now = rounded(m_options.reduced.engines(load));
    const std::uint32_t afterLoss = rounded(m_options.afterLoss.engines(load));
    return std::max(now - std::min(now, sum), afterLoss - std::min(afterLoss, sum - largest));
}

capacity_plan capacity_policy::choose(const capacity_question &question) const
{
    const std::vector<std::string> domains = domainsByPrice(question);
    capacity_plan plan;
    if (domains.empty())
        return plan;
    const mix chosen = cheapestMix(question, domains);
    std::vector<std::uint32_t> there;
    std::vector<std::uint32_t> soonThere;
    std::uint32_t onDemand = 0;
    for (const std::string &domain : domains) {
        const domain_capacity now = in(question.present, domain);
        there.push_back(now.reclaimable);
        soonThere.push_back(now.reclaimable + in(question.booting, domain).reclaimable);
        onDemand += now.onDemand;
    }
    // Until reclaimable ones have booted, those on demand are kept; new ones would boot no sooner.
    const std::uint32_t kept = question.idle ? 0 : std::min(onDemand, onDemandNeeded(question.load, there));
    std::uint32_t unplaced = std::max({chosen.onDemand, kept, onDemandNeeded(question.load, soonThere)});
    for (const std::string &domain : domains)
        plan[domain].reclaimable = chosen.reclaimableEach;
    const auto place = [&](const std::string &domain, std::uint32_t limit) {
        domain_capacity &counts = plan[domain];
        const std::uint32_t taken = counts.onDemand + in(question.present, domain).reclaimable;
        const std::uint32_t room = question.rule.most - std::min(question.rule.most, taken);
        const std::uint32_t placed = std::min({unplaced, room, limit});
        counts.onDemand += placed;
        unplaced -= placed;
        // Reclaimable upstreams that are not there make room.
        counts.reclaimable = std::min(counts.reclaimable, question.rule.most - counts.onDemand);
    };
    // Those that are there are kept before others are ordered.
    for (const std::string &domain : domains)
        place(domain, in(question.present, domain).onDemand);
    for (const std::string &domain : domains)
        place(domain, question.rule.most);
    for (const std::string &domain : domains) {
        domain_capacity &counts = plan[domain];
        if (counts.total() < question.rule.least)
            counts.reclaimable = question.rule.least - counts.onDemand;
    }
    return plan;
}

} // namespace ivypier::duties
