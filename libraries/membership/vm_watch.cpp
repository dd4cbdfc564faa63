#include "membership/vm_watch.h"

#include <algorithm>

namespace ivypier::membership {

namespace {

constexpr std::string_view leaving_prefix = "leaving/";
constexpr const char *own_word = "own word"; ///< the value when the upstream said so itself
constexpr double list_reads_per_second = 50.0; ///< of the fleet
constexpr double notice_reads_per_second = 100.0; ///< of the fleet
constexpr duration shortest_interval = std::chrono::seconds(1);

std::string keyOf(const endpoint &upstream)
{
    return std::string(leaving_prefix) + upstream.text();
}

/// The address in the key of a `leaving/<address>` fact.
std::optional<endpoint> upstreamOf(const fact &news)
{
    if (!news.key.starts_with(leaving_prefix))
        return std::nullopt;
    const outcome<endpoint> address
        = endpoint::parse(std::string_view(news.key).substr(leaving_prefix.size()));
    return address ? std::optional(address.value()) : std::nullopt;
}

} // namespace

vm_watch::vm_watch(vm_watch_parts parts)
    : m_parts(std::move(parts))
{
}

void vm_watch::start()
{
    pollVms();
    pollNotices();
}

const std::vector<cloud::vm_record> &vm_watch::vms() const
{
    return m_vms;
}

void vm_watch::setNamedUpstreams(std::map<std::string, endpoint> upstreams)
{
    m_named = std::move(upstreams);
}

void vm_watch::reportLeaving(const endpoint &upstream)
{
    const std::optional<fact> known = m_parts.members.findFact(keyOf(upstream));
    if (!known || known->value.empty())
        publishLeaving(upstream, own_word);
}

void vm_watch::onVmsChanged(std::function<void()> observer)
{
    m_vmObservers.push_back(std::move(observer));
}

void vm_watch::onPlatformAnswered(std::function<void()> observer)
{
    m_answerObservers.push_back(std::move(observer));
}

std::optional<endpoint> vm_watch::leavingUpstream(const fact &news)
{
    return news.value.empty() ? std::nullopt : upstreamOf(news);
}

std::optional<endpoint> vm_watch::replacedUpstream(const fact &news)
{
    return news.value.empty() ? upstreamOf(news) : std::nullopt;
}

void vm_watch::pollVms()
{
    m_parts.cloud.listVms([this](const outcome<std::vector<cloud::vm_record>> &listed) {
        if (listed)
            takeVms(listed.value());
        m_parts.tasks.after(interval(list_reads_per_second), [this] { pollVms(); });
    });
}

void vm_watch::pollNotices()
{
    m_parts.cloud.listNotices("", [this](const outcome<std::vector<cloud::reclaim_notice>> &notices) {
        if (notices)
            takeNotices(notices.value());
        m_parts.tasks.after(interval(notice_reads_per_second), [this] { pollNotices(); });
    });
}

duration vm_watch::interval(double fleetReadsPerSecond) const
{
    const double fair = static_cast<double>(m_parts.fleetSize()) / fleetReadsPerSecond;
    const double mean = std::max(seconds(shortest_interval), fair);
    return fromSeconds(mean * (0.5 + m_parts.randomness.uniform()));
}

void vm_watch::takeVms(std::vector<cloud::vm_record> listed)
{
    for (const auto &observer : m_answerObservers)
        observer();
    for (const cloud::vm_record &each : listed) {
        if (each.state == cloud::vm_state::leaving)
            publishLeaving(each.address, each.id);
        else
            takeBack(each);
    }
    if (listed == m_vms)
        return;
    m_vms = std::move(listed);
    for (const auto &observer : m_vmObservers)
        observer();
}

void vm_watch::takeNotices(const std::vector<cloud::reclaim_notice> &notices)
{
    for (const auto &observer : m_answerObservers)
        observer();
    m_noticed.clear();
    for (const cloud::reclaim_notice &each : notices) {
        m_noticed.insert(each.vm);
        if (const std::optional<endpoint> address = addressOf(each.vm))
            publishLeaving(*address, each.vm);
    }
}

void vm_watch::publishLeaving(const endpoint &upstream, const std::string &vm)
{
    const std::optional<fact> known = m_parts.members.findFact(keyOf(upstream));
    if (known && known->value == vm)
        return;
    m_parts.members.publish({keyOf(upstream), known ? known->version + 1 : 1, vm});
}

void vm_watch::takeBack(const cloud::vm_record &live)
{
    const std::optional<fact> known = m_parts.members.findFact(keyOf(live.address));
    if (!known || known->value.empty() || known->value == live.id || known->value == own_word)
        return;
    // The list lags: it may still show the VM before the one that leaves. Only a VM that the notices, which
    // don't lag, no longer name has really gone.
    if (m_noticed.contains(known->value) || m_noticed.contains(live.id))
        return;
    m_parts.members.publish({known->key, known->version + 1, ""});
}

std::optional<endpoint> vm_watch::addressOf(const std::string &vm) const
{
    const auto listed = std::find_if(m_vms.begin(), m_vms.end(),
                                     [&](const cloud::vm_record &each) { return each.id == vm; });
    if (listed != m_vms.end())
        return listed->address;
    const auto named = m_named.find(vm);
    return named == m_named.end() ? std::nullopt : std::optional(named->second);
}

} // namespace ivypier::membership
