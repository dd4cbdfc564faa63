#include "live_comparison.h"

#include "base/status_codes.h"

#include "http/client.h"
#include "replay_result.h"

#include <chrono>
#include <future>

namespace ivypier::replay {

namespace {

constexpr double milliseconds_per_second = 1000.0;
constexpr unsigned warm_up_calls = 50;

constexpr result_target median_target{target_kind::at_most, 0.5};
constexpr result_target p99_target{target_kind::at_most, 2.0};

http::request makeRequest(const live_comparison &comparison, const std::string &path)
{
    http::request message{.method = "POST", .path = path};
    message.headers["Content-Type"] = "application/json";
    message.headers["Authorization"] = "Bearer " + comparison.accountKey;
    message.headers["Ivypier-Repeatable"] = "true";
    message.body = comparison.body;
    return message;
}

/// Sends one call and returns its latency in milliseconds.
outcome<double> measureCall(http::client &transport, const endpoint &to, http::request message)
{
    std::promise<outcome<http::response>> completed;
    const auto begin = std::chrono::steady_clock::now();
    transport.send(to, std::move(message), {},
                   [&completed](outcome<http::response> answer) { completed.set_value(std::move(answer)); });
    const outcome<http::response> answer = completed.get_future().get();
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    if (!answer)
        return answer.error();
    if (answer.value().status != status_ok)
        return error{error_code::interrupted,
                     to.text() + " answered " + std::to_string(answer.value().status) + ": "
                         + answer.value().body};
    return seconds(elapsed) * milliseconds_per_second;
}

} // namespace

outcome<std::vector<benchmark_result>> compareLiveCalls(const live_comparison &comparison)
{
    http::client transport;
    std::vector<double> direct;
    std::vector<double> relayed;
    for (unsigned number = 0; number < comparison.count + warm_up_calls; ++number) {
        const auto directCall
            = measureCall(transport, comparison.upstream, makeRequest(comparison, comparison.path));
        if (!directCall)
            return directCall.error();
        const auto relayedCall
            = measureCall(transport, comparison.node,
                          makeRequest(comparison, "/v1/services/" + comparison.service + comparison.path));
        if (!relayedCall)
            return relayedCall.error();
        if (number < warm_up_calls)
            continue;
        direct.push_back(directCall.value());
        relayed.push_back(relayedCall.value());
    }
    std::vector<benchmark_result> result;
    const auto add = [&](const std::string &variant, double fraction, const std::string &metric, double value,
                         std::optional<result_target> target) {
        result.push_back({"node", comparison.service, variant,
                          metric + (fraction < 0.9 ? " p50 ms" : " p99 ms"), value, target});
    };
    for (const double fraction : {0.5, 0.99}) {
        const double directTime = quantile(direct, fraction);
        const double relayedTime = quantile(relayed, fraction);
        add("direct", fraction, "call", directTime, std::nullopt);
        add("through a node", fraction, "call", relayedTime, std::nullopt);
        add("through a node", fraction, "added", relayedTime - directTime,
            fraction < 0.9 ? median_target : p99_target);
    }
    return result;
}

} // namespace ivypier::replay
