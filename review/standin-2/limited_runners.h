#pragma once

// Streams that clients take up again while the runners of their version name a limit. Two runners have
// version v1, one has v2. Without trouble no runner names a limit; the nodes are killed all the same. Ends
// with 1 if of 12 or more streams of v1 that clients take up again at nodes in touch, the share that goes on
// is under half of the share of new streams that begin, though the limit has room for all of them.

#include "streams.h"

#include <iostream>

namespace trial::limited_runners {

constexpr std::size_t node_count = 8;
constexpr int runner_count = 3;
constexpr std::int64_t stream_interval_ms = 170;
constexpr std::int64_t contact_ms = 3000;
constexpr std::int64_t heartbeat_ms = 1200;
constexpr int least_streams = 12;
constexpr int events_per_stream = 100;
constexpr std::int64_t event_ms = 140;
constexpr std::size_t first_killed = 3; // this node and all after it
constexpr int limit_per_second = 4;
constexpr double limit_window_s = 4.0;
const char *const zones[] = {"hall-a", "hall-b", "hall-c"};

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
    traffic_source traffic(clients, stream_interval_ms);
    sleepMs(16000);
    for (int each = 0; each < 2 && hasTrouble; ++each) {
        runners[static_cast<std::size_t>(each)]->limit = limit_per_second;
        log.line("runner i-" + std::to_string(each) + " names a limit of "
                 + std::to_string(limit_per_second));
    }
    sleepMs(3500);
    nodes.killAndRestart(first_killed, node_count);
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
    // The rule LIMIT allows one and a half times the limit and five more in 4 s, at each of the two runners.
    const double room = 2 * (1.5 * limit_per_second * limit_window_s + 5);
    if (!isReady || taken < least_streams || taken > room || begun < 0.5)
        return 2;
    return wentOn < 0.5 * begun * taken ? 1 : 0;
}

} // namespace trial::limited_runners
