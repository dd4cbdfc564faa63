// BUDGET: a request crashes each runner that runs it; the runners are back under their ids, and it is never
// held back.
#include "scene.h"

#include <algorithm>

using namespace review;

namespace {

constexpr double contact_seconds = 3.0; // `contact-ms`
constexpr double play_seconds = 30.0;
constexpr std::size_t bound = 3; // retries
constexpr int deadline_milliseconds = 3000;

} // namespace

int main(int, char **arguments)
{
    scene deployment(std::string(arguments[1]), {"edge-ridge-hall-1", "edge-osu-hall-1", "edge-tema-hall-1"});
    if (!deployment.startPlatform())
        return scene::impossible("no free addresses");
    std::mutex times;
    std::vector<double> arrivals; // of the request that crashes runners
    const std::vector<runner *> runners
        = {&deployment.addRunner("i-7f3a91c2", "app", 0), &deployment.addRunner("i-5be20d17", "app", 1)};
    for (runner *each : runners) {
        each->isCrashing = [&](const http_message &request) {
            if (!hasTrouble() || request.body != "crashes")
                return false;
            const std::lock_guard lock(times);
            arrivals.push_back(secondsNow());
            return true;
        };
        if (!each->start("v1"))
            return scene::impossible("no free addresses");
    }
    if (!deployment.startNodes())
        return scene::impossible("the deployment does not start");

    std::atomic<bool> isOver = false;
    std::atomic<int> served = 0;
    std::atomic<int> lost = 0;
    std::vector<std::thread> threads;
    for (std::size_t caller = 0; caller < 4; ++caller) {
        threads.emplace_back([&, caller] {
            for (std::size_t number = 0; !isOver; ++number) {
                const std::string id = "sound-" + std::to_string(caller) + "-" + std::to_string(number);
                const int status = deployment
                                       .sendPlain((caller + number) % deployment.nodeCount(), "/quote/" + id,
                                                  id, deadline_milliseconds, id)
                                       .status();
                ++(status == 200 ? served : lost);
                sleepSeconds(0.15);
            }
        });
    }
    const double beganAt = secondsNow();
    int sent = 0;
    while (secondsNow() - beganAt < play_seconds) {
        deployment.sendPlain(static_cast<std::size_t>(sent) % deployment.nodeCount(), "/quote/same",
                             "crashing-" + std::to_string(sent), deadline_milliseconds, "crashes");
        ++sent;
        sleepSeconds(1.0);
    }
    isOver = true;
    for (std::thread &each : threads)
        each.join();
    for (runner *each : runners)
        each->finishRestart();

    const std::lock_guard lock(times);
    std::size_t late = 0;
    for (const double each : arrivals)
        late += arrivals.size() > bound && each > arrivals[2] + contact_seconds ? 1 : 0;
    const std::string figures = std::to_string(late) + " of " + std::to_string(sent)
        + " sendings of the request reached runners later than 3 s after it had crashed the third (bound: "
        + std::to_string(bound) + "); " + std::to_string(lost.load()) + " of "
        + std::to_string(lost.load() + served.load()) + " sound requests were not served";
    return late > bound ? deployment.broken("BUDGET: " + figures) : deployment.held("BUDGET: " + figures);
}
