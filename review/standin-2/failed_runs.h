#pragma once

// Calls that may run once, while the runners of a service fail part of them: a runner runs the call, and ends
// it with its own error and without saying that it did not run. Ends with 1 if one of these calls gets an
// answer that promises that it has not run.

#include "streams.h"

#include <iostream>

namespace trial::failed_runs {

constexpr int node_count = 3;
constexpr int runner_count = 3;
constexpr std::int64_t call_interval_ms = 40;
constexpr std::int64_t fault_ms = 6500;
constexpr std::int64_t heartbeat_ms = 1200;
constexpr std::int64_t work_ms = 60;
constexpr int failure_status = 503;
const char *const zones[] = {"hall-a", "hall-b", "hall-c"};

/// What the runners ran, and what the clients were told.
struct outcomes
{
    std::mutex mutex;
    std::set<std::string> ran;
    std::map<std::string, int> answers;
};

/// One order of a client. After an answer that promises that it has not run, the client sends it once more.
inline void order(int number, directory &where, record &log, outcomes &seen)
{
    for (int tries = 0; tries < 2; ++tries) {
        char id[20];
        std::snprintf(id, sizeof(id), "%08x%08x", static_cast<unsigned>(number),
                      static_cast<unsigned>(tries));
        const auto to = connection::open(where.pick(), 1000);
        const std::string body = "order " + std::to_string(number);
        log.line(std::string("sent ") + id + ": " + body);
        if (!to
            || !to->write(std::string("POST /book/order HTTP/1.1\r\nHost: h.example\r\nRequest-Id: ") + id
                          + "\r\nDeadline-Ms: 3000\r\nKey: key-of-one\r\nContent-Length: "
                          + std::to_string(body.size()) + "\r\n\r\n" + body))
            return;
        message answer;
        const std::int64_t until = nowMs() + 3000;
        while (!takeHead(*to, answer)) {
            if (to->fill(until) <= 0) {
                log.line(std::string("no answer ") + id);
                return;
            }
        }
        const int status = answer.status();
        log.line(
            std::string("answer ") + id + " " + std::to_string(status) + ", signature "
            + (answer.field("response-signature").empty() ? "none" : answer.field("response-signature")));
        {
            const std::lock_guard lock(seen.mutex);
            seen.answers[id] = status;
        }
        if (status != 408 && status != 421 && status != 429 && status != 503)
            return;
        sleepMs(100);
    }
}

inline int run(const std::string &command, const std::string &folder, bool hasTrouble)
{
    record log(folder + "/record.txt");
    const std::string network = freeNetwork();
    platform store(network + "200:8225");
    if (!store.isOpen())
        return 2;
    store.put("op", "config", unsafe_configuration);
    outcomes seen;
    std::vector<std::unique_ptr<runner>> runners;
    for (int each = 0; each < runner_count; ++each) {
        runner::description what{"i-" + std::to_string(each),
                                 "order-app",
                                 zones[each],
                                 network + std::to_string(101 + each) + ":8080",
                                 work_ms,
                                 6,
                                 true};
        runners.push_back(std::make_unique<runner>(store, log, what));
        runners.back()->onRun = [&seen](const std::string &id) {
            const std::lock_guard lock(seen.mutex);
            seen.ran.insert(id);
        };
        runners.back()->start("v1");
    }
    heartbeats beats(runners, heartbeat_ms);
    fleet nodes(command, folder, network, node_count, log);
    const bool isReady = nodes.start();
    sleepMs(8000); // traffic starts 10 s after the machines do
    directory where(nodes.directories());
    std::vector<std::thread> orders;
    const std::int64_t startedAt = nowMs();
    for (int number = 1; nowMs() - startedAt < 2 * fault_ms; ++number) {
        const bool isFailing
            = hasTrouble && nowMs() - startedAt > 2000 && nowMs() - startedAt < 2000 + fault_ms;
        for (const auto &each : runners)
            each->failureStatus = isFailing ? failure_status : 0;
        orders.emplace_back([number, &where, &log, &seen] { order(number, where, log, seen); });
        sleepMs(call_interval_ms);
    }
    for (std::thread &each : orders)
        each.join();
    const int ended = nodes.endedByThemselves();
    nodes.kill();
    int answered = 0;
    int broken = 0;
    for (const auto &[id, status] : seen.answers) {
        ++answered;
        if (!seen.ran.contains(id) || (status != 408 && status != 421 && status != 429 && status != 503))
            continue;
        ++broken;
        log.line("REFUSED " + id + " was answered " + std::to_string(status) + " and has run");
    }
    const std::string summary = "calls answered " + std::to_string(answered) + ", ran "
        + std::to_string(seen.ran.size()) + ", ran and answered 408, 421, 429 or 503: "
        + std::to_string(broken) + "; nodes that ended by themselves " + std::to_string(ended);
    log.line(summary);
    std::cout << summary << '\n';
    if (!isReady || answered < 100)
        return 2;
    return broken > 0 ? 1 : 0;
}

} // namespace trial::failed_runs
