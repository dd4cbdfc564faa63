#include "live_pairs.h"

#include "base/status_codes.h"

#include "http/client.h"
#include "replay_result.h"

#include <chrono>
#include <future>

namespace ivypier::replay {

namespace {

constexpr double milliseconds_per_second = 1000.0;
constexpr unsigned warm_up_calls = 50;

constexpr figure_target median_target{target_kind::at_most, 0.5};
constexpr figure_target p99_target{target_kind::at_most, 2.0};

http::request callOf(const live_pairs &wanted, const std::string &path)
{
    http::request message{.method = "POST", .path = path};
    message.headers["Content-Type"] = "application/json";
    message.headers["Authorization"] = "Bearer " + wanted.accountKey;
    message.headers["Ivypier-Repeatable"] = "true";
    message.body = wanted.body;
    return message;
}

/// Milliseconds that one call takes.
outcome<double> timeOf(http::client &transport, const endpoint &to, http::request message)
{
    std::promise<outcome<http::response>> answered;
    const auto begin = std::chrono::steady_clock::now();
    transport.send(to, std::move(message), {},
                   [&answered](outcome<http::response> answer) { answered.set_value(std::move(answer)); });
    const outcome<http::response> answer = answered.get_future().get();
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

outcome<std::vector<figure>> measurePairs(const live_pairs &wanted)
{
    http::client transport;
    std::vector<double> direct;
    std::vector<double> through;
    for (unsigned number = 0; number < wanted.count + warm_up_calls; ++number) {
        const auto one = timeOf(transport, wanted.upstream, callOf(wanted, wanted.path));
        if (!one)
            return one.error();
        const auto other
            = timeOf(transport, wanted.node, callOf(wanted, "/v1/services/" + wanted.service + wanted.path));
        if (!other)
            return other.error();
        if (number < warm_up_calls)
            continue;
        direct.push_back(one.value());
        through.push_back(other.value());
    }
    std::vector<figure> result;
    const auto add = [&](const std::string &variant, double fraction, const std::string &metric, double value,
                         std::optional<figure_target> target) {
        result.push_back({"node", wanted.service, variant, metric + (fraction < 0.9 ? " p50 ms" : " p99 ms"),
                          value, target});
    };
    for (const double fraction : {0.5, 0.99}) {
        const double directTime = quantile(direct, fraction);
        const double throughTime = quantile(through, fraction);
        add("direct", fraction, "call", directTime, std::nullopt);
        add("through a node", fraction, "call", throughTime, std::nullopt);
        add("through a node", fraction, "added", throughTime - directTime,
            fraction < 0.9 ? median_target : p99_target);
    }
    return result;
}

} // namespace ivypier::replay
