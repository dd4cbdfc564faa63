#include "price_trace.h"

#include "base/json.h"
#include "base/random_source.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace ivypier::measure {

namespace {

using cloud::vm_kind;

constexpr double seconds_per_hour = 3600.0;
constexpr int generated_hours = 48;
constexpr double hours_per_day = 24.0;
constexpr double night_requests_per_second = 6.0;
constexpr double noon_requests_per_second = 40.0;
constexpr double cents_per_unit = 100.0;

double roundToCents(double value)
{
    return std::round(value * cents_per_unit) / cents_per_unit;
}

std::vector<double> parseNumbers(const Json::Value &list)
{
    std::vector<double> numbers;
    for (const Json::Value &each : list)
        numbers.push_back(each.asDouble());
    return numbers;
}

Json::Value toJsonArray(const std::vector<double> &numbers)
{
    Json::Value list(Json::arrayValue);
    for (const double each : numbers)
        list.append(roundToCents(each));
    return list;
}

} // namespace

double price_trace::hours() const
{
    return static_cast<double>(requestsPerSecond.size()) * stepSeconds / seconds_per_hour;
}

double price_trace::demandAt(double atSeconds) const
{
    const auto index = static_cast<std::size_t>(atSeconds / stepSeconds);
    return requestsPerSecond[std::min(index, requestsPerSecond.size() - 1)];
}

double price_trace::priceAt(const placement::vm_type &type, double atSeconds) const
{
    const std::vector<double> &prices = pricesPerHour.at(type);
    const auto index = static_cast<std::size_t>(atSeconds / seconds_per_hour);
    return prices[std::min(index, prices.size() - 1)];
}

std::string price_trace::encode() const
{
    Json::Value json(Json::objectValue);
    json["step_seconds"] = stepSeconds;
    json["requests_per_second"] = toJsonArray(requestsPerSecond);
    json["prices"] = Json::Value(Json::arrayValue);
    for (const auto &[type, prices] : pricesPerHour) {
        Json::Value entry(Json::objectValue);
        entry["failure_domain"] = type.failureDomain;
        entry["machine_class"] = type.machineClass;
        entry["kind"] = std::string(cloud::name(type.kind));
        entry["per_hour"] = toJsonArray(prices);
        json["prices"].append(entry);
    }
    json["waves"] = Json::Value(Json::arrayValue);
    for (const reclaim_wave &each : waves) {
        Json::Value entry(Json::objectValue);
        entry["at_seconds"] = each.atSeconds;
        entry["failure_domain"] = each.failureDomain;
        entry["part"] = each.fraction;
        entry["refused_seconds"] = each.refusedSeconds;
        json["waves"].append(entry);
    }
    return writeJson(json);
}

outcome<price_trace> price_trace::decode(const std::string &text)
{
    const outcome<Json::Value> json = parseJson(text);
    if (!json)
        return json.error();
    price_trace trace;
    trace.stepSeconds = numberMember(json.value(), "step_seconds", 0.0);
    trace.requestsPerSecond = parseNumbers(json.value()["requests_per_second"]);
    for (const Json::Value &each : json.value()["prices"]) {
        const bool onDemand = stringMember(each, "kind") == cloud::name(vm_kind::on_demand);
        trace.pricesPerHour[{stringMember(each, "failure_domain"), stringMember(each, "machine_class"),
                             onDemand ? vm_kind::on_demand : vm_kind::reclaimable}]
            = parseNumbers(each["per_hour"]);
    }
    for (const Json::Value &each : json.value()["waves"])
        trace.waves.push_back({numberMember(each, "at_seconds", 0.0), stringMember(each, "failure_domain"),
                               numberMember(each, "part", 0.0), numberMember(each, "refused_seconds", 0.0)});
    if (trace.stepSeconds <= 0.0 || trace.requestsPerSecond.empty() || trace.pricesPerHour.empty())
        return error{error_code::invalid_argument, "the trace has no demand or no prices"};
    return trace;
}

price_trace price_trace::generate(std::uint64_t seed)
{
    seeded_random randomness(seed);
    price_trace trace;
    const auto steps = static_cast<std::size_t>(generated_hours * seconds_per_hour / trace.stepSeconds);
    double noise = 0.0;
    for (std::size_t step = 0; step < steps; ++step) {
        const double hour
            = std::fmod(static_cast<double>(step) * trace.stepSeconds / seconds_per_hour, hours_per_day);
        const double day = std::max(0.0, std::sin((hour - 6.0) / 12.0 * std::numbers::pi));
        noise = noise * 0.8 + (randomness.uniform() - 0.5) * 0.08;
        const double burst = randomness.uniform() < 0.01 ? 1.25 : 1.0;
        trace.requestsPerSecond.push_back(
            (night_requests_per_second + (noon_requests_per_second - night_requests_per_second) * day)
            * (1.0 + noise) * burst);
    }
    for (const char *domain : {"ridge-hall", "osu-hall", "tema-hall"}) {
        for (const auto &[machineClass, price] : {std::pair("small", 1.0), std::pair("large", 2.1)}) {
            trace.pricesPerHour[{domain, machineClass, vm_kind::on_demand}]
                = std::vector<double>(generated_hours, price);
            double fraction = 0.3 + 0.2 * randomness.uniform();
            for (int hour = 0; hour < generated_hours; ++hour) {
                fraction = std::clamp(fraction * std::exp((randomness.uniform() - 0.5) * 0.3)
                                          + (0.4 - fraction) * 0.1,
                                      0.25, 0.8);
                trace.pricesPerHour[{domain, machineClass, vm_kind::reclaimable}].push_back(price * fraction);
            }
        }
    }
    trace.waves = {{7.5 * seconds_per_hour, "", 0.41, 900.0},
                   {12.2 * seconds_per_hour, "osu-hall", 1.0, 2700.0},
                   {22.0 * seconds_per_hour, "", 0.41, 900.0},
                   {35.0 * seconds_per_hour, "ridge-hall", 1.0, 2700.0},
                   {36.5 * seconds_per_hour, "", 0.41, 900.0}};
    return trace;
}

} // namespace ivypier::measure
