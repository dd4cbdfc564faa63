#include "configuration/account_checks.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace ivypier::configuration {

namespace {

std::string formatNumber(double value)
{
    constexpr int digits = 6;
    std::array<char, 32> text{};
    const auto written
        = std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::general, digits);
    return std::string(text.data(), written.ptr);
}

/// Returns the calls a second that the upstreams of all services run, or nothing if a service has no bound.
std::optional<double> callsPerSecond(const relay::service_map &content)
{
    std::unordered_map<std::string_view, duration> targets; // the shortest of each service
    for (const relay::route &each : content.routes) {
        for (const relay::route_target &target : each.targets) {
            if (each.targetLatency <= duration::zero())
                return std::nullopt;
            const auto found = targets.try_emplace(target.service, each.targetLatency).first;
            found->second = std::min(found->second, each.targetLatency);
        }
    }
    double result = 0.0;
    for (const relay::service &each : content.services) {
        const auto target = targets.find(each.name);
        if (target == targets.end())
            continue;
        if (!each.scaling || each.scaling->maxPerDomain == 0 || each.scaling->domainPrices.empty())
            return std::nullopt;
        const double upstreams = static_cast<double>(each.scaling->maxPerDomain)
            * static_cast<double>(each.scaling->domainPrices.size());
        const double calls = each.engine ? each.engine->slots : each.maxConnections;
        result += upstreams * calls / seconds(target->second);
    }
    return result > 0.0 ? std::optional(result) : std::nullopt;
}

} // namespace

void account_checks::findEqualNames(const relay::service_map &content, const check_options &,
                                    check_report &report)
{
    std::unordered_set<std::string_view> known;
    for (std::size_t index = 0; index < content.accounts.size(); ++index) {
        if (!known.insert(content.accounts[index].name).second)
            report.add({checked_field::account, index},
                       "client account \"" + content.accounts[index].name + "\" is there already");
    }
}

void account_checks::findWithoutKeys(const relay::service_map &content, const check_options &,
                                     check_report &report)
{
    for (std::size_t index = 0; index < content.accounts.size(); ++index) {
        if (content.accounts[index].keys.empty())
            report.add({checked_field::account, index},
                       "client account \"" + content.accounts[index].name
                           + "\" has no key, so no call belongs to it");
    }
}

void account_checks::findSharedKeys(const relay::service_map &content, const check_options &,
                                    check_report &report)
{
    std::unordered_map<std::string_view, std::size_t> owners;
    for (std::size_t index = 0; index < content.accounts.size(); ++index) {
        const relay::client_account &each = content.accounts[index];
        for (std::size_t key = 0; key < each.keys.size(); ++key) {
            const auto [owner, isNew] = owners.try_emplace(each.keys[key], index);
            // Keys are secret, so the text does not contain them.
            if (!isNew)
                report.add({checked_field::account_key, index, key},
                           "the key of client account \"" + each.name + "\" belongs to \""
                               + content.accounts[owner->second].name + "\" already");
        }
    }
}

void account_checks::findBurstsBelowCall(const relay::service_map &content, const check_options &,
                                         check_report &report)
{
    for (std::size_t index = 0; index < content.accounts.size(); ++index) {
        const relay::client_account &each = content.accounts[index];
        const double call = each.countsTokens ? each.unitsWithoutUsage : 1.0;
        if (each.unitsPerSecond > 0.0 && each.burst < call)
            report.add({checked_field::account_burst, index},
                       "client account \"" + each.name + "\" has a burst of " + formatNumber(each.burst)
                           + ", and a call takes " + formatNumber(call));
    }
}

void account_checks::findLimitsOverCapacity(const relay::service_map &content, const check_options &,
                                            check_report &report)
{
    const std::optional<double> capacity = callsPerSecond(content);
    if (!capacity)
        return;
    double sum = 0.0;
    std::size_t largest = 0;
    double largestRate = 0.0;
    for (std::size_t index = 0; index < content.accounts.size(); ++index) {
        const relay::client_account &each = content.accounts[index];
        if (each.countsTokens)
            continue;
        sum += each.unitsPerSecond;
        if (each.unitsPerSecond > largestRate) {
            largest = index;
            largestRate = each.unitsPerSecond;
        }
    }
    if (sum > max_limit_ratio * *capacity)
        report.add({checked_field::account_rate, largest},
                   "the limits of client accounts add up to " + formatNumber(sum)
                       + " calls a second, and all upstreams run about " + formatNumber(*capacity)
                       + "; the largest is that of \"" + content.accounts[largest].name + '"');
}

} // namespace ivypier::configuration
