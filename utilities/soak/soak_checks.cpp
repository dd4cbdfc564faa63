#include "soak_checks.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace ivypier::soak {

namespace {

using callers_by_id = std::map<std::string, const caller_record *>;

void add(soak_result &to, const char *rule, std::string text)
{
    to.findings.push_back({rule, std::move(text)});
}

/// UNASKED, TWICE and REFUSED: what upstreams ran against what callers were told.
void checkRuns(const callers_by_id &callers, const std::vector<upstream_record> &upstreams,
               soak_result &result)
{
    std::map<std::string, std::size_t> runs;
    for (const upstream_record &each : upstreams) {
        if (!each.isRefused)
            ++runs[each.request];
    }
    for (const auto &[id, count] : runs) {
        const auto found = callers.find(id);
        if (found == callers.end()) {
            add(result, "UNASKED", id + " ran, and no caller sent it");
            continue;
        }
        const caller_record &caller = *found->second;
        if (caller.type == call_type::at_most_once && count > 1)
            add(result, "TWICE", id + " ran " + std::to_string(count) + " times");
        const bool saysNotRun = caller.status == 503 || caller.status == 429;
        if (caller.type == call_type::at_most_once && saysNotRun)
            add(result, "REFUSED", id + " was answered " + std::to_string(caller.status) + " and ran");
    }
}

/// MIXED and ORDER: what callers received.
void checkAnswer(const caller_record &caller, soak_result &result)
{
    if (caller.status != 200)
        return;
    const bool isPlain = caller.type != call_type::stream;
    if (isPlain && caller.isWhole && caller.answer != "answer to " + caller.body)
        add(result, "MIXED", caller.id + " got \"" + caller.answer + "\"");
    std::uint64_t last = caller.lastEvent;
    for (const std::uint64_t each : caller.events) {
        if (each != last + 1)
            add(result, "ORDER",
                caller.id + ": event " + std::to_string(each) + " after " + std::to_string(last));
        last = each;
    }
}

/// ORDER: no stream has events of two software versions.
void checkVersions(const callers_by_id &callers, const std::vector<upstream_record> &upstreams,
                   soak_result &result)
{
    std::map<std::string, std::set<std::string>> versions; // by first call
    for (const upstream_record &each : upstreams) {
        const auto found = callers.find(each.request);
        if (found != callers.end() && found->second->type == call_type::stream && !each.isRefused
            && !found->second->events.empty())
            versions[found->second->first].insert(each.version);
    }
    for (const auto &[first, seen] : versions) {
        if (seen.size() > 1)
            add(result, "ORDER", first + " went on at another software version");
    }
}

/// LOST: calls of calm spells are served.
void checkCalm(const std::vector<caller_record> &callers, soak_result &result)
{
    std::map<std::int64_t, std::pair<std::size_t, std::size_t>> spells; // calls, served
    for (const caller_record &each : callers) {
        if (each.isCrashing() || !fault_schedule::isCalm(each.sentAt, contact_time)
            || !fault_schedule::isCalm(each.endedAt, contact_time))
            continue;
        auto &[calls, served] = spells[each.sentAt / (2 * fault_schedule::spell_length)];
        ++calls;
        served += each.status == 200 && each.isWhole ? 1 : 0;
    }
    for (const auto &[number, counts] : spells) {
        const auto &[calls, served] = counts;
        result.calmCalls += calls;
        result.calmServed += served;
        if (static_cast<double>(served) < min_calm_share * static_cast<double>(calls))
            add(result, "LOST",
                "calm spell " + std::to_string(number) + ": " + std::to_string(served) + " of "
                    + std::to_string(calls) + " calls were served");
    }
}

/// BUDGET: few requests that crash upstreams reach them once that is known.
void checkCrashes(const callers_by_id &callers, const std::vector<upstream_record> &upstreams,
                  const fault_schedule &schedule, soak_result &result)
{
    for (std::size_t number = 0; number < schedule.faults.size(); ++number) {
        const fault &each = schedule.faults[number];
        const bool isPart = each.kind == fault_kind::crashing_part;
        std::vector<duration> arrivals;
        for (const upstream_record &received : upstreams) {
            const auto found = callers.find(received.request);
            if (found != callers.end() && found->second->crashingFault == number)
                arrivals.push_back(received.at);
        }
        std::sort(arrivals.begin(), arrivals.end());
        const std::size_t bound = isPart ? part_bound_ends : call_bound_ends;
        if (arrivals.size() <= bound)
            continue;
        const duration from = arrivals[bound - 1] + contact_time;
        const auto late = std::count_if(arrivals.begin(), arrivals.end(), [&](duration at) {
            return at > from && fault_schedule::isCalm(at, contact_time);
        });
        if (static_cast<std::size_t>(late) > max_late_crashes)
            add(result, "BUDGET",
                std::to_string(late) + " requests of " + nameOf(each.kind) + " at "
                    + std::to_string(milliseconds(each.at)) + " ms came late");
    }
}

} // namespace

soak_result checkRecords(const std::vector<caller_record> &callers,
                         const std::vector<upstream_record> &upstreams, const fault_schedule &schedule)
{
    soak_result result;
    callers_by_id byId;
    for (const caller_record &each : callers) {
        byId[each.id] = &each;
        ++result.calls;
        result.served += each.status == 200 && each.isWhole ? 1 : 0;
        result.resumed += each.first != each.id && each.status == 200 ? 1 : 0;
        checkAnswer(each, result);
    }
    for (const upstream_record &each : upstreams)
        result.crashingRequests += each.isCrashing ? 1 : 0;
    checkRuns(byId, upstreams, result);
    checkVersions(byId, upstreams, result);
    checkCalm(callers, result);
    checkCrashes(byId, upstreams, schedule, result);
    return result;
}

} // namespace ivypier::soak
