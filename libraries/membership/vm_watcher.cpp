#include "membership/vm_watcher.h"

#include <algorithm>

namespace ivypier::membership {

namespace {

constexpr std::string_view leaving_prefix = "leaving/";
constexpr const char *self_reported = "own word"; ///< value when the upstream itself announced leaving
constexpr double list_reads_per_second = 50.0; ///< by the whole fleet
constexpr double notice_reads_per_second = 100.0; ///< by the whole fleet
constexpr duration min_poll_interval = std::chrono::seconds(1);

std::string leavingKey(const endpoint &upstream)
{
    return std::string(leaving_prefix) + upstream.text();
}

/// Returns the address in the key of a `leaving/<address>` fact.
std::optional<endpoint> parseLeavingKey(const fact &update)
{
    if (!update.key.starts_with(leaving_prefix))
        return std::nullopt;
    const outcome<endpoint> address
        = endpoint::parse(std::string_view(update.key).substr(leaving_prefix.size()));
    return address ? std::optional(address.value()) : std::nullopt;
}

} // namespace

vm_watcher::vm_watcher(vm_watcher_dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

void vm_watcher::start()
{
    pollVms();
    pollNotices();
}

const std::vector<cloud::vm_record> &vm_watcher::vms() const
{
    return m_vms;
}

void vm_watcher::setNamedUpstreams(std::map<std::string, endpoint> upstreams)
{
    m_namedUpstreams = std::move(upstreams);
}

void vm_watcher::reportLeaving(const endpoint &upstream)
{
    const std::optional<fact> known = m_dependencies.members.findFact(leavingKey(upstream));
    if (!known || known->value.empty())
        publishLeaving(upstream, self_reported);
}

void vm_watcher::onVmsChanged(std::function<void()> observer)
{
    m_vmObservers.push_back(std::move(observer));
}

void vm_watcher::onPlatformResponse(std::function<void()> observer)
{
    m_responseObservers.push_back(std::move(observer));
}

std::optional<endpoint> vm_watcher::leavingUpstream(const fact &update)
{
    return update.value.empty() ? std::nullopt : parseLeavingKey(update);
}

std::optional<endpoint> vm_watcher::replacedUpstream(const fact &update)
{
    return update.value.empty() ? parseLeavingKey(update) : std::nullopt;
}

void vm_watcher::pollVms()
{
    m_dependencies.cloud.listVms([this](const outcome<std::vector<cloud::vm_record>> &listed) {
        if (listed)
            applyVms(listed.value());
        m_dependencies.tasks.after(interval(list_reads_per_second), [this] { pollVms(); });
    });
}

void vm_watcher::pollNotices()
{
    m_dependencies.cloud.listNotices("", [this](const outcome<std::vector<cloud::reclaim_notice>> &notices) {
        if (notices)
            applyNotices(notices.value());
        m_dependencies.tasks.after(interval(notice_reads_per_second), [this] { pollNotices(); });
    });
}

duration vm_watcher::interval(double fleetReadsPerSecond) const
{
    const double fleetInterval = static_cast<double>(m_dependencies.fleetSize()) / fleetReadsPerSecond;
    const double mean = std::max(seconds(min_poll_interval), fleetInterval);
    return fromSeconds(mean * (0.5 + m_dependencies.randomness.uniform()));
}

void vm_watcher::applyVms(std::vector<cloud::vm_record> listed)
{
    for (const auto &observer : m_responseObservers)
        observer();
    for (const cloud::vm_record &each : listed) {
        if (each.state == cloud::vm_state::leaving)
            publishLeaving(each.address, each.id);
        else
            withdrawLeaving(each);
    }
    if (listed == m_vms)
        return;
    m_vms = std::move(listed);
    for (const auto &observer : m_vmObservers)
        observer();
}

void vm_watcher::applyNotices(const std::vector<cloud::reclaim_notice> &notices)
{
    for (const auto &observer : m_responseObservers)
        observer();
    m_noticedVms.clear();
    for (const cloud::reclaim_notice &each : notices) {
        m_noticedVms.insert(each.vm);
        if (const std::optional<endpoint> address = findAddress(each.vm))
            publishLeaving(*address, each.vm);
    }
}

void vm_watcher::publishLeaving(const endpoint &upstream, const std::string &vm)
{
    const std::optional<fact> known = m_dependencies.members.findFact(leavingKey(upstream));
    if (known && known->value == vm)
        return;
    m_dependencies.members.publish({leavingKey(upstream), known ? known->version + 1 : 1, vm});
}

void vm_watcher::withdrawLeaving(const cloud::vm_record &live)
{
    const std::optional<fact> known = m_dependencies.members.findFact(leavingKey(live.address));
    if (!known || known->value.empty() || known->value == live.id || known->value == self_reported)
        return;
    // The list lags: it may still show the VM that had the address before the leaving one. Notices don't lag,
    // so only a VM that they no longer name is really gone.
    if (m_noticedVms.contains(known->value) || m_noticedVms.contains(live.id))
        return;
    m_dependencies.members.publish({known->key, known->version + 1, ""});
}

std::optional<endpoint> vm_watcher::findAddress(const std::string &vm) const
{
    const auto listed = std::find_if(m_vms.begin(), m_vms.end(),
                                     [&](const cloud::vm_record &each) { return each.id == vm; });
    if (listed != m_vms.end())
        return listed->address;
    const auto named = m_namedUpstreams.find(vm);
    return named == m_namedUpstreams.end() ? std::nullopt : std::optional(named->second);
}

} // namespace ivypier::membership
