#include "relay/version_register.h"

#include "base/log_event.h"

#include <algorithm>

namespace ivypier::relay {

namespace {

constexpr std::string_view row_prefix = "versions/";

std::string joined(const std::set<std::string> &texts)
{
    std::string result;
    for (const std::string &each : texts)
        result.append(result.empty() ? "" : ",").append(each.empty() ? "?" : each);
    return result;
}

/// Returns the numbers of slots that follow one another with the same version, for the log.
std::string described(const version_slots &slots)
{
    std::string result;
    for (const version_slots::run &each : slots.runs())
        result.append(result.empty() ? "" : ",")
            .append(std::to_string(each.length))
            .append(" ")
            .append(each.version.empty() ? "?" : each.version);
    return result;
}

} // namespace

version_register::version_register(scheduler &tasks, random_source &randomness, cloud::table_service &table,
                                   const upstream_directory &upstreams,
                                   std::function<std::int64_t()> wallMilliseconds)
    : m_tasks(tasks)
    , m_random(randomness)
    , m_table(table)
    , m_upstreams(upstreams)
    , m_wallMilliseconds(std::move(wallMilliseconds))
    , m_startedAt(tasks.now())
{
}

std::string version_register::keyOf(const std::string &service)
{
    return std::string(row_prefix) + service;
}

void version_register::start()
{
    m_table.list(std::string(row_prefix), [this](const outcome<std::vector<cloud::table_row>> &rows) {
        if (!rows) {
            log_event(log_level::info, "versions.read_failed").with("reason", rows.error().message).write();
            return;
        }
        for (const cloud::table_row &each : rows.value())
            applyRow(each.key.substr(row_prefix.size()), each);
    });
}

void version_register::setServices(std::set<std::string> services)
{
    m_services = std::move(services);
}

void version_register::setSelectionFollowed(bool isFollowed)
{
    m_isSelectionFollowed = isFollowed;
}

void version_register::onRowRead(row_handler handler)
{
    m_onRowRead = std::move(handler);
}

void version_register::applyRow(const std::string &service, const cloud::table_row &row)
{
    service_state &state = m_states[service];
    if (row.version <= state.rowVersion)
        return;
    const outcome<version_row> decoded = version_row::decode(row.value);
    if (!decoded) {
        log_event(log_level::error, "versions.unreadable")
            .with("service", service)
            .with("reason", decoded.error().message)
            .write();
        return;
    }
    state.row = decoded.value();
    state.rowVersion = row.version;
    state.rowKnownAt = m_tasks.now();
    log_event(log_level::info, "versions.listed")
        .with("service", service)
        .with("versions", joined(state.row.versions))
        .with("row_version", static_cast<std::int64_t>(row.version))
        .with("era", static_cast<std::int64_t>(state.row.era))
        .with("slots", described(state.row.slots))
        .write();
    if (m_onRowRead)
        m_onRowRead(service, row.version, row.value);
}

void version_register::applyAnnouncement(const std::string &service, std::uint64_t rowVersion,
                                         const std::string &text)
{
    applyRow(service, {keyOf(service), rowVersion, text});
}

bool version_register::mayBeginAt(const upstream_record &upstream) const
{
#ifdef IVYPIER_MUTANT_VERSION_LISTING
    return true;
#endif
    const auto found = m_states.find(upstream.service);
    return found != m_states.end() && found->second.row.versions.contains(upstream.softwareVersion);
}

std::optional<std::string> version_register::selectedVersion(const std::string &service,
                                                             const stream_key &stream) const
{
    const auto found = m_states.find(service);
    return found == m_states.end() ? std::nullopt : found->second.row.slots.selectedVersion(stream);
}

std::map<std::string, std::set<std::string>> version_register::listed() const
{
    std::map<std::string, std::set<std::string>> result;
    for (const auto &[service, state] : m_states)
        result[service] = state.row.versions;
    return result;
}

bool version_register::hasSeveral(const service_state &state)
{
    std::set<std::string> versions = state.row.versions;
    for (const auto &[version, seenAt] : state.seenAt)
        versions.insert(version);
    return versions.size() > 1;
}

bool version_register::mayHaveSeveral(const std::string &service) const
{
    const auto found = m_states.find(service);
    return found == m_states.end() || found->second.rowVersion == 0 || found->second.row.era != m_table.era()
        || hasSeveral(found->second);
}

std::set<std::string> version_register::servicesWithSeveral() const
{
    std::set<std::string> result;
    for (const auto &[service, state] : m_states) {
        if (hasSeveral(state))
            result.insert(service);
    }
    return result;
}

void version_register::noteUpstreams(service_state &state, const std::string &service) const
{
    for (const upstream *each : m_upstreams.all()) {
        if (each->record.service != service)
            continue;
        state.seenAt[each->record.softwareVersion] = m_tasks.now();
        state.firstSeenAt.try_emplace(each->record.softwareVersion, m_tasks.now());
    }
    std::erase_if(state.seenAt, [&](const auto &each) {
        return m_tasks.now() - each.second > version_retention && !state.row.versions.contains(each.first);
    });
    std::erase_if(state.firstSeenAt, [&](const auto &each) { return !state.seenAt.contains(each.first); });
    // A listed version counts as seen when this node learns of it.
    for (const std::string &each : state.row.versions)
        state.seenAt.try_emplace(each, m_tasks.now());
    noteCapacities(state, service);
}

std::set<std::string> version_register::expiredVersions(const service_state &state) const
{
    std::set<std::string> result;
    for (const std::string &each : state.row.versions) {
        const auto seen = state.seenAt.find(each);
        if (seen != state.seenAt.end() && m_tasks.now() - seen->second > version_retention)
            result.insert(each);
    }
    return result;
}

bool version_register::hasListedUpstream(const std::string &service, const service_state &state) const
{
    const std::vector<const upstream *> ready = m_upstreams.ready(service);
    return std::any_of(ready.begin(), ready.end(), [&](const upstream *each) {
        return state.row.versions.contains(each->record.softwareVersion);
    });
}

std::set<std::string> version_register::versionsToAdd(const std::string &service,
                                                      const service_state &state) const
{
    // Without an upstream of a listed version no new stream could begin during the delays.
#ifdef IVYPIER_MUTANT_VERSION_DELAY
    const bool mayWait = false;
#else
    const bool mayWait = hasListedUpstream(service, state);
#endif
    std::set<std::string> result;
    for (const auto &[version, seenAt] : state.seenAt) {
        if (m_tasks.now() - seenAt > version_retention || state.row.versions.contains(version))
            continue;
        const auto first = state.firstSeenAt.find(version);
        const time_point firstSeenAt = first == state.firstSeenAt.end() ? seenAt : first->second;
        const time_point dueAt = std::max(firstSeenAt + listing_delay, m_startedAt + start_listing_delay);
        if (!mayWait || m_tasks.now() >= dueAt)
            result.insert(version);
    }
    return result;
}

void version_register::noteCapacities(service_state &state, const std::string &service) const
{
    std::map<std::string, double> ready;
    for (const upstream *each : m_upstreams.ready(service))
        ready[each->record.softwareVersion] += each->record.slots;
    for (const auto &[version, calls] : ready)
        state.capacities[version] = {calls, m_tasks.now()};
    for (const std::string &each : state.row.versions)
        state.capacities.try_emplace(each, version_capacity{0.0, m_tasks.now()});
    std::erase_if(state.capacities, [&](const auto &each) { return !state.seenAt.contains(each.first); });
}

/// Returns the calls that the upstreams of each listed version process concurrently. Versions whose slots are
/// to move, because no upstream accepts calls, are left out. Empty while a capacity is not known.
std::map<std::string, double> version_register::capacities(const service_state &state,
                                                           const std::set<std::string> &listed) const
{
    std::map<std::string, double> result;
    for (const auto &[version, capacity] : state.capacities) {
        if (!listed.contains(version) || m_tasks.now() - capacity.at >= abandoned_slots_delay)
            continue;
        if (capacity.calls == 0.0)
            return {};
        result[version] = capacity.calls;
    }
    return result;
}

/// Returns whether all streams so far began at one version.
bool version_register::isSingleVersionProven(const service_state &state) const
{
    return state.row.versions.size() == 1 && state.row.era == m_table.era()
        && m_wallMilliseconds() >= state.row.completeFrom;
}

/// Returns the slots that a row with these versions is to have. Nodes other than the holder of the duties
/// give out slots only with the first row of a service, before any stream began.
version_slots version_register::slotsDue(const service_state &state, const std::set<std::string> &listed,
                                         bool isFirstRow, bool holdsDuties) const
{
    if (!holdsDuties && !isFirstRow)
        return state.row.slots;
    if (!m_isSelectionFollowed)
        return {};
    const std::map<std::string, double> capacity = capacities(state, listed);
    const std::int64_t now = m_wallMilliseconds();
    if (!state.row.slots.isEmpty()) {
        // A move is confirmed by a row of its own: until this node has read the row of the move, none may
        // know of it, for as long as the platform does not respond.
        const bool isKnown = m_tasks.now() - state.rowKnownAt >= confirmation_delay;
        const version_slots known = isKnown && state.row.era == m_table.era()
            ? state.row.slots.confirmed(now + milliseconds(version_retention))
            : state.row.slots;
        return balancedSlots(known, capacity, now);
    }
    if (isFirstRow)
        return version_slots::inProportion(capacity, 0);
    if (isSingleVersionProven(state))
        return version_slots::inProportion({{*state.row.versions.begin(), 1.0}}, 0);
    return version_slots::inProportion(capacity, version_slots::unconfirmed);
}

bool version_register::needsUpdate(const std::string &service, const service_state &state,
                                   bool holdsDuties) const
{
    if (!versionsToAdd(service, state).empty())
        return true;
    if (state.rowVersion == 0)
        return false;
    if (state.row.era != m_table.era())
        return true;
    const bool isOld = m_wallMilliseconds() - state.row.writtenAt > milliseconds(rewrite_interval);
    return holdsDuties
        && (isOld || !expiredVersions(state).empty()
            || slotsDue(state, state.row.versions, false, holdsDuties) != state.row.slots);
}

void version_register::poll(bool holdsDuties, std::size_t nodes)
{
    for (const std::string &service : m_services) {
        service_state &state = m_states[service];
        noteUpstreams(state, service);
        if (!needsUpdate(service, state, holdsDuties)) {
            state.nextUpdate.reset();
            continue;
        }
        if (!state.nextUpdate) {
            const duration delay = fromSeconds(seconds(read_spread_per_node) * static_cast<double>(nodes)
                                               * m_random.uniform());
            state.nextUpdate = m_tasks.now() + delay;
            m_tasks.after(delay, [this, service, holdsDuties] { updateIfDue(service, holdsDuties); });
            continue;
        }
        updateIfDue(service, holdsDuties);
    }
}

void version_register::updateIfDue(const std::string &service, bool holdsDuties)
{
    const service_state &state = m_states[service];
    const bool isDue = state.nextUpdate && m_tasks.now() >= *state.nextUpdate;
    if (isDue && !state.isWriting && needsUpdate(service, state, holdsDuties))
        update(service, holdsDuties);
}

void version_register::update(const std::string &service, bool holdsDuties)
{
    service_state &state = m_states[service];
    state.isWriting = true;
    state.nextUpdate = m_tasks.now() + retry_interval;
    m_table.read(keyOf(service),
                 [this, service, holdsDuties](const outcome<std::optional<cloud::table_row>> &read) {
                     service_state &updated = m_states[service];
                     updated.isWriting = false;
                     if (!read) {
                         log_event(log_level::info, "versions.read_failed")
                             .with("service", service)
                             .with("reason", read.error().message)
                             .write();
                         return;
                     }
                     if (read.value())
                         applyRow(service, *read.value());
                     if (needsUpdate(service, updated, holdsDuties))
                         write(service, read.value(), holdsDuties);
                 });
}

void version_register::write(const std::string &service, const std::optional<cloud::table_row> &current,
                             bool holdsDuties)
{
    service_state &state = m_states[service];
    version_row row = state.row;
    const std::int64_t now = m_wallMilliseconds();
    row.versions.merge(versionsToAdd(service, state));
    if (holdsDuties) {
        for (const std::string &each : expiredVersions(state))
            row.versions.erase(each);
    }
    // After a restore of the table from an older copy, versions of streams that are in progress may be
    // missing, as they may when a row is missing in a later era than the first. Nodes may follow slots of a
    // row that was lost.
    const bool isRestored = row.era != m_table.era() || (!current && m_table.era() > 0);
    if (isRestored)
        row.completeFrom = now + milliseconds(version_retention);
    row.era = m_table.era();
    row.writtenAt = now;
    row.slots = slotsDue(state, row.versions, !current && m_table.era() == 0, holdsDuties);
    if (isRestored)
        row.slots = row.slots.withoutProof();
    if (!row.slots.isDividedAmong(row.versions))
        row.slots = {};
    if (!row.slots.isEmpty() && row.encode().size() > max_row_bytes)
        row.slots = version_slots::inProportion(capacities(state, row.versions), version_slots::unconfirmed);
    state.isWriting = true;
    m_table.write(keyOf(service), current ? current->version : 0, row.encode(),
                  [this, service](const outcome<cloud::table_row> &written) {
                      m_states[service].isWriting = false;
                      if (written)
                          applyRow(service, written.value());
                      else
                          log_event(log_level::info, "versions.write_failed")
                              .with("service", service)
                              .with("reason", written.error().message)
                              .write();
                  });
}

void version_register::findOnlyVersion(const std::string &service, completion done)
{
    service_state &state = m_states[service];
    // The platform does not respond at present, so waiting would only delay the same response.
    if (state.isReading && m_tasks.now() - state.readStartedAt >= state.patience.limit()) {
        done({});
        return;
    }
    auto request = std::make_shared<lookup_request>(lookup_request{std::move(done)});
    state.nextLookups.push_back(request);
    m_tasks.after(state.patience.limit(), [this, request] { completeLookups({request}, {}); });
    if (!state.isReading)
        startLookup(service);
}

void version_register::startLookup(const std::string &service)
{
    service_state &state = m_states[service];
    state.isReading = true;
    state.readStartedAt = m_tasks.now();
    // A read proves something only about streams that began before it, so later requests need another one.
    m_table.read(keyOf(service),
                 [this, service, requests = std::exchange(state.nextLookups, {})](
                     const outcome<std::optional<cloud::table_row>> &read) {
                     service_state &current = m_states[service];
                     current.isReading = false;
                     if (read)
                         current.patience.recordRead(m_tasks.now() - current.readStartedAt);
                     else
                         current.patience.recordFailure();
                     if (read && read.value())
                         applyRow(service, *read.value());
                     completeLookups(requests, read ? responseFor(read.value()) : version_lookup{});
                     if (!current.nextLookups.empty())
                         startLookup(service);
                 });
}

void version_register::completeLookups(const lookup_requests &requests, const version_lookup &response) const
{
    for (const auto &each : requests) {
        if (const completion done = std::exchange(each->done, nullptr))
            done(response);
    }
}

version_lookup version_register::responseFor(const std::optional<cloud::table_row> &row) const
{
    const outcome<version_row> decoded
        = row ? version_row::decode(row->value) : outcome<version_row>(version_row{});
    if (!decoded)
        return {};
#ifndef IVYPIER_MUTANT_VERSION_ERA
    if (decoded.value().era != m_table.era() || m_wallMilliseconds() < decoded.value().completeFrom)
        return {};
#endif
    const std::set<std::string> &versions = decoded.value().versions;
    version_lookup result{std::nullopt, versions.size()};
    result.slots = decoded.value().slots;
    if (!result.slots.isEmpty()) {
        result.readAt = m_wallMilliseconds();
        result.era = decoded.value().era;
    }
    if (versions.size() == 1 && !versions.begin()->empty())
        result.onlyVersion = *versions.begin();
    return result;
}

} // namespace ivypier::relay
