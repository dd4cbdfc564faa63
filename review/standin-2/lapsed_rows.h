#pragma once

// Streams that clients take up again, after two runners lost the store for some seconds. Two runners have
// version v1, one has v2. Without trouble no runner is cut from the store; the nodes are killed all the same.
// Ends with 1 if of 12 or more streams of v1 that clients take up again at nodes in touch, the share that
// goes on is under half of the share of new streams that begin.

#include "streams.h"

#include <iostream>

namespace trial::lapsed_rows {

constexpr std::size_t node_count = 8;
constexpr int runner_count = 3;
constexpr std::int64_t quiet_interval_ms = 1000; // between two new streams
constexpr std::int64_t stream_interval_ms = 230;
constexpr std::int64_t contact_ms = 3000;
constexpr std::int64_t heartbeat_ms = 1200;
constexpr std::int64_t cut_ms = 5000;
constexpr int least_streams = 12;
constexpr int events_per_stream = 100;
constexpr std::int64_t event_ms = 140;
constexpr std::size_t seed_count = 3; // the first nodes, whose addresses all nodes have from their settings
const char *const zones[] = {"hall-a", "hall-b", "hall-c"};

/// A runner is partitioned from the store for `cut_ms`; it serves on.
inline void cutFromStore(runner &which)
{
    which.setCut(true);
    sleepMs(3 * heartbeat_ms);
    which.lapse();
    sleepMs(cut_ms - 3 * heartbeat_ms);
    which.setCut(false);
}

inline int run(const std::string &command, const std::string &folder, bool hasTrouble)
{
    record log(folder + "/record.txt");
    const std::string network = freeNetwork();
    platform store(network + "200:8225");
    if (!store.isOpen())
        return 2;
    store.put("op", "config", stream_configuration);
    std::vector<std::unique_ptr<runner>> runners;
    for (int each = 0; each < runner_count; ++each) {
        runners.push_back(std::make_unique<runner>(
            store, log,
            runner::description{"i-" + std::to_string(each), "lm-pool", zones[each],
                                network + std::to_string(101 + each) + ":8080", event_ms}));
        runners.back()->start(each < 2 ? "v1" : "v2");
    }
    heartbeats beats(runners, heartbeat_ms);
    fleet nodes(command, folder, network, node_count, log);
    const bool isReady = nodes.start();
    sleepMs(8000); // traffic starts 10 s after the machines do
    directory where(nodes.directories());
    stream_clients clients(where, nodes, log, events_per_stream, contact_ms);
    traffic_source traffic(clients, quiet_interval_ms);
    sleepMs(8000);
    for (int each = 0; each < 2; ++each) {
        if (hasTrouble)
            cutFromStore(*runners[static_cast<std::size_t>(each)]);
        else
            sleepMs(cut_ms);
    }
    sleepMs(4000);
    nodes.killAndRestart(0, seed_count);
    sleepMs(5000);
    traffic.setInterval(stream_interval_ms);
    sleepMs(18000);
    nodes.killAndRestart(seed_count, node_count);
    sleepMs(contact_ms);
    traffic.stop();
    clients.waitForAll();
    const int ended = nodes.endedByThemselves();
    nodes.kill();
    stream_counts counts = clients.counts();
    const int taken = counts.taken["v1"];
    const int wentOn = counts.wentOn["v1"];
    const double begun = counts.sent > 0 ? static_cast<double>(counts.begun) / counts.sent : 0.0;
    const std::string summary = "new streams " + std::to_string(counts.sent) + ", begun "
        + std::to_string(counts.begun) + "; streams of v1 taken up at machines in touch "
        + std::to_string(taken) + ", went on " + std::to_string(wentOn) + "; nodes that ended by themselves "
        + std::to_string(ended);
    log.line(summary);
    std::cout << summary << '\n';
    if (!isReady || taken < least_streams || begun < 0.5)
        return 2;
    return wentOn < 0.5 * begun * taken ? 1 : 0;
}

} // namespace trial::lapsed_rows
