#include "membership/gossip_membership.h"

#include "base/hash.h"
#include "base/log_event.h"

#include <algorithm>

namespace ivypier::membership {

namespace {

constexpr duration max_tick_delay = std::chrono::milliseconds(500); ///< longer: the process was suspended
constexpr duration gossip_interval = std::chrono::milliseconds(200);
constexpr std::size_t gossip_fanout = 3;
constexpr std::size_t updates_per_datagram = 24;
constexpr std::size_t max_datagrams_per_target = 6;
constexpr duration anti_entropy_interval = std::chrono::seconds(5);
constexpr duration hash_mismatch_interval = std::chrono::seconds(1);
constexpr duration repeat_comparison_interval = std::chrono::milliseconds(500);
constexpr duration discovery_interval = std::chrono::seconds(2);
constexpr duration initial_discovery_interval = std::chrono::milliseconds(250);
constexpr std::size_t max_pending_discovery_pings = 8;
constexpr duration summary_interval = std::chrono::seconds(5);
constexpr duration cleanup_interval = std::chrono::seconds(30);
constexpr duration dead_member_retention = std::chrono::hours(2);
constexpr std::size_t immediate_fanout = 16;

} // namespace

gossip_membership::gossip_membership(scheduler &tasks, random_source &randomness, datagram_channel &channel,
                                     const secret_key &fleetKey, member self, std::vector<endpoint> seeds)
    : m_tasks(tasks)
    , m_random(randomness)
    , m_channel(channel)
    , m_members(std::move(self))
    , m_sender(tasks, channel, fleetKey, m_members, m_facts, m_queue)
    , m_antiEntropy(tasks, m_members, m_facts, m_sender)
    , m_detector({tasks, randomness, m_members, m_sender, m_health,
                  [this](incarnation id) { reportSuspect(id); },
                  [this](incarnation id) {
                      if (const member_record *record = m_members.find(id))
                          declareDead(id, record->generation);
                  }})
    , m_regions(tasks, randomness, m_members, m_facts)
    , m_seeds(std::move(seeds))
    , m_discoverySequence(static_cast<std::uint32_t>(randomness.next()))
{
}

void gossip_membership::start()
{
    if (std::exchange(m_started, true))
        return;
    m_channel.onReceive([this](const endpoint &from, std::string_view datagram) { receive(from, datagram); });
    m_queue.add(member_table::makeUpdate(m_members.self()));
    m_lastTickAt = m_tasks.now();
    for (time_point *each : {&m_nextGossip, &m_nextCompare, &m_nextQuickCompare, &m_nextDiscoveryAt,
                             &m_nextRegionCompare, &m_nextSummary, &m_nextCleanup})
        *each = m_lastTickAt;
    tick();
}

void gossip_membership::setSeeds(std::vector<endpoint> seeds)
{
    m_seeds = std::move(seeds);
}

void gossip_membership::recordPlatformResponse()
{
    m_lastPlatformResponseAt = m_tasks.now();
}

bool gossip_membership::isolated() const
{
    const auto recent = [&](const std::optional<time_point> &lastSeenAt) {
        return lastSeenAt && m_tasks.now() - *lastSeenAt < isolation_timeout;
    };
    return !recent(m_lastPeerMessageAt) && !recent(m_lastPlatformResponseAt);
}

member gossip_membership::self() const
{
    return m_members.self().entry;
}

std::vector<member> gossip_membership::members() const
{
    std::vector<member> result;
    result.reserve(m_members.records().size());
    for (const auto &[id, record] : m_members.records()) {
        if (!record.dead())
            result.push_back(record.entry);
    }
    return result;
}

std::optional<member> gossip_membership::find(incarnation id) const
{
    const member_record *record = m_members.find(id);
    return record ? std::optional(record->entry) : std::nullopt;
}

std::optional<fact> gossip_membership::findFact(const std::string &key) const
{
    return m_facts.find(key);
}

std::vector<fact> gossip_membership::facts(const std::string &prefix) const
{
    return m_facts.withPrefix(prefix);
}

void gossip_membership::publish(const fact &update)
{
    applyFactUpdate({update, 0});
}

void gossip_membership::onMembersChanged(std::function<void()> observer)
{
    m_memberObservers.push_back(std::move(observer));
}

void gossip_membership::onFact(std::function<void(const fact &)> observer)
{
    m_factObservers.push_back(std::move(observer));
}

std::vector<domain_summary> gossip_membership::otherRegions() const
{
    std::vector<domain_summary> result;
    for (const fact &each : m_facts.withPrefix("domain/")) {
        const std::optional<domain_summary> summary = domain_summary::parse(each);
        if (summary && summary->region != m_members.self().entry.region)
            result.push_back(*summary);
    }
    return result;
}

std::size_t gossip_membership::memberCount() const
{
    return m_members.liveCount();
}

std::size_t gossip_membership::fleetSize() const
{
    std::size_t count = m_members.liveCount();
    for (const domain_summary &each : otherRegions())
        count += each.members;
    return count;
}

const gossip_traffic &gossip_membership::traffic() const
{
    return m_sender.traffic();
}

void gossip_membership::leave()
{
    const member_record &own = m_members.self();
    m_members.apply({own.entry.id, own.generation, own.liveness, true, "", std::nullopt}, m_tasks.now());
    queueUpdate(own);
    sendUpdatesNow();
    notifyMembersChanged();
}

void gossip_membership::announceStop()
{
    m_stopped = true;
    const member_record &own = m_members.self();
    m_queue.add(member_update{own.entry.id, own.generation, liveness::dead, true, "", std::nullopt});
    sendUpdatesNow();
}

void gossip_membership::sendUpdatesNow()
{
    for (const member_record *each : m_members.pickRandom(m_random, immediate_fanout)) {
        gossip_message message;
        message.kind = message_kind::update;
        m_sender.send(each->entry.gossipAddress, std::move(message));
    }
}

void gossip_membership::tick()
{
    const time_point now = m_tasks.now();
    if (now - m_lastTickAt > tick_interval + max_tick_delay)
        handleResume();
    m_lastTickAt = now;
    if (!m_stopped) {
        m_detector.tick();
        expireSuspicions();
        sendUpdates();
        runAntiEntropy();
        sendDiscoveryPing();
        syncRegions();
        removeExpired();
    }
    m_tasks.after(tick_interval, [this] { tick(); });
}

void gossip_membership::handleResume()
{
    log_event(log_level::warning, "membership.was_stopped")
        .with("seconds", seconds(m_tasks.now() - m_lastTickAt))
        .write();
    m_detector.reset();
    m_suspicions.restartTimers(m_tasks.now());
    m_health.degrade();
    m_nextCompare = m_tasks.now();
}

bool gossip_membership::due(time_point &at, duration interval)
{
    const time_point now = m_tasks.now();
    if (now < at)
        return false;
    const double jitter = 0.75 + 0.5 * m_random.uniform();
    at = now + fromSeconds(seconds(interval) * jitter);
    return true;
}

void gossip_membership::expireSuspicions()
{
    if (m_suspicions.size() == 0)
        return;
    const duration minTimeout = suspicion_list::minTimeout(m_members.liveCount());
    for (const auto &[id, at] :
         m_suspicions.expired(m_tasks.now(), minTimeout, m_members.respondingDomains()))
        declareDead(id, at);
}

void gossip_membership::sendUpdates()
{
    if (m_queue.empty() || !due(m_nextGossip, gossip_interval) || !m_sender.withinBudget())
        return;
    // Long queues are sent in several datagrams per target, so that propagation time doesn't grow with their
    // length.
    const std::size_t datagrams
        = std::min(1 + m_queue.size() / updates_per_datagram, max_datagrams_per_target);
    for (const member_record *each : m_members.pickRandom(m_random, gossip_fanout)) {
        for (std::size_t count = 0; count < datagrams && !m_queue.empty(); ++count) {
            gossip_message message;
            message.kind = message_kind::update;
            m_sender.send(each->entry.gossipAddress, std::move(message));
        }
    }
}

void gossip_membership::runAntiEntropy()
{
    if (!due(m_nextCompare, anti_entropy_interval))
        return;
    for (const member_record *each : m_members.pickRandom(m_random, 1))
        m_antiEntropy.compare(each->entry.gossipAddress, true);
}

void gossip_membership::sendDiscoveryPing()
{
    const bool alone = m_members.liveCount() == 1;
    if (!due(m_nextDiscoveryAt, alone ? initial_discovery_interval : discovery_interval))
        return;
    std::vector<endpoint> addresses;
    const auto addIfUnknown = [&](const endpoint &address) {
        const bool known = address == m_members.self().entry.gossipAddress || m_members.findLiveAt(address)
            || m_regions.isContact(address);
        if (!known)
            addresses.push_back(address);
    };
    for (const endpoint &each : m_seeds)
        addIfUnknown(each);
    for (const endpoint &each : m_regions.localRegionContacts())
        addIfUnknown(each);
    for (const auto &[id, record] : m_members.records()) {
        if (record.dead() && !record.leaving)
            addIfUnknown(record.entry.gossipAddress);
    }
    if (addresses.empty())
        return;
    gossip_message discoveryPing;
    discoveryPing.kind = message_kind::ping;
    discoveryPing.sequence = ++m_discoverySequence;
    discoveryPing.members.push_back(member_table::makeUpdate(m_members.self()));
    m_discoveryPings.push_back(discoveryPing.sequence);
    if (m_discoveryPings.size() > max_pending_discovery_pings)
        m_discoveryPings.erase(m_discoveryPings.begin());
    m_sender.send(addresses[m_random.index(addresses.size())], std::move(discoveryPing));
}

void gossip_membership::syncRegions()
{
    if (!m_regions.hasContacts())
        return;
    if (due(m_nextRegionCompare, m_regions.compareInterval())) {
        if (const auto contact = m_regions.pickContact())
            m_antiEntropy.compare(*contact, false);
    }
    if (!due(m_nextSummary, summary_interval))
        return;
    for (const fact &each : m_regions.dueSummaries())
        publish(each);
}

void gossip_membership::removeExpired()
{
    if (!due(m_nextCleanup, cleanup_interval))
        return;
    m_facts.expire(m_tasks.now());
    m_members.removeDead(m_tasks.now() - dead_member_retention);
}

void gossip_membership::receive(const endpoint &from, std::string_view datagram)
{
    const outcome<gossip_message> message = m_sender.codec().decode(datagram);
    if (!message || message.value().sender == m_members.self().entry.id || m_stopped)
        return;
    m_lastPeerMessageAt = m_tasks.now();
    for (const member_update &each : message.value().members)
        applyMemberUpdate(each, message.value(), from);
    handleSender(message.value(), from);
    for (const fact_update &each : message.value().facts)
        applyFactUpdate(each);
    dispatch(message.value(), from);
}

void gossip_membership::handleSender(const gossip_message &message, const endpoint &from)
{
    const member_record *sender = m_members.find(message.sender);
    if (!sender && !m_regions.isContact(from)) {
        gossip_message pull;
        pull.kind = message_kind::pull;
        pull.requestedMembers = {message.sender};
        m_sender.send(from, std::move(pull));
        return;
    }
    const bool needsRefutation = sender && sender->liveness != liveness::alive;
    if (!needsRefutation)
        return;
    gossip_message staleState; // lets the sender refute the state, as it is alive
    staleState.kind = message_kind::update;
    staleState.members.push_back(
        {message.sender, sender->generation, sender->liveness, sender->leaving, "", {}});
    m_sender.send(from, std::move(staleState));
}

void gossip_membership::dispatch(const gossip_message &message, const endpoint &from)
{
    bool differs = false;
    switch (message.kind) {
    case message_kind::ping:
        compareIfHashesDiffer(message, from);
        m_detector.onPing(message, from);
        return;
    case message_kind::ping_request:
        m_detector.onPingRequest(message, from);
        return;
    case message_kind::acknowledge:
        if (std::erase(m_discoveryPings, message.sequence) > 0)
            m_antiEntropy.compare(from, !m_regions.isContact(from));
        else
            m_detector.onAcknowledge(message);
        return;
    case message_kind::nack:
        m_detector.onNack(message);
        return;
    case message_kind::update:
        return;
    case message_kind::digest:
        differs = m_antiEntropy.onDigest(message, from);
        break;
    case message_kind::listing:
        differs = m_antiEntropy.onListing(message, from);
        break;
    case message_kind::pull:
        m_antiEntropy.onPull(message, from);
        return;
    }
    if (differs && !m_regions.isContact(from))
        m_nextCompare = std::min(m_nextCompare, m_tasks.now() + repeat_comparison_interval);
}

void gossip_membership::compareIfHashesDiffer(const gossip_message &ping, const endpoint &from)
{
    // Hashes are expected to differ while updates are still being sent.
    if (!m_queue.empty() || ping.memberHashes.size() != 1 || ping.factHashes.size() != 1)
        return;
    const bool sameRegion = !m_regions.isContact(from) && m_members.find(ping.sender);
    const bool differs = ping.factHashes.front() != m_facts.overallHash()
        || (sameRegion && ping.memberHashes.front() != m_members.overallHash());
    if (differs && due(m_nextQuickCompare, hash_mismatch_interval))
        m_antiEntropy.compare(from, sameRegion);
}

void gossip_membership::applyMemberUpdate(const member_update &update, const gossip_message &message,
                                          const endpoint &from)
{
    const member &own = m_members.self().entry;
    if (update.id == own.id) {
        refute(update);
        return;
    }
    if (update.details && update.details->region != own.region) {
        if (update.id == message.sender && update.details->gossipAddress == from)
            m_regions.addContact(*update.details);
        return;
    }
    const update_effect effect = m_members.apply(update, m_tasks.now());
    if (update.liveness == liveness::suspect)
        recordSuspicion(update);
    if (effect != update_effect::changed)
        return;
    const member_record &record = *m_members.find(update.id);
    if (record.liveness != liveness::suspect)
        m_suspicions.forget(update.id);
    if (update.liveness != liveness::suspect)
        queueUpdate(record);
    notifyMembersChanged();
}

void gossip_membership::recordSuspicion(const member_update &update)
{
    const member_record *record = m_members.find(update.id);
    const bool counts
        = record && record->liveness == liveness::suspect && record->generation == update.generation;
    if (!counts)
        return;
    if (m_suspicions.reportSuspect(update.id, update.generation, update.reporterDomain, false, m_tasks.now()))
        m_queue.add(member_update{update.id, update.generation, liveness::suspect, record->leaving,
                                  update.reporterDomain, std::nullopt});
}

void gossip_membership::queueUpdate(const member_record &record)
{
    member_update update = member_table::makeUpdate(record);
    if (record.dead())
        update.details.reset();
    m_queue.add(std::move(update));
}

void gossip_membership::refute(const member_update &update)
{
    const member_record &own = m_members.self();
    if (update.liveness == liveness::alive || update.generation < own.generation)
        return;
    m_members.apply({own.entry.id, update.generation + 1, liveness::alive, own.leaving, "", std::nullopt},
                    m_tasks.now());
    m_health.degrade();
    queueUpdate(own);
    log_event(log_level::info, "membership.refuted")
        .with("generation", static_cast<std::int64_t>(own.generation))
        .write();
}

void gossip_membership::applyFactUpdate(const fact_update &update)
{
    if (!m_facts.apply(update, m_tasks.now()))
        return;
    m_queue.add(update);
    for (const auto &observer : m_factObservers)
        observer(update.content);
}

void gossip_membership::reportSuspect(incarnation id)
{
    const member_record *record = m_members.find(id);
    if (!record || record->dead())
        return;
    if (m_suspicions.localCount() >= suspicion_list::maxLocalSuspicions(m_members.liveCount()))
        return;
    const member_update update{id,
                               record->generation,
                               liveness::suspect,
                               record->leaving,
                               m_members.self().entry.failureDomain,
                               std::nullopt};
    const bool first = m_members.apply(update, m_tasks.now()) == update_effect::changed;
    if (m_suspicions.reportSuspect(id, update.generation, update.reporterDomain, true, m_tasks.now()))
        m_queue.add(update);
    if (first)
        notifyMembersChanged();
}

void gossip_membership::declareDead(incarnation id, generation at)
{
    m_suspicions.forget(id);
    const member_record *record = m_members.find(id);
    if (!record || record->generation != at || record->dead())
        return;
    m_members.apply({id, at, liveness::dead, record->leaving, "", std::nullopt}, m_tasks.now());
    log_event(log_level::info, "membership.dead")
        .with("name", record->entry.name)
        .with("incarnation", toHex(id))
        .write();
    queueUpdate(*record);
    notifyMembersChanged();
}

void gossip_membership::notifyMembersChanged()
{
    for (const auto &observer : m_memberObservers)
        observer();
}

} // namespace ivypier::membership
