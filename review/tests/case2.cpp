// LOST: runners leave as planned and start again under their ids; streams of their version are not taken up.
#include "scene.h"

#include <memory>

using namespace review;

namespace {

constexpr std::size_t stream_count = 48;
constexpr int deadline_milliseconds = 15000;
constexpr double drain_seconds = 2.0; // `drain-ms`
constexpr double takes_up_at = 9.5; // after the streams began

} // namespace

int main(int, char **arguments)
{
    scene deployment(std::string(arguments[1]), {"edge-ridge-hall-1", "edge-osu-hall-1", "edge-tema-hall-1"});
    if (!deployment.startPlatform())
        return scene::impossible("no free addresses");
    const std::vector<runner *> old
        = {&deployment.addRunner("i-7f3a91c2", "llm", 0), &deployment.addRunner("i-5be20d17", "llm", 1)};
    const std::vector<runner *> other
        = {&deployment.addRunner("i-02d9e6b4", "llm", 2), &deployment.addRunner("i-c81f6a03", "llm", 0)};
    bool isStarted = true;
    for (runner *each : old)
        isStarted = isStarted && each->start("v1");
    for (runner *each : other)
        isStarted = isStarted && each->start("v2");
    if (!isStarted || !deployment.startNodes())
        return scene::impossible("the deployment does not start");

    // Streams begin at both versions. Their clients lose the connection, or leave it, before they take them
    // up.
    const double beganAt = secondsNow();
    const double end = beganAt + deadline_milliseconds / 1000.0;
    std::vector<stream_client> clients(stream_count);
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < clients.size(); ++index) {
        clients[index].path = "/stream/" + std::to_string(index);
        threads.emplace_back([&deployment, &client = clients[index], index, beganAt] {
            readStream(deployment.record, client, deployment.host(index % deployment.nodeCount()),
                       "first-" + std::to_string(index), false, deadline_milliseconds,
                       beganAt + takes_up_at - 0.5);
        });
    }
    sleepSeconds(1.0);
    // The two runners of a version are started again, one after the other.
    for (runner *each : old) {
        if (!hasTrouble())
            break;
        each->drain();
        sleepSeconds(drain_seconds + 0.2);
        each->end();
        each->removeRow();
        sleepSeconds(0.5);
        if (!each->start("v1"))
            return scene::impossible("the runner does not start again");
    }
    sleepSeconds(beganAt + takes_up_at - secondsNow());

    int taken = 0;
    int gone_on = 0;
    int began = 0;
    std::mutex counts;
    std::vector<stream_client> fresh(stream_count / 2);
    std::vector<std::thread> later;
    for (std::size_t index = 0; index < clients.size(); ++index) {
        threads[index].join();
        stream_client &client = clients[index];
        if (client.events.empty() || client.isComplete
            || !client.events.back().second.starts_with("software v1"))
            continue;
        ++taken;
        later.emplace_back([&, index] {
            for (int attempt = 0; attempt < 2; ++attempt) { // a client's retry
                const int left = static_cast<int>((end - secondsNow()) * 1000.0);
                const int events = readStream(
                    deployment.record, client, deployment.host((index + 1) % deployment.nodeCount()),
                    "again-" + std::to_string(index) + "-" + std::to_string(attempt), true, left, end - 2.0);
                if (events > 0) {
                    const std::lock_guard lock(counts);
                    ++gone_on;
                    return;
                }
                if (client.retryAfter.empty())
                    return;
                sleepSeconds(std::min(std::atof(client.retryAfter.c_str()), (end - secondsNow()) / 3.0));
            }
        });
    }
    // New streams at the same time.
    for (std::size_t index = 0; index < fresh.size(); ++index) {
        fresh[index].path = "/stream/new" + std::to_string(index);
        later.emplace_back([&, index] {
            const int events
                = readStream(deployment.record, fresh[index], deployment.host(index % deployment.nodeCount()),
                             "new-" + std::to_string(index), false, deadline_milliseconds, end - 2.0);
            const std::lock_guard lock(counts);
            began += events > 0 ? 1 : 0;
        });
    }
    for (std::thread &each : later)
        each.join();

    const double shareOn = taken > 0 ? static_cast<double>(gone_on) / taken : 1.0;
    const double shareNew = static_cast<double>(began) / static_cast<double>(fresh.size());
    const std::string figures = std::to_string(gone_on) + " of " + std::to_string(taken)
        + " streams that clients took up went on, " + std::to_string(began) + " of "
        + std::to_string(fresh.size()) + " new ones began (bound: half of the share of new ones)";
    if (taken < 12)
        return scene::impossible("too few streams were taken up: " + figures);
    return shareOn < shareNew / 2.0 ? deployment.broken("LOST: " + figures)
                                    : deployment.held("LOST: " + figures);
}
