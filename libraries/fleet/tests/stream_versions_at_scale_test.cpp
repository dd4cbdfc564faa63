#include "fake_table.h"
#include "fleet/origin_exchange.h"
#include "membership/virtual_network.h"
#include "relay/version_register.h"
#include "shared_view.h"
#include "test_cluster.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <cstdio>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace std::chrono_literals;
using placement::tests::fake_table;
using placement::tests::fake_table_client;
using relay::stream_key;
using relay::stream_origin;

namespace {

/// How the nodes know where a stream began that another node forwarded.
enum class policy {
    two_keepers, ///< records at two other nodes
    own_records, ///< each node by itself
    ask_all, ///< each node by itself; a resumption asks all others
};

const char *name(policy each)
{
    switch (each) {
    case policy::two_keepers:
        return "two keepers";
    case policy::own_records:
        return "each by itself";
    case policy::ask_all:
        return "all are asked";
    }
    return "";
}

constexpr duration caller_time = 15s;

/// Nodes before upstreams whose software versions change. Streams break off, and their callers take them up
/// at other nodes. Counts from the side of callers and upstreams.
struct versions_fleet
{
    struct node
    {
        node(versions_fleet &owner, std::size_t index)
            : fleet(owner)
            , view(owner.members, index)
            , channel(owner.network.open(owner.time, owner.members[index].address))
            , origins(owner.time, *channel, fleet::tests::fleetKey(), view, fleet::tests::port)
            , client(owner.time, owner.table)
            , versions(owner.time, owner.randomness, client, upstreams,
                       [&owner] { return owner.time.wallMilliseconds(); })
        {
            versions.setServices({"s"});
            versions.onRowRead([this](const std::string &, std::uint64_t version, const std::string &text) {
                fleet.announce(version, text);
            });
            versions.start();
            origins.start();
            for (const std::string &each : fleet.serving)
                upstreams.put(recordOf(each));
        }

        versions_fleet &fleet;
        fleet::tests::shared_view view;
        std::unique_ptr<membership::datagram_channel> channel;
        origin_exchange origins;
        relay::upstream_directory upstreams{fleet.time};
        fake_table_client client;
        relay::version_register versions;
        std::map<stream_key, stream_origin> ownRecords;
        bool isUp = true;
    };

    struct stream
    {
        int number = 0;
        std::string version;
        std::size_t node = 0;
        time_point begunAt{};
    };

    struct counts
    {
        std::size_t begun = 0;
        std::size_t refusedNew = 0;
        std::size_t resumed = 0; ///< while the version that began the stream serves
        std::size_t continued = 0;
        std::size_t joined = 0; ///< went on at another version
    };

    versions_fleet(std::size_t nodeCount, std::uint64_t seed, policy usedPolicy)
        : randomness(seed)
        , chosenPolicy(usedPolicy)
        , domainCount(nodeCount > 100 ? 21 : 3)
    {
        configureLog("tests", log_level::error);
        network.setDelay(1ms, 3ms);
        network.setLoss(0.01);
        serving = {"v1"};
        members.resize(nodeCount);
        nodes.resize(nodeCount);
        for (std::size_t index = 0; index < nodeCount; ++index) {
            replaceMember(index);
            nodes[index] = std::make_unique<node>(*this, index);
        }
        poll();
        time.advance(3s);
    }

    static relay::upstream_record recordOf(const std::string &version)
    {
        return {"at " + version, "s", {"10.0.0.1", 1}, "hall", 64, false, false, {}, version};
    }

    /// Gives a node a new incarnation at a new address.
    void replaceMember(std::size_t index)
    {
        membership::member &each = members[index];
        each.id = ++lastIncarnation;
        each.name = "node-" + std::to_string(index);
        each.address = fleet::tests::addressOf(each.id);
        each.failureDomain = "domain-" + std::to_string(index % domainCount);
    }

    void poll()
    {
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            if (nodes[index]->isUp)
                nodes[index]->versions.poll(index == 0, nodes.size());
        }
        time.after(400ms, [this] { poll(); });
    }

    void announce(std::uint64_t version, const std::string &text)
    {
        if (version <= announcedVersion)
            return;
        announcedVersion = version;
        for (const auto &each : nodes) {
            if (each)
                time.after(fromSeconds(randomness.uniform()), [to = each.get(), version, text] {
                    to->versions.applyAnnouncement("s", version, text);
                });
        }
    }

    void setServing(const std::string &version, bool isServing)
    {
        if (isServing)
            serving.insert(version);
        else
            serving.erase(version);
        for (const auto &each : nodes)
            time.after(fromSeconds(randomness.uniform()), [to = each.get(), version, isServing] {
                if (isServing)
                    to->upstreams.put(recordOf(version));
                else
                    to->upstreams.remove("at " + version);
            });
    }

    /// Kills nodes. They start again a second later; until then the others take them for alive.
    void kill(const std::set<std::size_t> &indexes)
    {
        for (const std::size_t index : indexes) {
            nodes[index]->isUp = false;
            dead.insert(members[index].address);
            breakOff(index);
            time.after(1s, [this, index] {
                replaceMember(index);
                former.push_back(std::move(nodes[index]));
                nodes[index] = std::make_unique<node>(*this, index);
            });
        }
        updateFilter();
    }

    /// Cuts nodes off from all others, which go on to take them for alive.
    void cut(const std::set<std::size_t> &indexes)
    {
        cutOff.clear();
        for (const std::size_t index : indexes)
            cutOff.insert(members[index].address);
        updateFilter();
    }

    void updateFilter()
    {
        network.setDropFilter([this](const endpoint &from, const endpoint &to) {
            return dead.contains(from) || dead.contains(to) || cutOff.contains(from) || cutOff.contains(to);
        });
    }

    std::set<std::size_t> every(std::size_t nth) const
    {
        std::set<std::size_t> result;
        for (std::size_t index = 0; index < nodes.size(); index += nth)
            result.insert(index);
        return result;
    }

    std::set<std::size_t> domain(std::size_t number) const
    {
        std::set<std::size_t> result;
        for (std::size_t index = number; index < nodes.size(); index += domainCount)
            result.insert(index);
        return result;
    }

    /// Breaks off the streams of a node; their callers take them up elsewhere.
    void breakOff(std::size_t index)
    {
        std::vector<stream> left;
        for (const stream &each : std::exchange(streams, {})) {
            if (each.node == index)
                resumeLater(each);
            else
                left.push_back(each);
        }
        streams = std::move(left);
    }

    void begin()
    {
        const std::size_t index = randomness.index(nodes.size());
        node &at = *nodes[index];
        std::vector<std::string> versions;
        for (const relay::upstream *each : at.upstreams.ready("s")) {
            // An upstream that is gone can't be reached.
            if (at.versions.mayBeginAt(each->record) && serving.contains(each->record.softwareVersion))
                versions.push_back(each->record.softwareVersion);
        }
        if (!at.isUp || versions.empty()) {
            result.refusedNew += at.isUp ? 1 : 0;
            return;
        }
        ++result.begun;
        const stream begun{++lastStream, versions[randomness.index(versions.size())], index, time.now()};
        const stream_key key = stream_key::of("one", std::to_string(begun.number));
        const stream_origin origin{"s", begun.version, "at " + begun.version};
        if (chosenPolicy == policy::two_keepers)
            at.origins.record(key, origin, caller_time);
        at.ownRecords[key] = origin;
        streams.push_back(begun);
    }

    void resumeLater(const stream &broken)
    {
        time.after(fromSeconds(0.5 * randomness.uniform()), [this, broken] { resume(broken); });
    }

    void resume(const stream &broken)
    {
        std::size_t index = randomness.index(nodes.size());
        for (std::size_t tries = 0; !nodes[index]->isUp && tries < nodes.size(); ++tries)
            index = (index + 1) % nodes.size();
        if (!serving.contains(broken.version))
            return;
        if (!nodes[index]->isUp) {
            resumeLater(broken);
            return;
        }
        ++result.resumed;
        const time_point askedAt = time.now();
        const stream_key key = stream_key::of("one", std::to_string(broken.number));
        find(index, key, [this, index, broken, askedAt](const std::optional<stream_origin> &origin) {
            if (origin) {
                goOn(broken, origin->softwareVersion, askedAt);
                return;
            }
            nodes[index]->versions.findOnlyVersion(
                "s", [this, broken, askedAt](const relay::version_lookup &found) {
                    if (found.onlyVersion)
                        goOn(broken, *found.onlyVersion, askedAt);
                });
        });
    }

    void find(std::size_t index, const stream_key &key,
              const std::function<void(const std::optional<stream_origin> &)> &done)
    {
        node &at = *nodes[index];
        if (chosenPolicy == policy::two_keepers) {
            at.origins.find(key, [done](const relay::origin_lookup &found) { done(found.origin); });
            return;
        }
        std::optional<stream_origin> found;
        duration taken{};
        if (const auto own = at.ownRecords.find(key); own != at.ownRecords.end())
            found = own->second;
        if (!found && chosenPolicy == policy::ask_all) {
            taken = 4ms;
            questions += nodes.size();
            for (const auto &each : nodes) {
                const bool isReached = each->isUp && !cutOff.contains(each->view.self().address)
                    && !cutOff.contains(at.view.self().address);
                if (const auto other = each->ownRecords.find(key);
                    isReached && other != each->ownRecords.end())
                    found = other->second;
            }
        }
        time.after(taken, [done, found] { done(found); });
    }

    void goOn(const stream &broken, const std::string &version, time_point askedAt)
    {
        ++result.continued;
        result.joined += version == broken.version ? 0 : 1;
        lookupTimes.push_back(milliseconds(time.now() - askedAt));
    }

    /// Runs for `span` with this many new streams a second; one in three breaks off within two seconds.
    void run(duration span, double streamsPerSecond)
    {
        const time_point end = time.now() + span;
        while (time.now() < end) {
            time.advance(fromSeconds(-std::log(1.0 - randomness.uniform()) / streamsPerSecond));
            begin();
            std::erase_if(streams,
                          [&](const stream &each) { return time.now() - each.begunAt > caller_time / 3; });
            if (randomness.uniform() < 0.33 && !streams.empty()) {
                const std::size_t chosen = randomness.index(streams.size());
                resumeLater(streams[chosen]);
                streams.erase(streams.begin() + static_cast<std::ptrdiff_t>(chosen));
            }
            for (const auto &each : nodes)
                mostRecords = std::max(mostRecords, each->origins.recordCount());
        }
    }

    /// Rollouts forward and back, two at once, kills, cuts and the loss of all nodes.
    void runAll(double streamsPerSecond)
    {
        run(4s, streamsPerSecond);
        setServing("v2", true);
        run(3s, streamsPerSecond);
        kill(every(3));
        run(4s, streamsPerSecond);
        setServing("v1", false);
        run(3s, streamsPerSecond);
        setServing("v1", true);
        setServing("v3", true);
        cut(every(3));
        run(3s, streamsPerSecond);
        cut(domain(1));
        run(3s, streamsPerSecond);
        cut({});
        setServing("v2", false);
        for (std::size_t index = 0; index < std::min<std::size_t>(nodes.size(), 8); ++index) {
            kill({index});
            run(500ms, streamsPerSecond);
        }
        run(1s, streamsPerSecond);
        kill(every(1));
        run(4s, streamsPerSecond);
    }

    double continuedShare() const
    {
        return result.resumed == 0
            ? 1.0
            : static_cast<double>(result.continued) / static_cast<double>(result.resumed);
    }

    std::int64_t lookupPercentile(double fraction)
    {
        std::sort(lookupTimes.begin(), lookupTimes.end());
        return lookupTimes.empty()
            ? 0
            : lookupTimes[static_cast<std::size_t>(fraction * static_cast<double>(lookupTimes.size() - 1))];
    }

    std::uint64_t datagramsOfBusiest() const
    {
        std::uint64_t most = 0;
        for (const auto &each : nodes)
            most = std::max(most, each->origins.datagramsSent());
        for (const auto &each : former)
            most = std::max(most, each->origins.datagramsSent());
        return most;
    }

    virtual_scheduler time;
    seeded_random randomness;
    policy chosenPolicy;
    std::size_t domainCount;
    membership::virtual_network network{time, randomness};
    fake_table table{time, randomness};
    std::vector<membership::member> members;
    std::set<std::string> serving;
    membership::incarnation lastIncarnation = 0;
    std::uint64_t announcedVersion = 0;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<node>> former;
    std::set<endpoint> dead;
    std::set<endpoint> cutOff;
    std::vector<stream> streams;
    std::vector<std::int64_t> lookupTimes; ///< in milliseconds
    std::size_t mostRecords = 0;
    std::uint64_t questions = 0;
    int lastStream = 0;
    counts result;
};

} // namespace

TEST_CASE(
    "no stream goes on at another software version through rollouts, kills, cuts and a loss of all nodes",
    "[slow]")
{
    const auto [nodeCount, seeds]
        = GENERATE(table<std::size_t, std::uint64_t>({{8, 60}, {60, 6}, {295, 1}, {1600, 1}}));
    std::size_t resumed = 0;
    std::size_t continued = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO(nodeCount << " nodes, seed " << seed);
        versions_fleet fleet(nodeCount, seed, policy::two_keepers);
        fleet.runAll(std::min(4.0 * static_cast<double>(nodeCount), 200.0));
        CHECK(fleet.result.joined == 0);
        resumed += fleet.result.resumed;
        continued += fleet.result.continued;
    }
    // All of a third of the nodes that are cut off, and all that are lost at once, are among the resumptions.
    CHECK(static_cast<double>(continued) >= 0.5 * static_cast<double>(resumed));
}

TEST_CASE("almost all streams of killed nodes go on during a rollout", "[slow]")
{
    for (const std::size_t nodeCount : {8U, 60U, 295U}) {
        INFO(nodeCount << " nodes");
        versions_fleet fleet(nodeCount, 1, policy::two_keepers);
        fleet.setServing("v2", true);
        fleet.run(4s, 100.0);
        for (std::size_t index = 0; index < 8; ++index) {
            fleet.kill({index});
            fleet.run(1500ms, 100.0);
        }
        CHECK(fleet.result.joined == 0);
        CHECK(fleet.continuedShare() >= 0.9);
    }
}

TEST_CASE("table of policies for the origins of streams", "[.table]")
{
    std::printf("%-16s %6s %8s %8s %9s %7s %10s %9s %12s %8s\n", "policy", "nodes", "begun", "resumed",
                "continued", "joined", "median ms", "p99 ms", "datagrams/s", "records");
    for (const policy each : {policy::two_keepers, policy::own_records, policy::ask_all}) {
        for (const std::size_t nodeCount : {8U, 60U, 295U, 1600U}) {
            versions_fleet fleet(nodeCount, 1, each);
            const time_point start = fleet.time.now();
            const double rate = std::min(4.0 * static_cast<double>(nodeCount), 200.0);
            fleet.runAll(rate);
            std::printf("%-16s %6zu %8zu %8zu %9.3f %7zu %10lld %9lld %12.2f %8zu\n", name(each), nodeCount,
                        fleet.result.begun, fleet.result.resumed, fleet.continuedShare(), fleet.result.joined,
                        static_cast<long long>(fleet.lookupPercentile(0.5)),
                        static_cast<long long>(fleet.lookupPercentile(0.99)),
                        static_cast<double>(fleet.datagramsOfBusiest()) / seconds(fleet.time.now() - start)
                            + static_cast<double>(fleet.questions) / static_cast<double>(nodeCount)
                                / seconds(fleet.time.now() - start),
                        fleet.mostRecords);
        }
    }
}
