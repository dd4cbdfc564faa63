#include "benchmark_result.h"

#include "base/json.h"

#include <array>
#include <cstdio>

namespace ivypier::replay {

namespace {

std::string formatNumber(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.4g", value);
    return text.data();
}

std::string targetText(const benchmark_result &result)
{
    if (!result.target)
        return "";
    return (result.target->kind == target_kind::at_most ? "<= " : ">= ") + formatNumber(result.target->bound);
}

std::string padTo(std::string text, std::size_t width)
{
    text.resize(std::max(text.size() + 1, width), ' ');
    return text;
}

std::string formatRow(const std::string &experiment, const std::string &trace, const std::string &variant,
                      const std::string &metric, const std::string &value, const std::string &target,
                      const std::string &verdict)
{
    std::string text = padTo(experiment, 12) + padTo(trace, 18) + padTo(variant, 34) + padTo(metric, 34)
        + padTo(value, 11) + padTo(target, 10) + verdict;
    text.erase(text.find_last_not_of(' ') + 1);
    return text + '\n';
}

} // namespace

bool benchmark_result::meetsTarget() const
{
    if (!target)
        return true;
    return target->kind == target_kind::at_most ? value <= target->bound : value >= target->bound;
}

std::string textTable(const std::vector<benchmark_result> &results)
{
    std::string text = formatRow("experiment", "trace", "variant", "metric", "value", "target", "");
    for (const benchmark_result &each : results) {
        const std::string verdict = !each.target ? "" : each.meetsTarget() ? "met" : "MISSED";
        text += formatRow(each.experiment, each.trace, each.variant, each.metric, formatNumber(each.value),
                          targetText(each), verdict);
    }
    return text;
}

std::string jsonTable(const std::vector<benchmark_result> &results)
{
    Json::Value json(Json::arrayValue);
    for (const benchmark_result &each : results) {
        Json::Value entry(Json::objectValue);
        entry["experiment"] = each.experiment;
        entry["trace"] = each.trace;
        entry["variant"] = each.variant;
        entry["metric"] = each.metric;
        entry["value"] = each.value;
        if (each.target) {
            entry["target"] = targetText(each);
            entry["met"] = each.meetsTarget();
        }
        json.append(entry);
    }
    return writeJson(json) + '\n';
}

} // namespace ivypier::replay
