#include "relay/stream_resumption.h"

#include "base/log_event.h"
#include "relay/origin_search.h"

#include <algorithm>
#include <utility>

namespace ivypier::relay {

namespace {

/// How long the origin of a stream is kept if the caller does not state how long it waits.
constexpr duration default_resumption_time = std::chrono::minutes(2);
/// The caller's time counts from when it sent the call, and its last try may arrive late.
constexpr duration resumption_margin = std::chrono::seconds(2);
/// A deviation is kept for this long at least. Without it, a stream of a caller that came back later than it
/// stated would be taken for one that began at the selected version.
constexpr duration min_deviation_time = std::chrono::minutes(2);

} // namespace

stream_resumption::stream_resumption(call_environment &environment, const call &request, std::string account)
    : m_environment(environment)
    , m_call(request)
    , m_account(std::move(account))
{
}

void stream_resumption::find(const std::weak_ptr<const void> &owner, const std::string &service,
                             const std::vector<route_target> &targets, completion done)
{
    std::optional<stream_key> stream;
    if (!m_call.resumedCall.empty())
        stream = stream_key::of(m_account, m_call.resumedCall);
    origin_search::start(m_environment.origins, m_environment.versions, stream, service, targets,
                         [this, owner, targets, done = std::move(done)](const origin_lookup &found,
                                                                        const version_lookup &versions) {
                             if (const auto alive = owner.lock())
                                 applyLookups(targets, found, versions, done);
                         });
}

void stream_resumption::applyLookups(const std::vector<route_target> &targets, const origin_lookup &found,
                                     const version_lookup &versions, const completion &done)
{
    const resumption_decision decision = decideResumption(found, versions, targets);
    if (!decision.origin) {
        logRefusal(decision, found, versions);
        done(decision);
        return;
    }
    m_origin = decision.origin;
    m_source = decision.knownBy;
    m_age = found.age;
    // The nodes that held the record may have started again since, and the caller may come back once more,
    // when the proof of a single version may no longer hold.
    if (!m_call.resumedCall.empty())
        m_environment.origins.record(stream_key::of(m_account, m_call.resumedCall), *m_origin,
                                     resumptionTime());
    done(decision);
}

void stream_resumption::logRefusal(const resumption_decision &decision, const origin_lookup &found,
                                   const version_lookup &versions) const
{
    log_event(log_level::info, "stream.refused")
        .with("request", m_call.id)
        .with("resumes", m_call.resumedCall)
        .with("reason", decision.reason)
        .with("all_replied", found.isComplete ? "yes" : "no")
        .with("conflicting", found.isConflicting ? "yes" : "no")
        .with("versions", static_cast<std::int64_t>(versions.versionCount))
        .write();
}

void stream_resumption::record(const stream_origin &origin, bool isResumable)
{
    m_origin = origin;
    if (isResumable)
        m_environment.origins.record(stream_key::of(m_account, m_call.id), origin, resumptionTime());
}

std::optional<std::string> stream_resumption::selectedVersion(const std::string &service) const
{
    if (m_origin || m_isDeviationStored)
        return std::nullopt;
    return m_environment.versions.selectedVersion(service, stream_key::of(m_account, m_call.id));
}

void stream_resumption::storeDeviation(const std::weak_ptr<const void> &owner, std::function<void()> onStored)
{
    m_environment.origins.storeDeviation(stream_key::of(m_account, m_call.id),
                                         std::max(resumptionTime(), min_deviation_time),
                                         [this, owner, onStored = std::move(onStored)] {
                                             const auto alive = owner.lock();
                                             if (!alive || std::exchange(m_isDeviationStored, true))
                                                 return;
                                             onStored();
                                         });
}

void stream_resumption::logContinuation(const upstream_record &at, std::uint64_t lastEvent,
                                        bool isInOneAnswer) const
{
    log_event(log_level::info, "stream.continued")
        .with("request", m_call.id)
        .with("resumes", m_call.resumedCall)
        .with("in_one_answer", isInOneAnswer ? "yes" : "no")
        .with("after_event", static_cast<std::int64_t>(lastEvent))
        .with("upstream", at.id)
        .with("software", at.softwareVersion)
        .with("began_at", m_origin ? m_origin->upstream : std::string())
        .with("began_software", m_origin ? m_origin->softwareVersion : std::string())
        .with("known_by", m_source)
        .with("age_ms", milliseconds(m_age))
        .write();
}

duration stream_resumption::resumptionTime() const
{
    const duration resumableFor = m_call.callerTimeout
        ? m_call.receivedAt + *m_call.callerTimeout - m_environment.tasks.now()
        : default_resumption_time;
    return std::max<duration>(resumableFor, duration::zero()) + resumption_margin;
}

} // namespace ivypier::relay
