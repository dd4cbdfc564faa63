// ORDER: the last runner of a version starts again under its id, with the next version of its software;
// streams of the version before go on there.
#include "scene.h"

#include <memory>

using namespace review;

namespace {

constexpr std::size_t other_runner_count = 7;
constexpr std::size_t stream_count = 96;
constexpr int deadline_milliseconds = 15000;

/// Returns the software versions of which a stream holds events.
std::set<std::string> versionsOf(const stream_client &client)
{
    std::set<std::string> result;
    for (const auto &[number, data] : client.events)
        result.insert(data.substr(0, data.find(" of ")));
    return result;
}

} // namespace

int main(int, char **arguments)
{
    scene deployment(std::string(arguments[1]), {"edge-ridge-hall-1", "edge-osu-hall-1", "edge-tema-hall-1"});
    if (!deployment.startPlatform())
        return scene::impossible("no free addresses");
    runner &first = deployment.addRunner("i-7f3a91c2", "llm", 0);
    bool isStarted = first.start("v1");
    for (std::size_t index = 0; index < other_runner_count; ++index)
        isStarted
            = deployment.addRunner("i-" + std::to_string(70000 + 137 * index), "llm", index + 1).start("v2")
            && isStarted;
    if (!isStarted || !deployment.startNodes())
        return scene::impossible("the deployment does not start");

    // New streams begin at both versions.
    const double beganAt = secondsNow();
    std::vector<stream_client> clients(stream_count);
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < clients.size(); ++index) {
        clients[index].path = "/stream/" + std::to_string(index);
        threads.emplace_back([&deployment, &client = clients[index], index, beganAt] {
            readStream(deployment.record, client, deployment.host(index % deployment.nodeCount()),
                       "first-" + std::to_string(index), false, deadline_milliseconds,
                       beganAt + deadline_milliseconds / 1000.0);
        });
    }
    sleepSeconds(2.0);
    if (hasTrouble()) {
        first.end();
        sleepSeconds(0.5);
        if (!first.start("v2"))
            return scene::impossible("the runner does not start again");
    }
    // Clients whose streams were broken off take them up at another node, well after all nodes have read the
    // row.
    sleepSeconds(3.5);
    std::vector<std::thread> second_tries;
    for (std::size_t index = 0; index < clients.size(); ++index) {
        second_tries.emplace_back([&, index] {
            threads[index].join();
            stream_client &client = clients[index];
            if (client.isComplete || client.events.empty())
                return;
            const int left = deadline_milliseconds - static_cast<int>((secondsNow() - beganAt) * 1000.0);
            if (left > 0)
                readStream(deployment.record, client, deployment.host((index + 1) % deployment.nodeCount()),
                           "again-" + std::to_string(index), true, left,
                           beganAt + deadline_milliseconds / 1000.0);
        });
    }
    for (std::thread &each : second_tries)
        each.join();

    int begun = 0;
    int mixed = 0;
    for (const stream_client &each : clients) {
        begun += each.events.empty() ? 0 : 1;
        if (versionsOf(each).size() < 2)
            continue;
        ++mixed;
        deployment.record.add("stream " + each.requestId
                              + " holds events of two versions; the last: " + each.events.back().second);
    }
    const std::string figures = std::to_string(mixed) + " of " + std::to_string(begun)
        + " streams hold events from runners of two software versions (bound: more than two)";
    if (begun < 12)
        return scene::impossible("too few streams began");
    return mixed > 2 ? deployment.broken("ORDER: " + figures) : deployment.held("ORDER: " + figures);
}
