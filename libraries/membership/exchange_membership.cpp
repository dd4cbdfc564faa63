#include "membership/exchange_membership.h"

#include "base/hash.h"
#include "base/json.h"

#include <algorithm>

namespace ivypier::membership {

namespace {

constexpr duration exchange_interval = std::chrono::milliseconds(200);
constexpr duration exchange_timeout = std::chrono::milliseconds(500);
constexpr duration suspect_after = std::chrono::milliseconds(1500);
constexpr duration dead_after = std::chrono::seconds(3);
constexpr const char *exchange_method = "membership.exchange";

Json::Value encode(const member &entry)
{
    Json::Value json(Json::objectValue);
    json["id"] = toHex(entry.id);
    json["name"] = entry.name;
    json["address"] = entry.address.text();
    json["failure_domain"] = entry.failureDomain;
    json["region"] = entry.region;
    json["leaving"] = entry.state == member_state::leaving;
    return json;
}

} // namespace

exchange_membership::exchange_membership(scheduler &tasks, rpc::peer_client &peers, rpc::peer_server &methods,
                                         member self, std::vector<endpoint> seeds)
    : m_tasks(tasks)
    , m_peers(peers)
    , m_self(std::move(self))
    , m_seeds(std::move(seeds))
{
    methods.add(exchange_method, [this](const Json::Value &parameters) -> outcome<Json::Value> {
        applySnapshot(parameters);
        return snapshot();
    });
}

void exchange_membership::start()
{
    exchangeWithSeeds();
}

member exchange_membership::self() const
{
    return m_self;
}

std::vector<member> exchange_membership::members() const
{
    std::vector<member> result{m_self};
    for (const auto &[id, known] : m_members) {
        if (known.entry.state == member_state::dead)
            continue;
        result.push_back(known.entry);
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::optional<member> exchange_membership::find(incarnation id) const
{
    if (id == m_self.id)
        return m_self;
    const auto found = m_members.find(id);
    return found == m_members.end() ? std::nullopt : std::optional(found->second.entry);
}

std::optional<fact> exchange_membership::findFact(const std::string &key) const
{
    const auto found = m_facts.find(key);
    return found == m_facts.end() ? std::nullopt : std::optional(found->second);
}

std::vector<fact> exchange_membership::facts(const std::string &prefix) const
{
    std::vector<fact> result;
    for (auto each = m_facts.lower_bound(prefix); each != m_facts.end() && each->first.starts_with(prefix);
         ++each)
        result.push_back(each->second);
    return result;
}

void exchange_membership::publish(const fact &update)
{
    fact &known = m_facts[update.key];
    if (known.version >= update.version)
        return;
    known = update;
    for (const auto &observer : m_factObservers)
        observer(update);
}

void exchange_membership::onMembersChanged(std::function<void()> observer)
{
    m_memberObservers.push_back(std::move(observer));
}

void exchange_membership::onFact(std::function<void(const fact &)> observer)
{
    m_factObservers.push_back(std::move(observer));
}

void exchange_membership::leave()
{
    m_self.state = member_state::leaving;
    const Json::Value update = snapshot();
    for (const endpoint &seed : m_seeds)
        m_peers.call(seed, exchange_method, update, exchange_timeout, [](const outcome<Json::Value> &) {});
    notifyMembersChanged();
}

void exchange_membership::exchangeWithSeeds()
{
    const Json::Value own = snapshot();
    for (const endpoint &seed : m_seeds) {
        if (seed == m_self.address)
            continue;
        m_peers.call(seed, exchange_method, own, exchange_timeout,
                     [this](const outcome<Json::Value> &answer) {
                         if (answer)
                             applySnapshot(answer.value());
                     });
    }
    updateStates();
    m_tasks.after(exchange_interval, [this] { exchangeWithSeeds(); });
}

Json::Value exchange_membership::snapshot() const
{
    Json::Value json(Json::objectValue);
    json["members"].append(encode(m_self));
    json["members"][0]["age_ms"] = 0;
    for (const auto &[id, known] : m_members) {
        if (known.entry.state == member_state::dead)
            continue;
        Json::Value each = encode(known.entry);
        each["age_ms"] = Json::Int64{milliseconds(m_tasks.now() - known.lastSeenAt)};
        json["members"].append(each);
    }
    json["facts"] = Json::Value(Json::arrayValue);
    for (const auto &[key, known] : m_facts) {
        Json::Value each(Json::objectValue);
        each["key"] = key;
        each["version"] = Json::UInt64{known.version};
        each["value"] = known.value;
        json["facts"].append(each);
    }
    return json;
}

void exchange_membership::applySnapshot(const Json::Value &snapshot)
{
    if (!snapshot["members"].isArray() || !snapshot["facts"].isArray())
        return;
    for (const Json::Value &each : snapshot["members"])
        applyMember(each, unsignedMember(each, "age_ms", 0));
    for (const Json::Value &each : snapshot["facts"])
        publish({stringMember(each, "key"), unsignedMember(each, "version", 0), stringMember(each, "value")});
}

void exchange_membership::applyMember(const Json::Value &json, std::uint64_t ageMilliseconds)
{
    const incarnation id = fromHex(stringMember(json, "id"));
    const outcome<endpoint> address = endpoint::parse(stringMember(json, "address"));
    if (id == 0 || id == m_self.id || !address)
        return;
    const time_point lastSeenAt = m_tasks.now() - std::chrono::milliseconds(ageMilliseconds);
    const auto found = m_members.find(id);
    if (found == m_members.end() && m_tasks.now() - lastSeenAt > dead_after)
        return;
    const bool leaving = booleanMember(json, "leaving")
        || (found != m_members.end() && found->second.entry.state == member_state::leaving);
    member entry{id,
                 stringMember(json, "name"),
                 address.value(),
                 address.value(),
                 stringMember(json, "failure_domain"),
                 stringMember(json, "region"),
                 leaving ? member_state::leaving : member_state::alive};
    if (found == m_members.end()) {
        m_members.emplace(id, known_member{std::move(entry), lastSeenAt});
        notifyMembersChanged();
        return;
    }
    if (lastSeenAt <= found->second.lastSeenAt)
        return;
    const bool differs = found->second.entry != entry;
    found->second = {std::move(entry), lastSeenAt};
    if (differs)
        notifyMembersChanged();
}

void exchange_membership::updateStates()
{
    bool differs = false;
    for (auto &[id, known] : m_members) {
        const duration timeSinceSeen = m_tasks.now() - known.lastSeenAt;
        member_state state = known.entry.state;
        if (timeSinceSeen > dead_after)
            state = member_state::dead;
        else if (timeSinceSeen > suspect_after && state == member_state::alive)
            state = member_state::suspect;
        differs = differs || state != known.entry.state;
        known.entry.state = state;
    }
    if (differs)
        notifyMembersChanged();
}

void exchange_membership::notifyMembersChanged()
{
    for (const auto &observer : m_memberObservers)
        observer();
}

} // namespace ivypier::membership
