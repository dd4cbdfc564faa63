#include "measurement.h"

#include "base/pausable_scheduler.h"
#include "base/virtual_scheduler.h"
#include "membership/gossip_membership.h"
#include "membership/virtual_network.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace ivypier::measurement {

namespace {

using membership::gossip_membership;

constexpr duration settle_time = std::chrono::seconds(60);
constexpr duration steady_time = std::chrono::seconds(60);
constexpr duration step = std::chrono::milliseconds(50);
constexpr duration patience = std::chrono::minutes(5);
constexpr int samples = 5;
constexpr std::size_t domains_of_region = 3;
constexpr int headers_of_datagram = 28; ///< UDP and IPv4

struct measured_node
{
    measured_node(virtual_scheduler &time, membership::virtual_network &network, std::uint64_t seed,
                  const secret_key &key, const membership::member &self, std::vector<endpoint> seeds)
        : tasks(time)
        , randomness(seed)
        , channel(network.open(tasks, self.gossipAddress))
        , members(tasks, randomness, *channel, key, self, std::move(seeds))
    {
        members.start();
    }

    pausable_scheduler tasks; ///< lets a member end while its timers are set
    seeded_random randomness;
    std::unique_ptr<membership::datagram_channel> channel;
    gossip_membership members;
};

/// Members in one process and virtual time, with the real protocol and codec.
struct measured_fleet
{
    explicit measured_fleet(std::uint64_t seed)
        : randomness(seed)
    {
    }

    static endpoint addressOf(std::size_t index)
    {
        return {"10.0." + std::to_string(index / 250) + '.' + std::to_string(index % 250 + 1), 8080};
    }

    void add(const std::string &domain, const std::string &region)
    {
        const std::size_t index = nodes.size();
        membership::member self;
        self.id = randomness.next() | 1;
        self.name = "node-" + std::to_string(index);
        self.address = addressOf(index);
        self.gossipAddress = self.address;
        self.failureDomain = domain;
        self.region = region;
        nodes.push_back(std::make_unique<measured_node>(time, network, randomness.next(), key, self, seeds));
    }

    void addRegion(std::size_t members)
    {
        for (std::size_t index = 0; index < members; ++index)
            add("domain-" + std::to_string(index % domains_of_region), "region");
    }

    template <typename Condition>
    double secondsUntil(Condition condition)
    {
        const time_point begin = time.now();
        while (!condition() && time.now() - begin < patience)
            time.advance(step);
        return seconds(time.now() - begin);
    }

    bool everyone(const std::function<bool(const gossip_membership &)> &condition) const
    {
        return std::all_of(nodes.begin(), nodes.end(),
                           [&](const auto &each) { return !each || condition(each->members); });
    }

    membership::gossip_traffic traffic() const
    {
        membership::gossip_traffic sum;
        for (const auto &each : nodes) {
            if (!each)
                continue;
            sum.messages += each->members.traffic().messages;
            sum.bytes += each->members.traffic().bytes;
        }
        return sum;
    }

    double spreadSeconds(std::uint64_t version)
    {
        const std::size_t from = randomness.index(nodes.size());
        nodes[from]->members.publish({"configuration", version, std::string(64, 'd') + " token"});
        return secondsUntil([&] {
            return everyone([&](const gossip_membership &each) {
                const auto known = each.findFact("configuration");
                return known && known->version >= version;
            });
        });
    }

    /// Members that some other member takes for dead though they run.
    std::size_t falselyDead() const
    {
        std::size_t count = 0;
        for (const auto &seen : nodes) {
            if (!seen)
                continue;
            const membership::incarnation id = seen->members.self().id;
            const bool alive = everyone([&](const gossip_membership &each) {
                const auto known = each.find(id);
                return !known || known->state != membership::member_state::dead;
            });
            count += alive ? 0 : 1;
        }
        return count;
    }

    virtual_scheduler time;
    seeded_random randomness;
    membership::virtual_network network{time, randomness};
    secret_key key = secret_key::fromPassphrase("key of the measurement").value();
    std::vector<endpoint> seeds{addressOf(0), addressOf(1), addressOf(2)};
    std::vector<std::unique_ptr<measured_node>> nodes;
};

struct steady_figures
{
    double bytesPerSecond = 0.0; ///< sent by one member, with the headers of UDP and IP
    double messagesPerSecond = 0.0;
    double processorShare = 0.0; ///< of one core, for one member
};

steady_figures measureSteady(measured_fleet &fleet)
{
    const membership::gossip_traffic before = fleet.traffic();
    const double processor = processorSeconds();
    fleet.time.advance(steady_time);
    const membership::gossip_traffic after = fleet.traffic();
    const double memberSeconds = seconds(steady_time) * static_cast<double>(fleet.nodes.size());
    const double messages = static_cast<double>(after.messages - before.messages) / memberSeconds;
    return {static_cast<double>(after.bytes - before.bytes) / memberSeconds + messages * headers_of_datagram,
            messages, (processorSeconds() - processor) / memberSeconds};
}

void putSteady(figure_line &line, const steady_figures &steady)
{
    line.with("sent_bytes_per_second", steady.bytesPerSecond)
        .with("sent_messages_per_second", steady.messagesPerSecond)
        .with("processor_share", steady.processorShare);
}

} // namespace

void measureGossip(std::size_t members, std::uint64_t seed)
{
    const std::size_t heap = heapBytes();
    measured_fleet fleet(seed);
    fleet.addRegion(members);
    figure_line line("gossip");
    line.with("members", static_cast<double>(members));
    line.with("join_seconds", fleet.secondsUntil([&] {
        return fleet.everyone([&](const auto &each) { return each.memberCount() == members; });
    }));
    fleet.time.advance(settle_time);
    line.with("heap_bytes_per_member",
              static_cast<double>(heapBytes() - heap) / static_cast<double>(members));
    putSteady(line, measureSteady(fleet));

    double spread = 0.0;
    for (int sample = 1; sample <= samples; ++sample) {
        spread = std::max(spread, fleet.spreadSeconds(static_cast<std::uint64_t>(sample)));
        fleet.time.advance(std::chrono::seconds(5));
    }
    line.with("spread_seconds_worst_of_5", spread);

    double worst = 0.0;
    double sum = 0.0;
    for (int sample = 0; sample < samples; ++sample) {
        const std::size_t victim = 3 + static_cast<std::size_t>(sample);
        const membership::incarnation id = fleet.nodes[victim]->members.self().id;
        fleet.nodes[victim].reset();
        const double took = fleet.secondsUntil([&] {
            return fleet.everyone([&](const auto &each) {
                const auto known = each.find(id);
                return known && known->state == membership::member_state::dead;
            });
        });
        worst = std::max(worst, took);
        sum += took;
        fleet.time.advance(std::chrono::seconds(10));
    }
    line.with("detection_seconds_mean", sum / samples).with("detection_seconds_worst_of_5", worst);
}

void measureDomainLoss(std::size_t members, std::size_t notices, std::uint64_t seed)
{
    measured_fleet fleet(seed);
    fleet.addRegion(members);
    fleet.secondsUntil(
        [&] { return fleet.everyone([&](const auto &each) { return each.memberCount() == members; }); });
    fleet.time.advance(settle_time);
    figure_line line("domain_loss");
    line.with("members", static_cast<double>(members)).with("notices", static_cast<double>(notices));
    membership::gossip_traffic before = fleet.traffic();
    for (std::size_t index = 0; index < notices; ++index)
        fleet.nodes[index % members]->members.publish(
            {"leaving/" + measured_fleet::addressOf(2000 + index).text(), 1, "vm-" + std::to_string(index)});
    const double spread = fleet.secondsUntil([&] {
        return fleet.everyone([&](const auto &each) { return each.facts("leaving/").size() == notices; });
    });
    membership::gossip_traffic after = fleet.traffic();
    line.with("notices_spread_seconds", spread)
        .with("notices_bytes_per_member",
              static_cast<double>(after.bytes - before.bytes) / static_cast<double>(members));
    fleet.time.advance(std::chrono::seconds(30));

    for (std::size_t index = 0; index < members; index += domains_of_region)
        fleet.nodes[index].reset();
    before = fleet.traffic();
    const std::size_t left = members - (members + domains_of_region - 1) / domains_of_region;
    std::size_t falseDeaths = 0;
    const double took = fleet.secondsUntil([&] {
        falseDeaths = std::max(falseDeaths, fleet.falselyDead());
        return fleet.everyone([&](const auto &each) { return each.memberCount() == left; });
    });
    after = fleet.traffic();
    line.with("loss_known_seconds", took)
        .with("loss_bytes_per_member_second",
              static_cast<double>(after.bytes - before.bytes) / static_cast<double>(left) / took)
        .with("falsely_dead", static_cast<double>(falseDeaths));
}

void measureRegions(std::size_t membersInDomain, std::uint64_t seed)
{
    constexpr std::size_t regions = 6;
    constexpr std::size_t domains = 21;
    measured_fleet fleet(seed);
    for (std::size_t index = 0; index < domains * membersInDomain; ++index) {
        const std::size_t domain = index % domains;
        fleet.add("domain-" + std::to_string(domain), "region-" + std::to_string(domain % regions));
    }
    figure_line line("regions");
    line.with("members", static_cast<double>(fleet.nodes.size()));
    const std::size_t all = fleet.nodes.size();
    line.with("join_seconds", fleet.secondsUntil([&] {
        return fleet.everyone([&](const auto &each) { return each.fleetSize() == all; });
    }));
    fleet.time.advance(settle_time);
    putSteady(line, measureSteady(fleet));
    double spread = 0.0;
    for (int sample = 1; sample <= samples; ++sample) {
        spread = std::max(spread, fleet.spreadSeconds(static_cast<std::uint64_t>(sample)));
        fleet.time.advance(std::chrono::seconds(10));
    }
    line.with("spread_seconds_worst_of_5", spread);
}

} // namespace ivypier::measurement
