#include "membership/vm_watcher.h"

#include "base/virtual_scheduler.h"
#include "gossip_fleet.h"
#include "promise_seeds.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::membership;
using namespace std::chrono_literals;

namespace {

/// Returns the VMs and notices that a test sets, or an error for every call while `down`.
class fake_cloud final : public cloud::cloud_service
{
public:
    void listVms(std::function<void(outcome<std::vector<cloud::vm_record>>)> done) override
    {
        ++reads;
        if (down)
            done(error{error_code::unavailable, "down"});
        else
            done(vms);
    }

    void listNotices(const std::string &,
                     std::function<void(outcome<std::vector<cloud::reclaim_notice>>)> done) override
    {
        ++reads;
        if (down)
            done(error{error_code::unavailable, "down"});
        else
            done(notices);
    }

    void listPrices(std::function<void(outcome<std::vector<cloud::vm_price>>)>) override
    {
    }
    void startVm(const cloud::vm_order &, std::function<void(outcome<cloud::vm_record>)>) override
    {
    }
    void releaseVm(const std::string &, duration, std::function<void(outcome<void>)>) override
    {
    }

    std::vector<cloud::vm_record> vms;
    std::vector<cloud::reclaim_notice> notices;
    std::size_t reads = 0;
    bool down = false;
};

cloud::vm_record runner(const std::string &id, const endpoint &address)
{
    return {id, "tariff", address, "hall-a", "small", cloud::vm_kind::reclaimable, cloud::vm_state::live};
}

struct watched_fleet
{
    explicit watched_fleet(std::uint64_t seed, std::size_t count)
        : fleet(seed)
        , clouds(count)
    {
        fleet.startAll(count);
        for (std::size_t index = 0; index < count; ++index) {
            gossip_fleet::node &each = *fleet.nodes[index];
            watches.push_back(std::make_unique<vm_watcher>(
                vm_watcher_dependencies{each.tasks, each.randomness, clouds[index], each.membership,
                                        [&each] { return each.membership.fleetSize(); }}));
            watches.back()->start();
        }
    }

    bool allKnow(const std::string &key, const std::string &value) const
    {
        return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [&](const auto &each) {
            const auto known = each->membership.findFact(key);
            return known && known->value == value;
        });
    }

    gossip_fleet fleet;
    std::vector<fake_cloud> clouds;
    std::vector<std::unique_ptr<vm_watcher>> watches;
};

const endpoint upstream_address{"10.9.0.1", 9100};

} // namespace

TEST_CASE("all nodes learn of a reclaim notice within 3 s, despite a lagging list and one node without the "
          "platform",
          "[promise][promise-5]")
{
    for (const std::uint64_t seed : promiseSeeds()) {
        INFO("seed " << seed);
        watched_fleet watched(seed, 8);
        for (fake_cloud &each : watched.clouds)
            each.vms = {runner("vm-1", upstream_address)}; // unchanged below: the list lags
        watched.fleet.time.advance(5s);
        watched.clouds[3].down = true;
        for (fake_cloud &each : watched.clouds)
            each.notices = {{"vm-1", 30'000}};
        CHECK(watched.fleet.waitUntil(3s, [&] { return watched.allKnow("leaving/10.9.0.1:9100", "vm-1"); }));
    }
}

TEST_CASE("a leaving fact is withdrawn for a new VM at the address, but not while the list may lag")
{
    watched_fleet watched(1, 3);
    for (fake_cloud &each : watched.clouds) {
        each.vms = {runner("vm-1", upstream_address)};
        each.notices = {};
    }
    watched.fleet.time.advance(5s);
    for (fake_cloud &each : watched.clouds)
        each.notices = {{"vm-1", 30'000}};
    watched.fleet.time.advance(10s);
    CHECK(watched.allKnow("leaving/10.9.0.1:9100", "vm-1"));
    for (fake_cloud &each : watched.clouds)
        each.vms = {runner("vm-2", upstream_address)};
    watched.fleet.time.advance(10s);
    CHECK(watched.allKnow("leaving/10.9.0.1:9100", "vm-1"));
    for (fake_cloud &each : watched.clouds)
        each.notices = {};
    watched.fleet.time.advance(10s);
    CHECK(watched.allKnow("leaving/10.9.0.1:9100", ""));
    CHECK_FALSE(vm_watcher::leavingUpstream(
        watched.fleet.nodes[0]->membership.findFact("leaving/10.9.0.1:9100").value()));
}

TEST_CASE("an upstream's own leaving announcement is published once")
{
    watched_fleet watched(2, 3);
    watched.watches[1]->reportLeaving(upstream_address);
    watched.watches[1]->reportLeaving(upstream_address);
    CHECK(watched.fleet.nodes[1]->membership.findFact("leaving/10.9.0.1:9100")->version == 1);
    CHECK(watched.fleet.waitUntil(2s, [&] { return watched.allKnow("leaving/10.9.0.1:9100", "own word"); }));
}

TEST_CASE("the interval between polls grows with the fleet")
{
    virtual_scheduler time;
    seeded_random randomness(1);
    fake_cloud cloud;
    gossip_fleet fleet(1);
    fleet.start(0, "hall-a");
    vm_watcher watch({time, randomness, cloud, fleet.nodes[0]->membership, [] { return std::size_t{1600}; }});
    watch.start();
    time.advance(3200s);
    // 1,600 nodes at 50 and 100 reads per second in total: 100 and 200 reads per node in 3,200 s. Both bounds
    // allow one tenth for jitter.
    CHECK(cloud.reads <= 330);
    CHECK(cloud.reads >= 270);
}
