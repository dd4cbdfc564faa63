#include "relay/upstream_choice.h"

#include "relay/return_time.h"

#include <algorithm>

namespace ivypier::relay {

namespace {

/// Callers refused because of a wait are told to return at a random time up to this long after its end.
constexpr duration return_spread = std::chrono::milliseconds(500);

} // namespace

upstream_choice::upstream_choice(call_environment &environment, const call &request, const route &matched)
    : m_environment(environment)
    , m_call(request)
    , m_route(matched)
{
}

bool upstream_choice::canServe(const upstream_record &candidate,
                               const std::optional<stream_origin> &origin) const
{
    if (origin)
        return origin->canContinueAt(candidate);
    return m_route.kind != call_kind::resumable_stream || m_environment.versions.mayBeginAt(candidate);
}

bool upstream_choice::isVersionNeeded(const std::vector<const upstream *> &ready,
                                      const std::optional<stream_origin> &origin) const
{
    if (m_route.kind != call_kind::resumable_stream)
        return false;
#ifdef IVYPIER_MUTANT_UNCONFIRMED_VERSION
    return false;
#endif
    // A new stream may begin at an unknown version if there is no other; it goes on only where it began.
    return origin || std::any_of(ready.begin(), ready.end(), [](const upstream *each) {
               return !each->isUnconfirmed();
           });
}

void upstream_choice::exclude(const std::string &id, std::optional<duration> returnAfter)
{
    m_excluded.insert(id);
    if (returnAfter)
        m_returnAfter = std::min(m_returnAfter.value_or(*returnAfter), *returnAfter);
}

void upstream_choice::excludeUnavailable(const std::string &service,
                                         const std::optional<stream_origin> &origin)
{
    const std::vector<const upstream *> ready = m_environment.upstreams.ready(service);
    const bool needsVersion = isVersionNeeded(ready, origin);
    for (const upstream *each : ready) {
        if (!canServe(each->record, origin) || (needsVersion && each->isUnconfirmed())) {
            exclude(each->record.id);
            continue;
        }
        const duration wait = each->waitLeft(m_environment.tasks.now());
        // Other calls' refusals say nothing about a continuation, for which permits are kept.
        const auto refusal = origin ? std::nullopt : m_environment.permits.knownRefusal(each->record.id);
        if (wait == duration::zero() && !refusal)
            continue;
        exclude(each->record.id,
                std::max(refusal ? refusal->returnAfter : duration::zero(),
                         wait + fromSeconds(seconds(return_spread) * m_environment.randomness.uniform())));
    }
}

void upstream_choice::excludeUntilPermit(const std::string &id, const permit_decision &refusal)
{
    exclude(id, refusal.returnAfter);
    if (!m_waitedFor.contains(id))
        m_permitsAt[id] = m_environment.tasks.now() + refusal.nextPermit;
}

const upstream *upstream_choice::takeSoonest(duration patience)
{
    const time_point latest = m_environment.tasks.now() + patience;
    const upstream *soonest = nullptr;
    for (const auto &[id, permitAt] : m_permitsAt) {
        const upstream *each = m_environment.upstreams.find(id);
        if (!each || each->record.draining || permitAt > latest)
            continue;
        if (!soonest || permitAt < m_permitsAt.at(soonest->record.id))
            soonest = each;
    }
    if (soonest) {
        m_permitsAt.erase(soonest->record.id);
        m_waitedFor.insert(soonest->record.id);
    }
    return soonest;
}

void upstream_choice::recordSent(const std::string &id)
{
    m_isSent = true;
    exclude(id);
}

bool upstream_choice::isTargetAlone(const std::string &service) const
{
    const delivery::version_filter filter = m_environment.rollouts->gate().withoutTarget(service);
    if (filter.orderVersion == 0)
        return false;
    bool hasTarget = false;
    for (const upstream *each : m_environment.upstreams.all()) {
        if (each->record.service != service)
            continue;
        if (each->record.softwareVersion != filter.targetVersion)
            return false;
        hasTarget = true;
    }
    return hasTarget;
}

delivery::version_filter upstream_choice::filterFor(const std::string &service,
                                                    const std::optional<stream_origin> &origin)
{
    if (!m_environment.rollouts)
        return {};
    // The platform stops the old upstreams only when a rollout was completed. A node that has just started
    // knows the order before it hears of the completion.
    if (isTargetAlone(service))
        return {};
    delivery::rollout_gate &gate = m_environment.rollouts->gate();
    if (origin) {
        // A stream stays at the version that began it, also at the target of a rollout, unless that was
        // rolled back.
        delivery::version_filter result = gate.withoutTarget(service);
        if (result.orderVersion != 0)
            result.excluded.erase(result.targetVersion);
        return result;
    }
    if (m_isSent)
        return gate.withoutTarget(service);
    // A call takes its part of the share once, however many upstreams refuse it before it is sent.
    if (!m_admitted || m_admittedService != service) {
        m_admitted = gate.admit(service);
        m_admittedService = service;
    }
    // The version may have been rolled back while the call waited for a permit.
    const std::set<std::string> excluded = gate.excludedVersions(service);
    const bool isWithdrawn
        = std::any_of(m_admitted->only.begin(), m_admitted->only.end(),
                      [&](const std::string &version) { return excluded.contains(version); });
    if (isWithdrawn)
        m_admitted = gate.withoutTarget(service);
    return *m_admitted;
}

bool upstream_choice::mayStillUse(const upstream_record &chosen, const std::optional<stream_origin> &origin)
{
    if (!m_environment.rollouts || isTargetAlone(chosen.service))
        return true;
    if (origin)
        return filterFor(chosen.service, origin).mayUse(chosen.softwareVersion);
    return m_environment.rollouts->gate().mayUse(chosen.service, chosen.softwareVersion);
}

const upstream *upstream_choice::select(const std::string &service, const delivery::version_filter &filter,
                                        version_reserve reserve) const
{
    reserve.closed.insert(m_excluded.begin(), m_excluded.end());
    if (!filter.only.empty() || !filter.excluded.empty()) {
        for (const upstream *each : m_environment.upstreams.ready(service)) {
            if (!filter.mayUse(each->record.softwareVersion))
                reserve.closed.insert(each->record.id);
        }
    }
    const std::optional<std::string> id
        = m_environment.selector.select({&m_route, &m_call, service, reserve.closed, reserve.avoided});
    return id ? m_environment.upstreams.find(*id) : nullptr;
}

version_reserve upstream_choice::reserved(const std::string &service,
                                          const std::optional<stream_origin> &origin) const
{
    if (origin)
        return {};
    std::vector<const upstream *> ready = m_environment.upstreams.ready(service);
    if (m_environment.rollouts) {
        // The few upstreams of a target are not scarce: the gate decides on the calls that they get.
        const delivery::version_filter filter = m_environment.rollouts->gate().withoutTarget(service);
        if (filter.orderVersion != 0)
            std::erase_if(ready, [&](const upstream *each) {
                return each->record.softwareVersion == filter.targetVersion;
            });
    }
    return reservedForResumption(ready, [this](const upstream &each) {
        return upstream_occupancy{m_environment.selector.loadOf(each),
                                  m_environment.permits.isNeeded(each.record.id)};
    });
}

bool upstream_choice::hasUpstreamOf(const std::string &service, const std::string &version) const
{
    const std::vector<const upstream *> ready = m_environment.upstreams.ready(service);
    return std::any_of(ready.begin(), ready.end(), [&](const upstream *each) {
        return each->record.softwareVersion == version && !m_excluded.contains(each->record.id)
            && !each->isEjected(m_environment.tasks.now());
    });
}

bool upstream_choice::hasOtherVersion(const std::string &service, const std::string &selected) const
{
    const std::vector<const upstream *> ready = m_environment.upstreams.ready(service);
    return std::any_of(ready.begin(), ready.end(),
                       [&](const upstream *each) { return each->record.softwareVersion != selected; });
}

/// Adds the upstreams that are nearly full to those that are closed.
version_reserve upstream_choice::withRoom(const std::string &service, version_reserve reserve) const
{
    reserve.closed.merge(reserve.avoided);
    for (const upstream *each : m_environment.upstreams.ready(service)) {
        if (m_environment.selector.loadOf(*each) >= avoided_scarce_load * each->record.slots)
            reserve.closed.insert(each->record.id);
    }
    return reserve;
}

const upstream *upstream_choice::selectPreferring(const std::string &selected, const std::string &service,
                                                  const delivery::version_filter &filter,
                                                  const version_reserve &reserve) const
{
    delivery::version_filter atSelected = filter;
    atSelected.only = {selected};
    const bool maySelect = filter.mayUse(selected);
    const bool mayDeviate = !m_environment.origins.areDeviationsLate();
    const version_reserve room = withRoom(service, reserve);
    if (const upstream *found = maySelect ? select(service, atSelected, room) : nullptr)
        return found;
    if (const upstream *found = mayDeviate ? select(service, filter, room) : nullptr)
        return found;
    if (const upstream *found = maySelect ? select(service, atSelected, reserve) : nullptr)
        return found;
    return mayDeviate ? select(service, filter, reserve) : nullptr;
}

const upstream *upstream_choice::choose(const std::string &service,
                                        const std::optional<stream_origin> &origin,
                                        const std::optional<std::string> &selected)
{
    excludeUnavailable(service, origin);
    const version_reserve reserve = reserved(service, origin);
    const delivery::version_filter filter = filterFor(service, origin);
    const bool prefersSelected = selected && hasOtherVersion(service, *selected);
    m_wasBoundToSelected = prefersSelected && m_environment.origins.areDeviationsLate();
    const auto selectBy = [&](const delivery::version_filter &wanted) {
        return prefersSelected ? selectPreferring(*selected, service, wanted, reserve)
                               : select(service, wanted, reserve);
    };
    const upstream *chosen = selectBy(filter);
    if (!chosen && !filter.only.empty()) // the versions that are wanted have no upstream now
        chosen = selectBy(m_environment.rollouts->gate().withoutTarget(service));
    if (!chosen && !reserve.closed.empty()) {
        const duration soon = spreadReturn(m_environment.randomness, retry_after_base);
        m_returnAfter = std::min(m_returnAfter.value_or(soon), soon);
    }
    return chosen;
}

} // namespace ivypier::relay
