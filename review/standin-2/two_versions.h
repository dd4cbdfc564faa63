#pragma once

// Streams that may be resumed, while the store is silent and two runners crash and start again under their
// ids with other software. Ends with 1 if more than two streams hold events of two software versions.

#include "streams.h"

#include <iostream>

namespace trial::two_versions {

constexpr int node_count = 8;
constexpr int runner_count = 9;
constexpr int events_per_stream = 40;
constexpr std::int64_t event_ms = 50;
constexpr std::int64_t stream_interval_ms = 28; // 35 streams a second
constexpr int allowed_streams = 2;
constexpr std::int64_t heartbeat_ms = 1200;
constexpr std::int64_t contact_ms = 3000;
const char *const zones[] = {"hall-a", "hall-b", "hall-c"};

/// The store is silent for a while. Meanwhile two runners crash, are back at once under their ids with other
/// software, and crash once more.
inline void upgradeWhileStoreIsSilent(platform &store, record &log,
                                      std::vector<std::unique_ptr<runner>> &runners)
{
    const auto crashed = {runners.front().get(), runners.back().get()};
    const auto restart = [&] {
        for (runner *each : crashed)
            each->crash();
        sleepMs(300);
        for (runner *each : crashed)
            each->start("v2");
    };
    log.line("the store is silent");
    store.setSilent(true);
    sleepMs(500);
    restart();
    sleepMs(1700);
    restart();
    sleepMs(1700);
    store.setSilent(false);
    log.line("the store answers again");
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
            runner::description{"i-" + std::to_string(each), "lm-pool", zones[each % 3],
                                network + std::to_string(101 + each) + ":8080", event_ms}));
        runners.back()->start("v1");
    }
    heartbeats beats(runners, heartbeat_ms);
    fleet nodes(command, folder, network, node_count, log);
    const bool isReady = nodes.start();
    sleepMs(8000); // traffic starts 10 s after the machines do
    directory where(nodes.directories());
    stream_clients clients(where, nodes, log, events_per_stream, contact_ms);
    traffic_source traffic(clients, stream_interval_ms);
    sleepMs(6000);
    if (hasTrouble)
        upgradeWhileStoreIsSilent(store, log, runners);
    else
        sleepMs(4500);
    sleepMs(6000);
    traffic.stop();
    clients.waitForAll();
    const int ended = nodes.endedByThemselves();
    nodes.kill();
    const stream_counts counts = clients.counts();
    const std::string summary = "streams " + std::to_string(counts.sent) + ", whole "
        + std::to_string(counts.whole) + ", of two versions " + std::to_string(counts.mixed) + " (allowed "
        + std::to_string(allowed_streams) + "), out of order " + std::to_string(counts.outOfOrder)
        + ", nodes that ended by themselves " + std::to_string(ended);
    log.line(summary);
    std::cout << summary << '\n';
    if (!isReady || counts.sent < 100 || counts.whole < counts.sent / 2)
        return 2;
    return counts.mixed > allowed_streams ? 1 : 0;
}

} // namespace trial::two_versions
