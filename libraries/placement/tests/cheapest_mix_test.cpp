#include "placement/cheapest_mix.h"

#include "base/random_source.h"

#include <catch2/catch.hpp>

namespace ivypier::placement::tests {

namespace {

using cloud::vm_kind;

constexpr std::uint64_t seeds = 1000;

vm_offer offer(const std::string &domain, const std::string &machineClass, vm_kind kind, double price,
               double rate, std::uint32_t running = 0, bool startable = true)
{
    return {{domain, machineClass, kind}, price, rate, running, startable};
}

mix_request makeRequest(double demand, std::vector<vm_offer> offers, double budget = 1e9)
{
    return {demand, budget, std::move(offers)};
}

std::uint32_t countOf(const vm_mix &mix)
{
    std::uint32_t count = 0;
    for (const auto &[type, each] : mix.counts)
        count += each;
    return count;
}

/// Returns the lowest cost found by trying every number of VMs up to `maxPerOffer` of each offer.
double bruteForce(const mix_request &request, std::uint32_t maxPerOffer)
{
    double best = 1e18;
    std::vector<std::uint32_t> counts(request.offers.size(), 0);
    while (true) {
        vm_mix mix;
        for (std::size_t index = 0; index < counts.size(); ++index) {
            mix.counts[request.offers[index].type] = counts[index];
            mix.costPerHour += counts[index] * request.offers[index].pricePerHour;
        }
        if (mix.costPerHour < best
            && carriedAfterDomainLoss(request, mix) + 1e-9 >= request.requestsPerSecond)
            best = mix.costPerHour;
        std::size_t index = 0;
        while (index < counts.size() && counts[index] == maxPerOffer)
            counts[index++] = 0;
        if (index == counts.size())
            return best;
        ++counts[index];
    }
}

} // namespace

TEST_CASE("equal domains share the demand with capacity to lose one domain", "[mix]")
{
    const cheapest_mix policy({});
    const vm_mix mix = policy.choose(makeRequest(40.0,
                                                 {offer("a", "small", vm_kind::reclaimable, 1.0, 4.0),
                                                  offer("b", "small", vm_kind::reclaimable, 1.0, 4.0),
                                                  offer("c", "small", vm_kind::reclaimable, 1.0, 4.0)}));
    REQUIRE(countOf(mix) == 15);
    REQUIRE(mix.meetsTarget);
    REQUIRE(mix.costPerHour == Approx(15.0));
}

TEST_CASE("the mix survives the loss of its largest domain at the cost that brute force finds", "[mix]")
{
    const cheapest_mix policy({.startPremium = 0.0});
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        seeded_random randomness(seed);
        std::vector<vm_offer> offers;
        for (const char *domain : {"a", "b", "c"}) {
            offers.push_back(offer(domain, "small", vm_kind::reclaimable, 0.2 + randomness.uniform(), 4.0));
            if (randomness.uniform() < 0.7)
                offers.push_back(
                    offer(domain, "large", vm_kind::reclaimable, 0.4 + 2 * randomness.uniform(), 8.0));
        }
        const mix_request request = makeRequest(1.0 + 11.0 * randomness.uniform(), offers);
        const vm_mix mix = policy.choose(request);
        REQUIRE(mix.meetsTarget);
        REQUIRE(carriedAfterDomainLoss(request, mix) + 1e-9 >= request.requestsPerSecond);
        REQUIRE(mix.costPerHour <= bruteForce(request, 3) * 1.0001);
    }
}

TEST_CASE("a mix of many VMs survives the loss of its largest domain at a bounded cost", "[mix]")
{
    const cheapest_mix policy({.startPremium = 0.0});
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        seeded_random randomness(seed);
        std::vector<vm_offer> offers;
        double cheapest = 1e9;
        for (int domain = 0; domain < 21; ++domain) {
            for (const char *machineClass : {"small", "large"}) {
                const double rate = machineClass[0] == 's' ? 4.0 : 9.0;
                const double price = rate * (0.1 + 0.2 * randomness.uniform());
                offers.push_back(
                    offer("d" + std::to_string(domain), machineClass, vm_kind::reclaimable, price, rate));
                cheapest = std::min(cheapest, price / rate);
            }
        }
        const mix_request request = makeRequest(500.0 + 20000.0 * randomness.uniform(), offers);
        const vm_mix mix = policy.choose(request);
        REQUIRE(mix.meetsTarget);
        REQUIRE(carriedAfterDomainLoss(request, mix) + 1e-6 >= request.requestsPerSecond);
        REQUIRE(mix.costPerHour >= request.requestsPerSecond * cheapest);
        REQUIRE(mix.costPerHour <= request.requestsPerSecond * cheapest * 2.2);
    }
}

TEST_CASE("a running VM is kept for a small price difference and replaced for a large one", "[mix]")
{
    const cheapest_mix policy({});
    const auto requestWithPrice = [](double price) {
        return makeRequest(4.0,
                           {offer("a", "small", vm_kind::reclaimable, 1.0, 4.0, 1),
                            offer("b", "small", vm_kind::reclaimable, 1.0, 4.0, 1),
                            offer("c", "small", vm_kind::reclaimable, price, 4.0)});
    };
    REQUIRE_FALSE(
        policy.choose(requestWithPrice(0.95)).counts.contains({"c", "small", vm_kind::reclaimable}));
    REQUIRE(policy.choose(requestWithPrice(0.5)).counts.contains({"c", "small", vm_kind::reclaimable}));
}

TEST_CASE("refused VM types are not planned, but their running VMs are counted", "[mix]")
{
    const cheapest_mix policy({});
    const vm_mix mix
        = policy.choose(makeRequest(8.0,
                                    {offer("a", "small", vm_kind::reclaimable, 0.1, 4.0, 1, false),
                                     offer("a", "small", vm_kind::on_demand, 1.0, 4.0),
                                     offer("b", "small", vm_kind::reclaimable, 0.1, 4.0)}));
    REQUIRE(mix.meetsTarget);
    REQUIRE(mix.counts.at({"a", "small", vm_kind::reclaimable}) == 1);
    REQUIRE(mix.counts.at({"a", "small", vm_kind::on_demand}) == 1);
    REQUIRE(mix.counts.at({"b", "small", vm_kind::reclaimable}) == 2);
}

TEST_CASE("the cost stays within the budget and the mix reports the missed target", "[mix]")
{
    const cheapest_mix policy({});
    const vm_mix mix = policy.choose(makeRequest(40.0,
                                                 {offer("a", "small", vm_kind::reclaimable, 1.0, 4.0),
                                                  offer("b", "small", vm_kind::reclaimable, 1.0, 4.0),
                                                  offer("c", "small", vm_kind::reclaimable, 1.0, 4.0)},
                                                 9.0));
    REQUIRE_FALSE(mix.meetsTarget);
    REQUIRE(mix.costPerHour <= 9.0);
    REQUIRE(countOf(mix) == 9);
    REQUIRE(mix.carriedRequestsPerSecond == Approx(24.0).epsilon(0.01));
}

TEST_CASE("a single domain carries the demand but does not survive its own loss", "[mix]")
{
    const cheapest_mix policy({});
    const vm_mix mix = policy.choose(makeRequest(8.0, {offer("a", "small", vm_kind::reclaimable, 1.0, 4.0)}));
    REQUIRE_FALSE(mix.meetsTarget);
    REQUIRE(countOf(mix) == 2);
}

TEST_CASE("the mix is empty without demand or without offers", "[mix]")
{
    const cheapest_mix policy({});
    REQUIRE(policy.choose(makeRequest(0.0, {offer("a", "small", vm_kind::reclaimable, 1.0, 4.0)}))
                .counts.empty());
    REQUIRE(policy.choose(makeRequest(5.0, {})).counts.empty());
    REQUIRE_FALSE(policy.choose(makeRequest(5.0, {})).meetsTarget);
}

} // namespace ivypier::placement::tests
