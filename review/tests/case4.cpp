// LOST: all nodes are killed while the store is silent and two versions serve; no stream of that time goes
// on.
#include "scene.h"

#include <csignal>

using namespace review;

namespace {

constexpr std::size_t stream_count = 48;
constexpr std::size_t fresh_count = 24;
constexpr int deadline_milliseconds = 15000;
constexpr double silent_seconds = 4.5; // `for_s` of platform_down
constexpr double killed_at = 3.0; // after the store fell silent
constexpr double down_seconds = 1.0; // `for_s` of herd_kill
constexpr double takes_up_at = 8.8; // over 3 s (`contact-ms`) after the store answers and the nodes run again

} // namespace

int main(int, char **arguments)
{
    scene deployment(std::string(arguments[1]), {"edge-ridge-hall-1", "edge-osu-hall-1", "edge-tema-hall-1"});
    if (!deployment.startPlatform())
        return scene::impossible("no free addresses");
    bool isStarted = true;
    for (std::size_t index = 0; index < 4; ++index) {
        runner &each = deployment.addRunner("i-" + std::to_string(70000 + 137 * index), "llm", index);
        isStarted = isStarted && each.start(index < 2 ? "v1" : "v2");
    }
    if (!isStarted || !deployment.startNodes())
        return scene::impossible("the deployment does not start");

    const std::size_t nodes = deployment.nodeCount();
    const double beganAt = secondsNow();
    const double end = beganAt + deadline_milliseconds / 1000.0;
    if (hasTrouble())
        deployment.store.setSilent(true);
    std::vector<stream_client> clients(stream_count);
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < clients.size(); ++index) {
        clients[index].path = "/stream/" + std::to_string(index);
        threads.emplace_back([&, index] {
            sleepSeconds(0.3);
            readStream(deployment.record, clients[index], deployment.host(index % nodes),
                       "first-" + std::to_string(index), false, deadline_milliseconds, beganAt + killed_at);
        });
    }
    sleepSeconds(beganAt + killed_at - secondsNow());
    if (hasTrouble()) {
        for (std::size_t index = 0; index < nodes; ++index)
            deployment.node(index).signal(SIGKILL);
        for (std::size_t index = 0; index < nodes; ++index)
            deployment.node(index).waitForEnd(2.0);
        sleepSeconds(down_seconds);
        for (std::size_t index = 0; index < nodes; ++index) {
            if (!deployment.startNode(index))
                return scene::impossible("a node does not start again");
        }
        sleepSeconds(beganAt + silent_seconds - secondsNow());
        deployment.store.setSilent(false);
    }
    for (std::thread &each : threads)
        each.join();
    threads.clear();
    sleepSeconds(beganAt + takes_up_at - secondsNow());

    std::atomic<int> taken = 0;
    std::atomic<int> gone_on = 0;
    std::atomic<int> began = 0;
    for (std::size_t index = 0; index < clients.size(); ++index) {
        stream_client &client = clients[index];
        if (client.events.empty() || client.isComplete)
            continue;
        ++taken;
        threads.emplace_back([&, index] {
            for (std::size_t attempt = 0; attempt < 2; ++attempt) { // a client's retry
                const int left = static_cast<int>((end - secondsNow()) * 1000.0);
                const int events = readStream(
                    deployment.record, clients[index], deployment.host((index + 1 + attempt) % nodes),
                    "again-" + std::to_string(index) + "-" + std::to_string(attempt), true, left, end - 2.0);
                if (events > 0) {
                    ++gone_on;
                    return;
                }
                sleepSeconds(
                    std::min(std::atof(clients[index].retryAfter.c_str()), (end - secondsNow()) / 3.0));
            }
        });
    }
    std::vector<stream_client> fresh(fresh_count);
    for (std::size_t index = 0; index < fresh.size(); ++index) {
        fresh[index].path = "/stream/new" + std::to_string(index);
        threads.emplace_back([&, index] {
            const int events
                = readStream(deployment.record, fresh[index], deployment.host(index % nodes),
                             "new-" + std::to_string(index), false, deadline_milliseconds, end - 2.0);
            began += events > 0 ? 1 : 0;
        });
    }
    for (std::thread &each : threads)
        each.join();

    const double shareOn = taken > 0 ? static_cast<double>(gone_on) / taken : 1.0;
    const double shareNew = static_cast<double>(began) / static_cast<double>(fresh.size());
    const std::string figures = std::to_string(gone_on) + " of " + std::to_string(taken)
        + " streams that clients took up went on, " + std::to_string(began) + " of "
        + std::to_string(fresh.size()) + " new ones began (bound: half of the share of new ones)";
    if (taken < 12 || began == 0)
        return scene::impossible("too few streams: " + figures);
    return shareOn < shareNew / 2.0 ? deployment.broken("LOST: " + figures)
                                    : deployment.held("LOST: " + figures);
}
