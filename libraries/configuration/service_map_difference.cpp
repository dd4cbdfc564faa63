#include "configuration/service_map_difference.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>
#include <string_view>

namespace ivypier::configuration {

namespace {

/// The fields of an entry in words, by name.
using field_list = std::vector<std::pair<std::string, std::string>>;

std::string text(double value)
{
    std::array<char, 32> digits{};
    const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), value);
    return std::string(digits.data(), written.ptr);
}

std::string text(duration value)
{
    return std::to_string(milliseconds(value)) + " ms";
}

const char *text(bool value)
{
    return value ? "yes" : "no";
}

const char *text(relay::call_kind kind)
{
    switch (kind) {
    case relay::call_kind::idempotent:
        return "idempotent";
    case relay::call_kind::at_most_once:
        return "at most once";
    case relay::call_kind::stream:
        return "stream";
    case relay::call_kind::resumable_stream:
        return "resumable stream";
    }
    return "";
}

std::string targetsOf(const relay::route &route)
{
    std::string result;
    for (const relay::route_target &each : route.targets)
        result += (result.empty() ? "" : ", ") + each.service
            + (route.targets.size() > 1 ? " (" + std::to_string(each.weight) + ')' : "");
    return result;
}

field_list fieldsOf(const relay::route &each)
{
    return {{"host", each.host},
            {"prefix", each.prefix},
            {"kind", text(each.kind)},
            {"timeout", text(each.timeout)},
            {"target", text(each.targetLatency)},
            {"target for gaps", text(each.targetGap)},
            {"priority", std::to_string(each.priority)},
            {"services", targetsOf(each)},
            {"attempts", std::to_string(each.attempts)},
            {"needs a key", text(each.requiresKey)}};
}

field_list fieldsOf(const relay::service &each)
{
    const relay::engine_size engine = each.engine.value_or(relay::engine_size{});
    const relay::scaling_rule scaling = each.scaling.value_or(relay::scaling_rule{});
    field_list result = {{"connections", std::to_string(each.maxConnections)},
                         {"slots", std::to_string(engine.slots)},
                         {"memory in tokens", std::to_string(engine.memoryTokens)},
                         {"upstreams at least", std::to_string(scaling.minPerDomain)},
                         {"upstreams at most", std::to_string(scaling.maxPerDomain)},
                         {"time to start", text(scaling.bootTime)},
                         {"price of reclaimable upstreams", text(scaling.reclaimablePrice)}};
    std::string prices;
    for (const auto &[domain, price] : scaling.domainPrices)
        prices += (prices.empty() ? "" : ", ") + domain + ' ' + text(price);
    result.emplace_back("prices", prices);
    return result;
}

field_list fieldsOf(const relay::client_account &each)
{
    return {{"priority", each.priority ? std::to_string(*each.priority) : "that of the route"},
            {"rate", text(each.unitsPerSecond)},
            {"burst", text(each.burst)},
            {"unit", each.countsTokens ? "token" : "call"},
            {"units without usage", text(each.unitsWithoutUsage)}};
}

field_list fieldsOf(const relay::caller_limits &each)
{
    return {{"bytes of a header", std::to_string(each.headerBytes)},
            {"bytes of a body", std::to_string(each.bodyBytes)},
            {"time for a header", text(each.headerTimeout)},
            {"idle time", text(each.idleTimeout)}};
}

std::string quotedOrNone(const std::string &value)
{
    return value.empty() ? "(none)" : value;
}

template <typename Entry>
std::string changedFields(const Entry &before, const Entry &after)
{
    const field_list former = fieldsOf(before);
    const field_list current = fieldsOf(after);
    std::string result;
    for (std::size_t index = 0; index < former.size(); ++index) {
        if (former[index].second != current[index].second)
            result += (result.empty() ? "" : "; ") + former[index].first + ' '
                + quotedOrNone(former[index].second) + " -> " + quotedOrNone(current[index].second);
    }
    return result;
}

/// Keys are secret, so they are counted and not shown.
std::string changedKeys(const relay::client_account &before, const relay::client_account &after)
{
    const std::set<std::string_view> former(before.keys.begin(), before.keys.end());
    const std::set<std::string_view> current(after.keys.begin(), after.keys.end());
    const auto lost = std::count_if(former.begin(), former.end(),
                                    [&](std::string_view each) { return !current.contains(each); });
    const auto added = std::count_if(current.begin(), current.end(),
                                     [&](std::string_view each) { return !former.contains(each); });
    std::string result;
    if (lost > 0)
        result += "loses " + std::to_string(lost) + " of " + std::to_string(former.size()) + " keys";
    if (added > 0)
        result += (result.empty() ? "" : "; ") + std::string("gets ") + std::to_string(added) + " new keys";
    return result;
}

std::string changesOf(const relay::route &before, const relay::route &after)
{
    return changedFields(before, after);
}

std::string changesOf(const relay::service &before, const relay::service &after)
{
    return changedFields(before, after);
}

std::string changesOf(const relay::client_account &before, const relay::client_account &after)
{
    const std::string fields = changedFields(before, after);
    const std::string keys = changedKeys(before, after);
    return fields + (fields.empty() || keys.empty() ? "" : "; ") + keys;
}

template <typename Entry>
std::map<std::string_view, const Entry *> byName(const std::vector<Entry> &entries)
{
    std::map<std::string_view, const Entry *> result;
    for (const Entry &each : entries)
        result.try_emplace(each.name, &each);
    return result;
}

template <typename Entry>
void compare(const char *what, const std::vector<Entry> &before, const std::vector<Entry> &after,
             std::vector<service_map_change> &to)
{
    const auto former = byName(before);
    const auto current = byName(after);
    for (const auto &[name, entry] : former) {
        const std::string label = std::string(what) + ' ' + std::string(name);
        const auto found = current.find(name);
        if (found == current.end())
            to.push_back({difference_kind::gone, label, ""});
        else if (std::string changes = changesOf(*entry, *found->second); !changes.empty())
            to.push_back({difference_kind::changed, label, std::move(changes)});
    }
    for (const auto &[name, entry] : current) {
        if (!former.contains(name))
            to.push_back({difference_kind::added, std::string(what) + ' ' + std::string(name), ""});
    }
}

} // namespace

std::vector<service_map_change> difference(const relay::service_map &before, const relay::service_map &after)
{
    std::vector<service_map_change> result;
    compare("route", before.routes, after.routes, result);
    compare("service", before.services, after.services, result);
    compare("client account", before.accounts, after.accounts, result);
    if (std::string changes = changedFields(before.limits, after.limits); !changes.empty())
        result.push_back({difference_kind::changed, "limits of callers", std::move(changes)});
    return result;
}

std::string describe(const service_map_change &change)
{
    switch (change.kind) {
    case difference_kind::added:
        return change.entry + ": added";
    case difference_kind::gone:
        return change.entry + ": gone";
    case difference_kind::changed:
        return change.entry + ": " + change.text;
    }
    return "";
}

} // namespace ivypier::configuration
