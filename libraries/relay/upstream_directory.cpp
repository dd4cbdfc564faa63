#include "relay/upstream_directory.h"

#include "base/log_event.h"

#include <algorithm>
#include <set>
#include <utility>

namespace ivypier::relay {

namespace {

/// How long it is remembered that an upstream drained and was removed, or started again. A store that is
/// restored from a copy of before may list it once more, until its row expires.
constexpr duration left_retention = std::chrono::seconds(60);
/// How long the software version of an upstream is remembered that is not listed any more, and may come back
/// with a row that can't be read whole.
constexpr duration software_version_retention = std::chrono::minutes(10);

} // namespace

duration upstream::waitLeft(time_point now) const
{
#ifdef IVYPIER_MUTANT_STATED_WAIT
    return duration::zero();
#endif
    if (now < waitUntil)
        return waitUntil - now;
    return resumeLimit > 0 && awaitingAnswer >= resumeLimit ? resume_retry_interval : duration::zero();
}

upstream_directory::upstream_directory(const clock &time)
    : m_time(time)
{
}

void upstream_directory::put(const upstream_record &record)
{
    if (hasLeft(record.id))
        return;
    removeFormerIncarnation(record);
    auto [found, isNew] = m_upstreams.try_emplace(record.id);
    upstream &each = found->second;
    if (const auto wait = m_waits.extract(record.id); !wait.empty())
        startWait(each, wait.mapped());
    const bool wasDraining = !isNew && each.record.draining;
    const bool startsDraining = record.draining && !wasDraining;
    if (isNew || startsDraining || each.record.service != record.service
        || each.record.failureDomain != record.failureDomain)
        ++m_revision;
    each.record = record;
    each.record.softwareVersion = softwareVersionOf(record);
    // An incarnation that drains ends: a row that states otherwise is older.
    each.record.draining = record.draining || wasDraining;
    if (!isNew && !startsDraining)
        return;
    log_event(log_level::info, startsDraining ? "upstream.draining" : "upstream.added")
        .with("id", record.id)
        .with("service", record.service)
        .with("address", record.address.text())
        .with("failure_domain", record.failureDomain)
        .with("software", each.record.softwareVersion)
        .with("started_ms", record.startedAt)
        .write();
    for (const auto &observer : m_unavailableObservers) {
        if (startsDraining)
            observer(record);
    }
}

bool upstream_directory::hasLeft(const std::string &id) const
{
    const auto found = m_left.find(id);
    return found != m_left.end() && m_time.now() - found->second <= left_retention;
}

void upstream_directory::removeFormerIncarnation(const upstream_record &record)
{
    const auto [listed, isNew] = m_listedIncarnations.try_emplace(record.stableName(), record.id);
    if (isNew || listed->second == record.id)
        return;
    const std::string former = std::exchange(listed->second, record.id);
    log_event(log_level::info, "upstream.restarted")
        .with("id", record.id)
        .with("former", former)
        .with("service", record.service)
        .with("started_ms", record.startedAt)
        .write();
    // The new start has ended it, so it can not be listed again.
    if (const auto found = m_upstreams.find(former); found != m_upstreams.end())
        found->second.record.draining = true;
    remove(former);
    m_left[former] = m_time.now();
}

std::string upstream_directory::softwareVersionOf(const upstream_record &record)
{
    known_version &known = m_softwareVersions[record.id];
    if (known.version.empty())
        known.version = record.softwareVersion;
    known.listedAt = m_time.now();
    return known.version;
}

void upstream_directory::remove(const std::string &id)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    const upstream_record record = found->second.record;
    // The row may come back, as may that of an upstream that answers after its row is gone.
    m_waits[id] = found->second.waitUntil;
    m_softwareVersions[id].listedAt = m_time.now();
    m_upstreams.erase(found);
    if (const auto listed = m_listedIncarnations.find(record.stableName());
        listed != m_listedIncarnations.end() && listed->second == id)
        m_listedIncarnations.erase(listed);
    ++m_revision;
    forgetLeft();
    if (record.draining)
        m_left[id] = m_time.now();
    log_event(log_level::info, "upstream.removed").with("id", id).with("service", record.service).write();
    for (const auto &observer : m_unavailableObservers)
        observer(record);
}

void upstream_directory::forgetLeft()
{
    std::erase_if(m_left, [&](const auto &each) { return m_time.now() - each.second > left_retention; });
    std::erase_if(m_waits, [&](const auto &each) { return m_time.now() >= each.second; });
    std::erase_if(m_softwareVersions, [&](const auto &each) {
        return !m_upstreams.contains(each.first)
            && m_time.now() - each.second.listedAt > software_version_retention;
    });
}

void upstream_directory::replaceAll(const std::vector<upstream_record> &records)
{
    std::set<std::string> listed;
    for (const upstream_record &each : records) {
        listed.insert(each.id);
        put(each);
    }
    std::vector<std::string> gone;
    for (const auto &[id, each] : m_upstreams) {
        if (!listed.contains(id))
            gone.push_back(id);
    }
    for (const std::string &each : gone)
        remove(each);
}

const upstream *upstream_directory::find(const std::string &id) const
{
    const auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

const upstream *upstream_directory::findByName(const std::string &name) const
{
    const auto found = m_listedIncarnations.find(name);
    return found == m_listedIncarnations.end() ? nullptr : find(found->second);
}

const upstream *upstream_directory::findByAddress(const endpoint &address) const
{
    const auto found = std::find_if(m_upstreams.begin(), m_upstreams.end(), [&](const auto &each) {
        return each.second.record.address == address && !each.second.record.draining;
    });
    return found == m_upstreams.end() ? nullptr : &found->second;
}

std::vector<const upstream *> upstream_directory::ready(const std::string &service) const
{
    std::vector<const upstream *> result;
    for (const auto &[id, each] : m_upstreams) {
        if (each.record.service == service && !each.record.draining)
            result.push_back(&each);
    }
    return result;
}

std::vector<const upstream *> upstream_directory::all() const
{
    std::vector<const upstream *> result;
    for (const auto &[id, each] : m_upstreams)
        result.push_back(&each);
    return result;
}

void upstream_directory::recordCallStart(const std::string &id, std::uint64_t pendingPrefillTokens)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    ++found->second.running;
    ++found->second.awaitingAnswer;
    found->second.pendingPrefillTokens += pendingPrefillTokens;
}

void upstream_directory::recordPrefill(const std::string &id, std::uint64_t tokens)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    found->second.pendingPrefillTokens -= std::min(found->second.pendingPrefillTokens, tokens);
}

void upstream_directory::recordCallEnd(const std::string &id, std::uint64_t pendingPrefillTokens)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end() || found->second.running == 0)
        return;
    --found->second.running;
    found->second.awaitingAnswer -= std::min(found->second.awaitingAnswer, 1U);
    recordPrefill(id, pendingPrefillTokens);
}

void upstream_directory::recordSuccess(const std::string &id)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    upstream &each = found->second;
    each.consecutiveFailures = 0;
    each.ejectedUntil = {};
    each.resumeLimit = each.resumeLimit >= last_resume_limit ? 0 : 2 * each.resumeLimit;
    each.awaitingAnswer -= std::min(each.awaitingAnswer, 1U);
}

void upstream_directory::recordFailure(const std::string &id)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    upstream &each = found->second;
    if (++each.consecutiveFailures < ejection_failure_threshold)
        return;
    const std::uint32_t times = std::min(each.consecutiveFailures - ejection_failure_threshold, 4U);
    const duration pause = std::min<duration>(min_ejection_time * (1U << times), max_ejection_time);
    each.ejectedUntil = m_time.now() + pause;
    log_event(log_level::warning, "upstream.set_aside")
        .with("id", id)
        .with("failures", static_cast<std::int64_t>(each.consecutiveFailures))
        .with("for_ms", milliseconds(pause))
        .write();
}

void upstream_directory::recordEnd(const std::string &id)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    setUnconfirmed(found->second);
    for (const auto &observer : m_endObservers)
        observer(id);
}

void upstream_directory::recordToldEnd(const std::string &id)
{
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end() && found->second.running == 0 && !found->second.isUnconfirmed())
        setUnconfirmed(found->second);
}

void upstream_directory::setUnconfirmed(upstream &each) const
{
    each.endedAt = m_time.now();
    each.renewals = 0;
    log_event(log_level::info, "upstream.unconfirmed").with("id", each.record.id).write();
}

void upstream_directory::confirm(const std::string &id)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end() || !found->second.endedAt)
        return;
    const duration sinceEnd = m_time.now() - *found->second.endedAt;
    if (sinceEnd < max_row_delay || ++found->second.renewals < confirming_rows)
        return;
    found->second.endedAt.reset();
    log_event(log_level::info, "upstream.confirmed")
        .with("id", id)
        .with("after_ms", milliseconds(sinceEnd))
        .write();
}

void upstream_directory::onEnded(std::function<void(const std::string &)> observer)
{
    m_endObservers.push_back(std::move(observer));
}

void upstream_directory::recordStatement(const std::string &id, const upstream_statement &statement)
{
    const auto found = m_upstreams.find(id);
    const time_point waitUntil = m_time.now() + statement.wait.value_or(duration::zero());
    if (found == m_upstreams.end()) {
        m_waits[id] = std::max(m_waits[id], waitUntil);
        if (statement.isLeaving)
            m_left[id] = m_time.now();
        forgetLeft();
        return;
    }
    upstream &each = found->second;
    if (statement.wait)
        startWait(each, waitUntil);
    if (each.stated != statement) {
        each.stated = statement;
        log_event(statement.unreadable.empty() ? log_level::info : log_level::warning, "upstream.stated")
            .with("id", id)
            .with("leaving", statement.isLeaving ? "yes" : "no")
            .with("wait_ms", milliseconds(statement.wait.value_or(duration::zero())))
            .with("calls_per_second", statement.callsPerSecond.value_or(0.0))
            .with("unreadable", statement.unreadable)
            .write();
    }
#ifndef IVYPIER_MUTANT_STATED_LEAVING
    if (statement.isLeaving)
        markDraining(id);
#endif
}

void upstream_directory::startWait(upstream &of, time_point until)
{
    of.waitUntil = std::max(of.waitUntil, until);
    of.resumeLimit = first_resume_limit;
    of.awaitingAnswer = 0;
}

void upstream_directory::markDraining(const std::string &id)
{
    const upstream *known = find(id);
    if (!known) {
        m_left[id] = m_time.now(); // its row may arrive later than what another node tells
        forgetLeft();
        return;
    }
    if (known->record.draining)
        return;
    upstream_record drained = known->record;
    drained.draining = true;
    put(drained);
}

void upstream_directory::onUnavailable(std::function<void(const upstream_record &)> observer)
{
    m_unavailableObservers.push_back(std::move(observer));
}

} // namespace ivypier::relay
