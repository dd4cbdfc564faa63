#include "figure.h"

#include "base/json.h"

#include <array>
#include <cstdio>

namespace ivypier::replay {

namespace {

std::string number(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.4g", value);
    return text.data();
}

std::string targetText(const figure &of)
{
    if (!of.target)
        return "";
    return (of.target->kind == target_kind::at_most ? "<= " : ">= ") + number(of.target->bound);
}

std::string padded(std::string text, std::size_t width)
{
    text.resize(std::max(text.size() + 1, width), ' ');
    return text;
}

std::string line(const std::string &experiment, const std::string &trace, const std::string &variant,
                 const std::string &metric, const std::string &value, const std::string &target,
                 const std::string &verdict)
{
    std::string text = padded(experiment, 12) + padded(trace, 18) + padded(variant, 34) + padded(metric, 34)
        + padded(value, 11) + padded(target, 10) + verdict;
    text.erase(text.find_last_not_of(' ') + 1);
    return text + '\n';
}

} // namespace

bool figure::isMet() const
{
    if (!target)
        return true;
    return target->kind == target_kind::at_most ? value <= target->bound : value >= target->bound;
}

std::string textTable(const std::vector<figure> &figures)
{
    std::string text = line("experiment", "trace", "variant", "metric", "value", "target", "");
    for (const figure &each : figures) {
        const std::string verdict = !each.target ? "" : each.isMet() ? "met" : "MISSED";
        text += line(each.experiment, each.trace, each.variant, each.metric, number(each.value),
                     targetText(each), verdict);
    }
    return text;
}

std::string jsonTable(const std::vector<figure> &figures)
{
    Json::Value json(Json::arrayValue);
    for (const figure &each : figures) {
        Json::Value entry(Json::objectValue);
        entry["experiment"] = each.experiment;
        entry["trace"] = each.trace;
        entry["variant"] = each.variant;
        entry["metric"] = each.metric;
        entry["value"] = each.value;
        if (each.target) {
            entry["target"] = targetText(each);
            entry["met"] = each.isMet();
        }
        json.append(entry);
    }
    return writeJson(json) + '\n';
}

} // namespace ivypier::replay
