#pragma once

// Streams whose events hold several tokens each. The ids of the events count the tokens: they increase by
// three. Ends with 1 if a node closes the kept connection of a client more than three times without a whole
// answer, though the runner was sound and the stream had time.

#include "streams.h"

#include <iostream>

namespace trial::spaced_ids {

constexpr int node_count = 3;
constexpr int runner_count = 3;
constexpr int client_count = 6;
constexpr int streams_per_client = 10;
constexpr int events_per_stream = 12;
constexpr std::int64_t event_ms = 40;
constexpr std::int64_t heartbeat_ms = 1200;
constexpr int tokens_per_event = 3;
constexpr int allowed_closings = 3;
const char *const zones[] = {"hall-a", "hall-b", "hall-c"};

struct totals
{
    std::atomic<int> sent{0};
    std::atomic<int> whole{0};
    std::atomic<int> closed{0};
};

/// A client that keeps its connection for its streams, and opens another one when it was closed.
inline void readStreams(int client, directory &where, record &log, totals &seen)
{
    std::unique_ptr<connection> to;
    for (int number = 0; number < streams_per_client; ++number) {
        char id[20];
        std::snprintf(id, sizeof(id), "%08x%08x", static_cast<unsigned>(client),
                      static_cast<unsigned>(number));
        if (!to)
            to = connection::open(where.pick(), 1000);
        const std::string body = std::to_string(events_per_stream) + " events of a chat";
        log.line(std::string("sent ") + id);
        if (!to
            || !to->write(std::string("POST /chat/reply HTTP/1.1\r\nHost: h.example\r\nRequest-Id: ") + id
                          + "\r\nModel: m\r\nToken-Usage: 543,36\r\nPrefix-Hash: 5c1e07a2:103," + id
                          + ":440\r\nDeadline-Ms: 15000\r\nKey: key-of-one\r\nContent-Length: "
                          + std::to_string(body.size()) + "\r\n\r\n" + body)) {
            to.reset();
            continue;
        }
        ++seen.sent;
        const std::int64_t until = nowMs() + 15000;
        message head;
        std::string events;
        bool hasHead = false;
        bool isDone = false;
        int filled = 1;
        while (!isDone && filled > 0) {
            filled = to->fill(until);
            hasHead = hasHead || takeHead(*to, head);
            isDone = hasHead && (head.status() != 200 || takeChunks(*to, events));
        }
        std::size_t count = 0;
        for (std::size_t at = events.find("\n\n"); at != std::string::npos; at = events.find("\n\n", at + 2))
            ++count;
        log.line(std::string("answer ") + id + " " + (hasHead ? std::to_string(head.status()) : "none") + ", "
                 + std::to_string(count) + " events, " + (isDone ? "whole" : "the connection was closed"));
        if (isDone) {
            ++seen.whole;
            continue;
        }
        ++seen.closed;
        to.reset();
    }
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
        runner::description what{"i-" + std::to_string(each), "lm-pool", zones[each],
                                 network + std::to_string(101 + each) + ":8080", event_ms};
        what.eventsAtOnce = 2; // one each step of the batch, sent with every second one
        what.idStep = hasTrouble ? tokens_per_event : 1;
        runners.push_back(std::make_unique<runner>(store, log, what));
        runners.back()->start("v1");
    }
    heartbeats beats(runners, heartbeat_ms);
    fleet nodes(command, folder, network, node_count, log);
    const bool isReady = nodes.start();
    sleepMs(8000); // traffic starts 10 s after the machines do
    directory where(nodes.directories());
    totals seen;
    std::vector<std::thread> clients;
    for (int each = 0; each < client_count; ++each)
        clients.emplace_back([each, &where, &log, &seen] { readStreams(each, where, log, seen); });
    for (std::thread &each : clients)
        each.join();
    const int ended = nodes.endedByThemselves();
    nodes.kill();
    const std::string summary = "streams sent " + std::to_string(seen.sent) + ", whole "
        + std::to_string(seen.whole) + ", connections closed without a whole answer "
        + std::to_string(seen.closed) + " (allowed " + std::to_string(allowed_closings)
        + "); nodes that ended by themselves " + std::to_string(ended);
    log.line(summary);
    std::cout << summary << '\n';
    if (!isReady || seen.sent < client_count * streams_per_client)
        return 2;
    return seen.closed > allowed_closings ? 1 : 0;
}

} // namespace trial::spaced_ids
