#include "relay/origin_search.h"

#include <algorithm>
#include <utility>

namespace ivypier::relay {

origin_search::origin_search(stream_origins &origins, service_versions &versions,
                             const std::optional<stream_key> &stream, completion done)
    : m_origins(origins)
    , m_versions(versions)
    , m_stream(stream)
    , m_done(std::move(done))
{
}

void origin_search::start(stream_origins &origins, service_versions &versions,
                          const std::optional<stream_key> &stream, const std::string &service,
                          const std::vector<route_target> &targets, completion done)
{
    const std::shared_ptr<origin_search> search(
        new origin_search(origins, versions, stream, std::move(done)));
    if (!stream) {
        search->applyMemory({.isComplete = true}, service, targets);
        return;
    }
    origins.find(*stream, [search, service, targets](const origin_lookup &found) {
        search->applyMemory(found, service, targets);
    });
}

void origin_search::applyMemory(const origin_lookup &found, const std::string &service,
                                const std::vector<route_target> &targets)
{
    m_found = found;
    ++m_awaited;
    if (!found.origin && !found.isConflicting) {
        // A proof of a single version makes the stored records unnecessary, so they are read at the same time
        // only if there can't be one.
        if (std::any_of(targets.begin(), targets.end(),
                        [this](const route_target &each) { return m_versions.mayHaveSeveral(each.service); }))
            findStored();
        if (targets.size() == 1 && m_done) {
            ++m_awaited;
            m_versions.findOnlyVersion(service, [self = shared_from_this()](const version_lookup &versions) {
                self->applyVersions(versions);
            });
        }
    }
    --m_awaited;
    completeIfKnown();
}

void origin_search::findStored()
{
    if (!m_stream || std::exchange(m_isStoredStarted, true))
        return;
    ++m_awaited;
    m_origins.findStored(
        *m_stream, [self = shared_from_this()](const origin_lookup &found) { self->applyStored(found); });
    if (!m_done)
        return;
    // Read at the same time, because a slow platform would make the caller wait for both.
    ++m_awaited;
    m_origins.findDeviation(*m_stream, [self = shared_from_this()](const deviation_lookup &found) {
        self->applyDeviation(found);
    });
}

void origin_search::applyStored(const origin_lookup &found)
{
    --m_awaited;
    m_found = merged(m_found, found);
    m_found.isStored = found.origin.has_value();
    completeIfKnown();
}

void origin_search::applyDeviation(const deviation_lookup &found)
{
    --m_awaited;
    m_foundDeviation = found;
    m_found.isComplete = m_found.isComplete && found.isComplete;
    completeIfKnown();
}

void origin_search::applyVersions(const version_lookup &found)
{
    m_foundVersions = found;
    if (!found.onlyVersion && m_done)
        findStored();
    --m_awaited;
    completeIfKnown();
}

void origin_search::applySelection()
{
    // A restore between the two reads may have removed the deviation.
#ifdef IVYPIER_MUTANT_DEVIATION_IGNORED
    const bool isAbsent = m_stream.has_value();
#else
    const bool isAbsent = m_foundDeviation.isComplete && !m_foundDeviation.isFound;
#endif
    if (!isAbsent || m_foundDeviation.era != m_foundVersions.era)
        return;
    m_foundVersions.selectedVersion = m_foundVersions.slots.provenVersion(*m_stream, m_foundVersions.readAt);
}

void origin_search::completeIfKnown()
{
    const bool isKnown = m_found.origin || m_found.isConflicting || m_foundVersions.onlyVersion;
    if (m_awaited > 0 && !isKnown)
        return;
    if (const completion done = std::exchange(m_done, nullptr)) {
        applySelection();
        done(m_found, m_foundVersions);
    }
}

} // namespace ivypier::relay
