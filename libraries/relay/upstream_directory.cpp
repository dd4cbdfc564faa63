#include "relay/upstream_directory.h"

#include "base/log_event.h"

#include <algorithm>
#include <set>

namespace ivypier::relay {

upstream_directory::upstream_directory(const clock &time)
    : m_time(time)
{
}

void upstream_directory::put(const upstream_record &record)
{
    auto [found, isNew] = m_upstreams.try_emplace(record.id);
    upstream &each = found->second;
    const bool leaves = record.draining && (isNew || !each.record.draining);
    each.record = record;
    if (!isNew && !leaves)
        return;
    log_event(log_level::info, leaves ? "upstream.draining" : "upstream.added")
        .with("id", record.id)
        .with("service", record.service)
        .with("address", record.address.text())
        .with("failure_domain", record.failureDomain)
        .write();
    for (const auto &observer : m_leavingObservers) {
        if (leaves)
            observer(record);
    }
}

void upstream_directory::remove(const std::string &id)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    const upstream_record record = found->second.record;
    m_upstreams.erase(found);
    log_event(log_level::info, "upstream.removed").with("id", id).with("service", record.service).write();
    for (const auto &observer : m_leavingObservers)
        observer(record);
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

void upstream_directory::callBegins(const std::string &id, std::uint64_t unreadTokens)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    ++found->second.running;
    found->second.unreadTokens += unreadTokens;
}

void upstream_directory::promptRead(const std::string &id, std::uint64_t tokens)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    found->second.unreadTokens -= std::min(found->second.unreadTokens, tokens);
}

void upstream_directory::callEnds(const std::string &id, std::uint64_t unreadTokens)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end() || found->second.running == 0)
        return;
    --found->second.running;
    promptRead(id, unreadTokens);
}

void upstream_directory::succeeded(const std::string &id)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    found->second.failuresInRow = 0;
    found->second.setAsideUntil = {};
}

void upstream_directory::failed(const std::string &id)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    upstream &each = found->second;
    if (++each.failuresInRow < failures_until_set_aside)
        return;
    const std::uint32_t times = std::min(each.failuresInRow - failures_until_set_aside, 4U);
    const duration pause = std::min<duration>(least_set_aside * (1U << times), most_set_aside);
    each.setAsideUntil = m_time.now() + pause;
    log_event(log_level::warning, "upstream.set_aside")
        .with("id", id)
        .with("failures", static_cast<std::int64_t>(each.failuresInRow))
        .with("for_ms", milliseconds(pause))
        .write();
}

void upstream_directory::onLeaving(std::function<void(const upstream_record &)> observer)
{
    m_leavingObservers.push_back(std::move(observer));
}

} // namespace ivypier::relay
