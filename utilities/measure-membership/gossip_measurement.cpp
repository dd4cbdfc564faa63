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
constexpr duration measurement_time = std::chrono::seconds(60);
constexpr duration step = std::chrono::milliseconds(50);
constexpr duration wait_timeout = std::chrono::minutes(5);
constexpr int sample_count = 5;
constexpr std::size_t domains_per_region = 3;
constexpr int datagram_header_bytes = 28; ///< UDP and IPv4 headers

struct simulated_node
{
    simulated_node(virtual_scheduler &time, membership::virtual_network &network, std::uint64_t seed,
                   const secret_key &key, const membership::member &self, std::vector<endpoint> seeds)
        : tasks(time)
        , randomness(seed)
        , channel(network.open(tasks, self.gossipAddress))
        , members(tasks, randomness, *channel, key, self, std::move(seeds))
    {
        members.start();
    }

    pausable_scheduler tasks; ///< allows destroying a member that still has pending timers
    seeded_random randomness;
    std::unique_ptr<membership::datagram_channel> channel;
    gossip_membership members;
};

/// Runs members in one process and in virtual time, with the real protocol and codec.
struct simulated_fleet
{
    explicit simulated_fleet(std::uint64_t seed)
        : randomness(seed)
    {
    }

    static endpoint nodeAddress(std::size_t index)
    {
        return {"10.0." + std::to_string(index / 250) + '.' + std::to_string(index % 250 + 1), 8080};
    }

    void add(const std::string &domain, const std::string &region)
    {
        const std::size_t index = nodes.size();
        membership::member self;
        self.id = randomness.next() | 1;
        self.name = "node-" + std::to_string(index);
        self.address = nodeAddress(index);
        self.gossipAddress = self.address;
        self.failureDomain = domain;
        self.region = region;
        nodes.push_back(std::make_unique<simulated_node>(time, network, randomness.next(), key, self, seeds));
    }

    void addRegion(std::size_t members)
    {
        for (std::size_t index = 0; index < members; ++index)
            add("domain-" + std::to_string(index % domains_per_region), "region");
    }

    /// Advances virtual time until the condition holds or wait_timeout has passed; returns the seconds taken.
    template <typename Condition>
    double secondsUntil(Condition condition)
    {
        const time_point begin = time.now();
        while (!condition() && time.now() - begin < wait_timeout)
            time.advance(step);
        return seconds(time.now() - begin);
    }

    bool allMembers(const std::function<bool(const gossip_membership &)> &condition) const
    {
        return std::all_of(nodes.begin(), nodes.end(),
                           [&](const auto &each) { return !each || condition(each->members); });
    }

    membership::gossip_traffic traffic() const
    {
        membership::gossip_traffic total;
        for (const auto &each : nodes) {
            if (!each)
                continue;
            total.messages += each->members.traffic().messages;
            total.bytes += each->members.traffic().bytes;
        }
        return total;
    }

    /// Publishes a fact at a random member and returns the seconds until every member has it.
    double propagationSeconds(std::uint64_t version)
    {
        const std::size_t publisher = randomness.index(nodes.size());
        nodes[publisher]->members.publish({"configuration", version, std::string(64, 'd') + " token"});
        return secondsUntil([&] {
            return allMembers([&](const gossip_membership &each) {
                const auto known = each.findFact("configuration");
                return known && known->version >= version;
            });
        });
    }

    /// Counts running members that at least one other member has marked dead.
    std::size_t countFalselyDead() const
    {
        std::size_t count = 0;
        for (const auto &subject : nodes) {
            if (!subject)
                continue;
            const membership::incarnation id = subject->members.self().id;
            const bool alive = allMembers([&](const gossip_membership &each) {
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
    std::vector<endpoint> seeds{nodeAddress(0), nodeAddress(1), nodeAddress(2)};
    std::vector<std::unique_ptr<simulated_node>> nodes;
};

struct steady_state_result
{
    double bytesPerSecond = 0.0; ///< sent by one member, including UDP and IP headers
    double messagesPerSecond = 0.0;
    double cpuUtilization = 0.0; ///< of one core, for one member
};

steady_state_result measureSteadyState(simulated_fleet &fleet)
{
    const membership::gossip_traffic before = fleet.traffic();
    const double cpuBefore = cpuSeconds();
    fleet.time.advance(measurement_time);
    const membership::gossip_traffic after = fleet.traffic();
    const double memberSeconds = seconds(measurement_time) * static_cast<double>(fleet.nodes.size());
    const double messages = static_cast<double>(after.messages - before.messages) / memberSeconds;
    return {static_cast<double>(after.bytes - before.bytes) / memberSeconds
                + messages * datagram_header_bytes,
            messages, (cpuSeconds() - cpuBefore) / memberSeconds};
}

void addSteadyState(result_line &line, const steady_state_result &steady)
{
    line.with("sent_bytes_per_second", steady.bytesPerSecond)
        .with("sent_messages_per_second", steady.messagesPerSecond)
        .with("processor_share", steady.cpuUtilization);
}

} // namespace

void measureGossip(std::size_t members, std::uint64_t seed)
{
    const std::size_t heap = heapBytes();
    simulated_fleet fleet(seed);
    fleet.addRegion(members);
    result_line line("gossip");
    line.with("members", static_cast<double>(members));
    line.with("join_seconds", fleet.secondsUntil([&] {
        return fleet.allMembers([&](const auto &each) { return each.memberCount() == members; });
    }));
    fleet.time.advance(settle_time);
    line.with("heap_bytes_per_member",
              static_cast<double>(heapBytes() - heap) / static_cast<double>(members));
    addSteadyState(line, measureSteadyState(fleet));

    double propagation = 0.0;
    for (int sample = 1; sample <= sample_count; ++sample) {
        propagation = std::max(propagation, fleet.propagationSeconds(static_cast<std::uint64_t>(sample)));
        fleet.time.advance(std::chrono::seconds(5));
    }
    line.with("spread_seconds_worst_of_5", propagation);

    double worstDetection = 0.0;
    double detectionSum = 0.0;
    for (int sample = 0; sample < sample_count; ++sample) {
        const std::size_t victim = 3 + static_cast<std::size_t>(sample);
        const membership::incarnation id = fleet.nodes[victim]->members.self().id;
        fleet.nodes[victim].reset();
        const double elapsedSeconds = fleet.secondsUntil([&] {
            return fleet.allMembers([&](const auto &each) {
                const auto known = each.find(id);
                return known && known->state == membership::member_state::dead;
            });
        });
        worstDetection = std::max(worstDetection, elapsedSeconds);
        detectionSum += elapsedSeconds;
        fleet.time.advance(std::chrono::seconds(10));
    }
    line.with("detection_seconds_mean", detectionSum / sample_count)
        .with("detection_seconds_worst_of_5", worstDetection);
}

void measureDomainLoss(std::size_t members, std::size_t notices, std::uint64_t seed)
{
    simulated_fleet fleet(seed);
    fleet.addRegion(members);
    fleet.secondsUntil(
        [&] { return fleet.allMembers([&](const auto &each) { return each.memberCount() == members; }); });
    fleet.time.advance(settle_time);
    result_line line("domain_loss");
    line.with("members", static_cast<double>(members)).with("notices", static_cast<double>(notices));
    membership::gossip_traffic before = fleet.traffic();
    for (std::size_t index = 0; index < notices; ++index)
        fleet.nodes[index % members]->members.publish(
            {"leaving/" + simulated_fleet::nodeAddress(2000 + index).text(), 1,
             "vm-" + std::to_string(index)});
    const double propagation = fleet.secondsUntil([&] {
        return fleet.allMembers([&](const auto &each) { return each.facts("leaving/").size() == notices; });
    });
    membership::gossip_traffic after = fleet.traffic();
    line.with("notices_spread_seconds", propagation)
        .with("notices_bytes_per_member",
              static_cast<double>(after.bytes - before.bytes) / static_cast<double>(members));
    fleet.time.advance(std::chrono::seconds(30));

    for (std::size_t index = 0; index < members; index += domains_per_region)
        fleet.nodes[index].reset();
    before = fleet.traffic();
    const std::size_t remaining = members - (members + domains_per_region - 1) / domains_per_region;
    std::size_t falseDeaths = 0;
    const double elapsedSeconds = fleet.secondsUntil([&] {
        falseDeaths = std::max(falseDeaths, fleet.countFalselyDead());
        return fleet.allMembers([&](const auto &each) { return each.memberCount() == remaining; });
    });
    after = fleet.traffic();
    line.with("loss_known_seconds", elapsedSeconds)
        .with("loss_bytes_per_member_second",
              static_cast<double>(after.bytes - before.bytes) / static_cast<double>(remaining)
                  / elapsedSeconds)
        .with("falsely_dead", static_cast<double>(falseDeaths));
}

void measureRegions(std::size_t membersPerDomain, std::uint64_t seed)
{
    constexpr std::size_t regionCount = 6;
    constexpr std::size_t domainCount = 21;
    simulated_fleet fleet(seed);
    for (std::size_t index = 0; index < domainCount * membersPerDomain; ++index) {
        const std::size_t domain = index % domainCount;
        fleet.add("domain-" + std::to_string(domain), "region-" + std::to_string(domain % regionCount));
    }
    result_line line("regions");
    line.with("members", static_cast<double>(fleet.nodes.size()));
    const std::size_t all = fleet.nodes.size();
    line.with("join_seconds", fleet.secondsUntil([&] {
        return fleet.allMembers([&](const auto &each) { return each.fleetSize() == all; });
    }));
    fleet.time.advance(settle_time);
    addSteadyState(line, measureSteadyState(fleet));
    double propagation = 0.0;
    for (int sample = 1; sample <= sample_count; ++sample) {
        propagation = std::max(propagation, fleet.propagationSeconds(static_cast<std::uint64_t>(sample)));
        fleet.time.advance(std::chrono::seconds(10));
    }
    line.with("spread_seconds_worst_of_5", propagation);
}

} // namespace ivypier::measurement
