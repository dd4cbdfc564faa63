#include "relay/crash_evidence.h"

#include <algorithm>

namespace ivypier::relay {

namespace {

/// Keys of one blame. Calls have fewer parts; more are not told apart any further.
constexpr std::size_t max_blamed_keys = 8;

bool holdsAll(const crash_suspect &call, const crash_key_list &keys)
{
    return std::includes(call.keys.begin(), call.keys.end(), keys.begin(), keys.end());
}

void insertKey(crash_key_list &to, crash_key key)
{
    to.insert(std::lower_bound(to.begin(), to.end(), key), key);
}

} // namespace

crash_evidence::crash_evidence(const clock &time)
    : m_time(time)
{
}

void crash_evidence::addEnd(const upstream_end &end, const crash_key_list &answeredBefore)
{
    dropOld();
#ifdef IVYPIER_MUTANT_CRASH_COUNT
    const std::string id = end.upstream + "/" + std::to_string(m_ends.size()); // each report counts
#else
    const std::string &id = end.upstream;
#endif
    const auto [found, isNew] = m_ends.try_emplace(id, end);
    upstream_end &known = found->second;
    known.at = std::min(known.at, end.at);
    for (const crash_suspect &each : end.calls) {
        const bool isKnown = std::find(known.calls.begin(), known.calls.end(), each) != known.calls.end();
        if (!isKnown && known.calls.size() < max_calls_per_end)
            known.calls.push_back(each);
    }
    m_left.addEnd(known);
    if (m_answeredBefore.size() < max_answered_keys)
        m_answeredBefore.insert(answeredBefore.begin(), answeredBefore.end());
}

void crash_evidence::addAnswer(crash_key key, time_point beganAt, answer_evidence evidence)
{
    last_answers &last = m_answered[key];
    std::optional<time_point> &time = evidence == answer_evidence::whole ? last.whole : last.survived;
    time = std::max(time.value_or(beganAt), beganAt);
}

void crash_evidence::addLeftAnswer(crash_key key, const left_answer &answer)
{
    m_left.add(key, answer, m_ends);
}

void crash_evidence::dropOld()
{
    std::erase_if(m_ends, [this](const auto &each) { return m_time.now() - each.second.at > retention; });
    if (m_ends.size() >= max_ends) {
        const auto oldest
            = std::min_element(m_ends.begin(), m_ends.end(), [](const auto &left, const auto &right) {
                  return left.second.at < right.second.at;
              });
        m_ends.erase(oldest);
    }
    if (m_ends.empty()) {
        m_answeredBefore.clear();
        m_answered.clear();
        m_left.clear();
    }
    if (m_answered.size() > max_answered_keys)
        std::erase_if(m_answered, [this](const auto &each) { return !isSuspected(each.first); });
}

bool crash_evidence::wasAnsweredAfter(crash_key key, time_point time) const
{
    if (m_left.isOutlivedSince(key, time))
        return true;
    const auto found = m_answered.find(key);
    if (found == m_answered.end())
        return false;
    const auto &[whole, survived] = found->second;
    return (whole && *whole >= time) || (survived && *survived >= time && !endsUpstreamsLate(key));
}

bool crash_evidence::endsUpstreamsLate(crash_key key) const
{
    // Beside the call that ended an upstream, another one with the same key may have just begun, so that
    // single ends prove nothing.
    std::size_t late = 0;
    std::size_t early = 0;
    for (const auto &[upstream, end] : m_ends) {
        std::optional<duration> least; // of the calls with the key
        for (const crash_suspect &call : end.calls) {
            if (std::binary_search(call.keys.begin(), call.keys.end(), key))
                least = std::min(least.value_or(call.progress), call.progress);
        }
        if (least)
            ++(*least > max_progress_before_survival ? late : early);
    }
    return late > early;
}

bool crash_evidence::isSuspected(crash_key key) const
{
    return std::any_of(m_ends.begin(), m_ends.end(), [&](const auto &each) {
        const upstream_end &end = each.second;
        return !wasAnsweredAfter(key, end.at)
            && std::any_of(end.calls.begin(), end.calls.end(), [key](const crash_suspect &call) {
                   return std::binary_search(call.keys.begin(), call.keys.end(), key);
               });
    });
}

bool crash_evidence::isCleared(crash_key key, const std::vector<std::string> &upstreams) const
{
    const bool isEndKnown = std::any_of(upstreams.begin(), upstreams.end(),
                                        [this](const std::string &each) { return m_ends.contains(each); });
    return isEndKnown && (m_answered.contains(key) || m_left.contains(key)) && !isSuspected(key);
}

std::vector<const upstream_end *> crash_evidence::endsByTime() const
{
    end_set result;
    for (const auto &[upstream, each] : m_ends)
        result.push_back(&each);
    std::sort(result.begin(), result.end(),
              [](const upstream_end *left, const upstream_end *right) { return left->at < right->at; });
    return result;
}

std::map<crash_key, crash_evidence::end_set> crash_evidence::endsByKey(const end_set &ends) const
{
    std::map<crash_key, end_set> result;
    for (const upstream_end *end : ends) {
        for (const crash_suspect &call : end->calls) {
            for (const crash_key key : call.keys) {
                end_set &of = result[key];
                const bool isKnown = !of.empty() && of.back() == end;
                if (!isKnown && !wasAnsweredAfter(key, end->at))
                    of.push_back(end);
            }
        }
    }
    return result;
}

bool crash_evidence::isKnownAnswered(crash_key key) const
{
    if (m_answeredBefore.contains(key) || m_left.isOutlived(key))
        return true;
    const auto found = m_answered.find(key);
    return found != m_answered.end() && (found->second.whole || !endsUpstreamsLate(key));
}

std::size_t crash_evidence::eventCount(crash_key key, const end_set &ends)
{
    // One call is seldom in progress at several upstreams when these end together for another reason.
    return key.isOfCall() ? ends.size() : eventCount(ends);
}

std::size_t crash_evidence::eventCount(const end_set &ends)
{
    std::size_t count = 0;
    time_point eventStart{};
    for (const upstream_end *each : ends) {
        if (count > 0 && each->at - eventStart <= simultaneous_time)
            continue;
        eventStart = each->at;
        ++count;
    }
    return count;
}

std::size_t crash_evidence::callCount(const crash_key_list &keys, const end_set &ends)
{
    std::set<crash_key> calls;
    for (const upstream_end *end : ends) {
        for (const crash_suspect &each : end->calls) {
            if (holdsAll(each, keys))
                calls.insert(each.call);
        }
    }
    return calls.size();
}

bool crash_evidence::occurTogether(const crash_key_list &keys, const end_set &ends)
{
    return std::all_of(ends.begin(), ends.end(), [&](const upstream_end *end) {
        return std::any_of(end->calls.begin(), end->calls.end(),
                           [&](const crash_suspect &call) { return holdsAll(call, keys); });
    });
}

crash_blame crash_evidence::blameOf(crash_key_list keys, const end_set &ends) const
{
    crash_blame result;
    result.wasAnswered
        = std::all_of(keys.begin(), keys.end(), [this](crash_key each) { return isKnownAnswered(each); });
    result.calls = callCount(keys, ends);
    result.events = eventCount(keys.back(), ends);
    result.keys = std::move(keys);
    result.firstEnd = ends.front()->at;
    result.lastEnd = ends.back()->at;
    for (const upstream_end *each : ends)
        result.upstreams.push_back(each->upstream);
    return result;
}

std::vector<crash_evidence::blamed_key>
crash_evidence::strongestKeys(const end_set &ends, std::size_t minEvents, bool onlyUnanswered) const
{
    std::vector<blamed_key> result;
    std::size_t most = std::max<std::size_t>(minEvents, 1);
    for (auto &[key, keyEnds] : endsByKey(ends)) {
        const std::size_t events = eventCount(key, keyEnds);
        if (events < most || (onlyUnanswered && isKnownAnswered(key)))
            continue;
        if (events > most)
            result.clear();
        most = events;
        result.push_back({key, std::move(keyEnds)});
    }
    return result;
}

crash_key_list crash_evidence::groupOf(const blamed_key &seed, const std::vector<blamed_key> &strongest)
{
    crash_key_list result{seed.key};
#ifndef IVYPIER_MUTANT_CRASH_ALL_PARTS
    for (const blamed_key &other : strongest) {
        if (other.key == seed.key || other.ends != seed.ends || result.size() >= max_blamed_keys)
            continue;
        crash_key_list extended = result;
        insertKey(extended, other.key);
        if (occurTogether(extended, seed.ends))
            result = std::move(extended);
    }
#endif
    return result;
}

void crash_evidence::addBlames(std::vector<crash_blame> &to, end_set &unexplained, std::size_t minEvents,
                               bool onlyUnanswered) const
{
    while (to.size() < max_blames) {
        const std::vector<blamed_key> strongest = strongestKeys(unexplained, minEvents, onlyUnanswered);
        if (strongest.empty())
            return;
        std::vector<crash_blame> found;
        std::set<crash_key> grouped;
        std::set<const upstream_end *> explained;
        for (const blamed_key &each : strongest) {
            explained.insert(each.ends.begin(), each.ends.end());
            if (grouped.contains(each.key))
                continue;
            crash_key_list keys = groupOf(each, strongest);
            grouped.insert(keys.begin(), keys.end());
            found.push_back(blameOf(std::move(keys), each.ends));
        }
        for (crash_blame &each : found) {
            each.isAmbiguous = found.size() > 1;
            if (to.size() < max_blames)
                to.push_back(std::move(each));
        }
        std::erase_if(unexplained, [&](const upstream_end *each) { return explained.contains(each); });
    }
}

std::vector<crash_blame> crash_evidence::blames(std::size_t minEvents) const
{
    std::vector<crash_blame> result;
    end_set unexplained = endsByTime();
    // A key that was answered before is blamed only for what no other key explains: the first part of a
    // service occurs at each end, whatever the cause is.
    addBlames(result, unexplained, std::max(minEvents, unanswered_first_events), true);
    addBlames(result, unexplained, minEvents, false);
    return result;
}

} // namespace ivypier::relay
