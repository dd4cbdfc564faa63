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

mix_request request(double demand, std::vector<vm_offer> offers, double budget = 1e9)
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

/// The cheapest cost by trying every number of VMs up to `most` of each offer.
double bruteForce(const mix_request &request, std::uint32_t most)
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
        while (index < counts.size() && counts[index] == most)
            counts[index++] = 0;
        if (index == counts.size())
            return best;
        ++counts[index];
    }
}

} // namespace

TEST_CASE("equal domains share the demand with one to spare", "[mix]")
{
    const cheapest_mix policy({});
    const vm_mix mix = policy.choose(request(40.0,
                                             {offer("a", "small", vm_kind::reclaimable, 1.0, 4.0),
                                              offer("b", "small", vm_kind::reclaimable, 1.0, 4.0),
                                              offer("c", "small", vm_kind::reclaimable, 1.0, 4.0)}));
    REQUIRE(countOf(mix) == 15);
    REQUIRE(mix.meetsTarget);
    REQUIRE(mix.costPerHour == Approx(15.0));
}

TEST_CASE("the mix survives its largest domain and costs what trying all finds", "[mix]")
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
        const mix_request request = request(1.0 + 11.0 * randomness.uniform(), offers);
        const vm_mix mix = policy.choose(request);
        REQUIRE(mix.meetsTarget);
        REQUIRE(carriedAfterDomainLoss(request, mix) + 1e-9 >= request.requestsPerSecond);
        REQUIRE(mix.costPerHour <= bruteForce(request, 3) * 1.0001);
    }
}

TEST_CASE("with many VMs the mix survives its largest domain at a bounded cost", "[mix]")
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
        const mix_request request = request(500.0 + 20000.0 * randomness.uniform(), offers);
        const vm_mix mix = policy.choose(request);
        REQUIRE(mix.meetsTarget);
        REQUIRE(carriedAfterDomainLoss(request, mix) + 1e-6 >= request.requestsPerSecond);
        REQUIRE(mix.costPerHour >= request.requestsPerSecond * cheapest);
        REQUIRE(mix.costPerHour <= request.requestsPerSecond * cheapest * 2.2);
    }
}

TEST_CASE("a running VM is kept for a small difference in price and left for a large one", "[mix]")
{
    const cheapest_mix policy({});
    const auto request = [](double other) {
        return request(4.0,
                       {offer("a", "small", vm_kind::reclaimable, 1.0, 4.0, 1),
                        offer("b", "small", vm_kind::reclaimable, 1.0, 4.0, 1),
                        offer("c", "small", vm_kind::reclaimable, other, 4.0)});
    };
    REQUIRE_FALSE(policy.choose(request(0.95)).counts.contains({"c", "small", vm_kind::reclaimable}));
    REQUIRE(policy.choose(request(0.5)).counts.contains({"c", "small", vm_kind::reclaimable}));
}

TEST_CASE("what the cloud refuses is not planned, and what runs of it is", "[mix]")
{
    const cheapest_mix policy({});
    const vm_mix mix = policy.choose(request(8.0,
                                             {offer("a", "small", vm_kind::reclaimable, 0.1, 4.0, 1, false),
                                              offer("a", "small", vm_kind::on_demand, 1.0, 4.0),
                                              offer("b", "small", vm_kind::reclaimable, 0.1, 4.0)}));
    REQUIRE(mix.meetsTarget);
    REQUIRE(mix.counts.at({"a", "small", vm_kind::reclaimable}) == 1);
    REQUIRE(mix.counts.at({"a", "small", vm_kind::on_demand}) == 1);
    REQUIRE(mix.counts.at({"b", "small", vm_kind::reclaimable}) == 2);
}

TEST_CASE("the budget bounds the cost, and the mix says that the target is missed", "[mix]")
{
    const cheapest_mix policy({});
    const vm_mix mix = policy.choose(request(40.0,
                                             {offer("a", "small", vm_kind::reclaimable, 1.0, 4.0),
                                              offer("b", "small", vm_kind::reclaimable, 1.0, 4.0),
                                              offer("c", "small", vm_kind::reclaimable, 1.0, 4.0)},
                                             9.0));
    REQUIRE_FALSE(mix.meetsTarget);
    REQUIRE(mix.costPerHour <= 9.0);
    REQUIRE(countOf(mix) == 9);
    REQUIRE(mix.carriedRequestsPerSecond == Approx(24.0).epsilon(0.01));
}

TEST_CASE("one domain alone carries the demand but not its own loss", "[mix]")
{
    const cheapest_mix policy({});
    const vm_mix mix = policy.choose(request(8.0, {offer("a", "small", vm_kind::reclaimable, 1.0, 4.0)}));
    REQUIRE_FALSE(mix.meetsTarget);
    REQUIRE(countOf(mix) == 2);
}

TEST_CASE("no demand needs no VM, and no offer gives none", "[mix]")
{
    const cheapest_mix policy({});
    REQUIRE(
        policy.choose(request(0.0, {offer("a", "small", vm_kind::reclaimable, 1.0, 4.0)})).counts.empty());
    REQUIRE(policy.choose(request(5.0, {})).counts.empty());
    REQUIRE_FALSE(policy.choose(request(5.0, {})).meetsTarget);
}

} // namespace ivypier::placement::tests
