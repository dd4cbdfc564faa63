#include "membership/gossip_membership.h"

#include "base/hash.h"
#include "base/log_event.h"

#include <algorithm>

namespace ivypier::membership {

namespace {

constexpr duration late_tick = std::chrono::milliseconds(500); ///< past it, this process was stopped
constexpr duration spread_interval = std::chrono::milliseconds(200);
constexpr std::size_t spread_fanout = 3;
constexpr std::size_t news_of_datagram = 24;
constexpr std::size_t most_datagrams_at_once = 6;
constexpr duration compare_interval = std::chrono::seconds(5);
constexpr duration quick_compare_interval = std::chrono::seconds(1);
constexpr duration compare_again_interval = std::chrono::milliseconds(500);
constexpr duration greeting_interval = std::chrono::seconds(2);
constexpr duration first_greeting_interval = std::chrono::milliseconds(250);
constexpr std::size_t greetings_kept = 8;
constexpr duration summary_interval = std::chrono::seconds(5);
constexpr duration forget_interval = std::chrono::seconds(30);
constexpr duration dead_kept = std::chrono::hours(2);
constexpr std::size_t told_at_once = 16;

} // namespace

gossip_membership::gossip_membership(scheduler &tasks, random_source &randomness, datagram_channel &channel,
                                     const secret_key &fleetKey, member self, std::vector<endpoint> seeds)
    : m_tasks(tasks)
    , m_random(randomness)
    , m_channel(channel)
    , m_members(std::move(self))
    , m_sender(tasks, channel, fleetKey, m_members, m_facts, m_queue)
    , m_compare(tasks, m_members, m_facts, m_sender)
    , m_detector({tasks, randomness, m_members, m_sender, m_health, [this](incarnation id) { accuse(id); },
                  [this](incarnation id) {
                      if (const member_record *record = m_members.find(id))
                          declareDead(id, record->generation);
                  }})
    , m_regions(tasks, randomness, m_members, m_facts)
    , m_seeds(std::move(seeds))
    , m_nextGreeting(static_cast<std::uint32_t>(randomness.next()))
{
}

void gossip_membership::start()
{
    if (std::exchange(m_started, true))
        return;
    m_channel.onReceive([this](const endpoint &from, std::string_view datagram) { receive(from, datagram); });
    m_queue.add(member_table::newsOf(m_members.self()));
    m_tickedAt = m_tasks.now();
    for (time_point *each : {&m_nextSpread, &m_nextCompare, &m_nextQuickCompare, &m_nextGreetingAt,
                             &m_nextRegionCompare, &m_nextSummary, &m_nextForget})
        *each = m_tickedAt;
    tick();
}

void gossip_membership::setSeeds(std::vector<endpoint> seeds)
{
    m_seeds = std::move(seeds);
}

void gossip_membership::platformAnswered()
{
    m_platformHeardAt = m_tasks.now();
}

bool gossip_membership::isolated() const
{
    const auto recent = [&](const std::optional<time_point> &heardAt) {
        return heardAt && m_tasks.now() - *heardAt < isolation_time;
    };
    return !recent(m_peerHeardAt) && !recent(m_platformHeardAt);
}

member gossip_membership::self() const
{
    return m_members.self().entry;
}

std::vector<member> gossip_membership::members() const
{
    std::vector<member> result;
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

void gossip_membership::publish(const fact &news)
{
    takeFact({news, 0});
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
    passOn(own);
    tellNow();
    changed();
}

void gossip_membership::depart()
{
    m_departed = true;
    const member_record &own = m_members.self();
    m_queue.add(member_news{own.entry.id, own.generation, liveness::dead, true, "", std::nullopt});
    tellNow();
}

void gossip_membership::tellNow()
{
    for (const member_record *each : m_members.pick(m_random, told_at_once)) {
        gossip_message message;
        message.kind = message_kind::news;
        m_sender.send(each->entry.gossipAddress, std::move(message));
    }
}

void gossip_membership::tick()
{
    const time_point now = m_tasks.now();
    if (now - m_tickedAt > tick_interval + late_tick)
        wokeUp();
    m_tickedAt = now;
    if (!m_departed) {
        m_detector.tick();
        endSuspicions();
        spread();
        evenOut();
        reachOut();
        linkRegions();
        forgetOld();
    }
    m_tasks.after(tick_interval, [this] { tick(); });
}

void gossip_membership::wokeUp()
{
    log_event(log_level::warning, "membership.was_stopped")
        .with("seconds", seconds(m_tasks.now() - m_tickedAt))
        .write();
    m_detector.reset();
    m_suspicions.restart(m_tasks.now());
    m_health.worse();
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

void gossip_membership::endSuspicions()
{
    if (m_suspicions.size() == 0)
        return;
    const duration shortest = suspicion_list::shortest(m_members.liveCount());
    for (const auto &[id, at] : m_suspicions.expired(m_tasks.now(), shortest, m_members.answeringDomains()))
        declareDead(id, at);
}

void gossip_membership::spread()
{
    if (m_queue.empty() || !due(m_nextSpread, spread_interval) || !m_sender.withinBudget())
        return;
    // With much to tell, several datagrams go to each: the time to spread must not grow with the amount.
    const std::size_t datagrams = std::min(1 + m_queue.size() / news_of_datagram, most_datagrams_at_once);
    for (const member_record *each : m_members.pick(m_random, spread_fanout)) {
        for (std::size_t count = 0; count < datagrams && !m_queue.empty(); ++count) {
            gossip_message message;
            message.kind = message_kind::news;
            m_sender.send(each->entry.gossipAddress, std::move(message));
        }
    }
}

void gossip_membership::evenOut()
{
    if (!due(m_nextCompare, compare_interval))
        return;
    for (const member_record *each : m_members.pick(m_random, 1))
        m_compare.compare(each->entry.gossipAddress, true);
}

void gossip_membership::reachOut()
{
    const bool alone = m_members.liveCount() == 1;
    if (!due(m_nextGreetingAt, alone ? first_greeting_interval : greeting_interval))
        return;
    std::vector<endpoint> addresses;
    const auto offer = [&](const endpoint &address) {
        const bool known = address == m_members.self().entry.gossipAddress || m_members.liveAt(address)
            || m_regions.isContact(address);
        if (!known)
            addresses.push_back(address);
    };
    for (const endpoint &each : m_seeds)
        offer(each);
    for (const endpoint &each : m_regions.ownContacts())
        offer(each);
    for (const auto &[id, record] : m_members.records()) {
        if (record.dead() && !record.leaving)
            offer(record.entry.gossipAddress);
    }
    if (addresses.empty())
        return;
    gossip_message greeting;
    greeting.kind = message_kind::ping;
    greeting.sequence = ++m_nextGreeting;
    greeting.members.push_back(member_table::newsOf(m_members.self()));
    m_greetings.push_back(greeting.sequence);
    if (m_greetings.size() > greetings_kept)
        m_greetings.erase(m_greetings.begin());
    m_sender.send(addresses[m_random.index(addresses.size())], std::move(greeting));
}

void gossip_membership::linkRegions()
{
    if (!m_regions.knowsOthers())
        return;
    if (due(m_nextRegionCompare, m_regions.compareInterval())) {
        if (const auto contact = m_regions.pickContact())
            m_compare.compare(*contact, false);
    }
    if (!due(m_nextSummary, summary_interval))
        return;
    for (const fact &each : m_regions.dueSummaries())
        publish(each);
}

void gossip_membership::forgetOld()
{
    if (!due(m_nextForget, forget_interval))
        return;
    m_facts.expire(m_tasks.now());
    m_members.forgetDead(m_tasks.now() - dead_kept);
}

void gossip_membership::receive(const endpoint &from, std::string_view datagram)
{
    const outcome<gossip_message> message = m_sender.codec().decode(datagram);
    if (!message || message.value().sender == m_members.self().entry.id || m_departed)
        return;
    m_peerHeardAt = m_tasks.now();
    for (const member_news &each : message.value().members)
        takeNews(each, message.value(), from);
    meetSender(message.value(), from);
    for (const fact_news &each : message.value().facts)
        takeFact(each);
    dispatch(message.value(), from);
}

void gossip_membership::meetSender(const gossip_message &message, const endpoint &from)
{
    const member_record *sender = m_members.find(message.sender);
    if (!sender && !m_regions.isContact(from)) {
        gossip_message pull;
        pull.kind = message_kind::pull;
        pull.wantedMembers = {message.sender};
        m_sender.send(from, std::move(pull));
        return;
    }
    const bool defends = sender && sender->liveness != liveness::alive;
    if (!defends)
        return;
    gossip_message told; // it is here after all: let it refute what is said of it
    told.kind = message_kind::news;
    told.members.push_back({message.sender, sender->generation, sender->liveness, sender->leaving, "", {}});
    m_sender.send(from, std::move(told));
}

void gossip_membership::dispatch(const gossip_message &message, const endpoint &from)
{
    bool differs = false;
    switch (message.kind) {
    case message_kind::ping:
        compareIfDifferent(message, from);
        m_detector.onPing(message, from);
        return;
    case message_kind::ping_request:
        m_detector.onPingRequest(message, from);
        return;
    case message_kind::acknowledge:
        if (std::erase(m_greetings, message.sequence) > 0)
            m_compare.compare(from, !m_regions.isContact(from));
        else
            m_detector.onAcknowledge(message);
        return;
    case message_kind::no_answer:
        m_detector.onNoAnswer(message);
        return;
    case message_kind::news:
        return;
    case message_kind::digest:
        differs = m_compare.onDigest(message, from);
        break;
    case message_kind::listing:
        differs = m_compare.onListing(message, from);
        break;
    case message_kind::pull:
        m_compare.onPull(message, from);
        return;
    }
    if (differs && !m_regions.isContact(from))
        m_nextCompare = std::min(m_nextCompare, m_tasks.now() + compare_again_interval);
}

void gossip_membership::compareIfDifferent(const gossip_message &ping, const endpoint &from)
{
    // While news is on its way here, a difference is expected.
    if (!m_queue.empty() || ping.memberHashes.size() != 1 || ping.factHashes.size() != 1)
        return;
    const bool sameRegion = !m_regions.isContact(from) && m_members.find(ping.sender);
    const bool differs = ping.factHashes.front() != m_facts.overallHash()
        || (sameRegion && ping.memberHashes.front() != m_members.overallHash());
    if (differs && due(m_nextQuickCompare, quick_compare_interval))
        m_compare.compare(from, sameRegion);
}

void gossip_membership::takeNews(const member_news &news, const gossip_message &message, const endpoint &from)
{
    const member &own = m_members.self().entry;
    if (news.id == own.id) {
        defend(news);
        return;
    }
    if (news.details && news.details->region != own.region) {
        if (news.id == message.sender && news.details->gossipAddress == from)
            m_regions.remember(*news.details);
        return;
    }
    const news_effect effect = m_members.apply(news, m_tasks.now());
    if (news.liveness == liveness::suspect)
        noteSuspicion(news);
    if (effect != news_effect::changed)
        return;
    const member_record &record = *m_members.find(news.id);
    if (record.liveness != liveness::suspect)
        m_suspicions.forget(news.id);
    if (news.liveness != liveness::suspect)
        passOn(record);
    changed();
}

void gossip_membership::noteSuspicion(const member_news &news)
{
    const member_record *record = m_members.find(news.id);
    const bool counts
        = record && record->liveness == liveness::suspect && record->generation == news.generation;
    if (!counts)
        return;
    if (m_suspicions.accuse(news.id, news.generation, news.accuserDomain, false, m_tasks.now()))
        m_queue.add(member_news{news.id, news.generation, liveness::suspect, record->leaving,
                                news.accuserDomain, std::nullopt});
}

void gossip_membership::passOn(const member_record &record)
{
    member_news news = member_table::newsOf(record);
    if (record.dead())
        news.details.reset();
    m_queue.add(std::move(news));
}

void gossip_membership::defend(const member_news &news)
{
    const member_record &own = m_members.self();
    if (news.liveness == liveness::alive || news.generation < own.generation)
        return;
    m_members.apply({own.entry.id, news.generation + 1, liveness::alive, own.leaving, "", std::nullopt},
                    m_tasks.now());
    m_health.worse();
    passOn(own);
    log_event(log_level::info, "membership.refuted")
        .with("generation", static_cast<std::int64_t>(own.generation))
        .write();
}

void gossip_membership::takeFact(const fact_news &news)
{
    if (!m_facts.apply(news, m_tasks.now()))
        return;
    m_queue.add(news);
    for (const auto &observer : m_factObservers)
        observer(news.content);
}

void gossip_membership::accuse(incarnation id)
{
    const member_record *record = m_members.find(id);
    if (!record || record->dead())
        return;
    if (m_suspicions.ownCount() >= suspicion_list::ownLimit(m_members.liveCount()))
        return;
    const member_news news{id,
                           record->generation,
                           liveness::suspect,
                           record->leaving,
                           m_members.self().entry.failureDomain,
                           std::nullopt};
    const bool first = m_members.apply(news, m_tasks.now()) == news_effect::changed;
    if (m_suspicions.accuse(id, news.generation, news.accuserDomain, true, m_tasks.now()))
        m_queue.add(news);
    if (first)
        changed();
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
    passOn(*record);
    changed();
}

void gossip_membership::changed()
{
    for (const auto &observer : m_memberObservers)
        observer();
}

} // namespace ivypier::membership
