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
        take(parameters);
        return statement();
    });
}

void exchange_membership::start()
{
    exchange();
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

void exchange_membership::publish(const fact &news)
{
    fact &known = m_facts[news.key];
    if (known.version >= news.version)
        return;
    known = news;
    for (const auto &observer : m_factObservers)
        observer(news);
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
    const Json::Value news = statement();
    for (const endpoint &seed : m_seeds)
        m_peers.call(seed, exchange_method, news, exchange_timeout, [](const outcome<Json::Value> &) {});
    changed();
}

void exchange_membership::exchange()
{
    const Json::Value own = statement();
    for (const endpoint &seed : m_seeds) {
        if (seed == m_self.address)
            continue;
        m_peers.call(seed, exchange_method, own, exchange_timeout,
                     [this](const outcome<Json::Value> &answer) {
                         if (answer)
                             take(answer.value());
                     });
    }
    dropSilent();
    m_tasks.after(exchange_interval, [this] { exchange(); });
}

Json::Value exchange_membership::statement() const
{
    Json::Value json(Json::objectValue);
    json["members"].append(encode(m_self));
    json["members"][0]["age_ms"] = 0;
    for (const auto &[id, known] : m_members) {
        if (known.entry.state == member_state::dead)
            continue;
        Json::Value each = encode(known.entry);
        each["age_ms"] = Json::Int64{milliseconds(m_tasks.now() - known.heardAt)};
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

void exchange_membership::take(const Json::Value &statement)
{
    if (!statement["members"].isArray() || !statement["facts"].isArray())
        return;
    for (const Json::Value &each : statement["members"])
        takeMember(each, unsignedMember(each, "age_ms", 0));
    for (const Json::Value &each : statement["facts"])
        publish({stringMember(each, "key"), unsignedMember(each, "version", 0), stringMember(each, "value")});
}

void exchange_membership::takeMember(const Json::Value &json, std::uint64_t ageMilliseconds)
{
    const incarnation id = fromHex(stringMember(json, "id"));
    const outcome<endpoint> address = endpoint::parse(stringMember(json, "address"));
    if (id == 0 || id == m_self.id || !address)
        return;
    const time_point heardAt = m_tasks.now() - std::chrono::milliseconds(ageMilliseconds);
    const auto found = m_members.find(id);
    if (found == m_members.end() && m_tasks.now() - heardAt > dead_after)
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
        m_members.emplace(id, known_member{std::move(entry), heardAt});
        changed();
        return;
    }
    if (heardAt <= found->second.heardAt)
        return;
    const bool differs = found->second.entry != entry;
    found->second = {std::move(entry), heardAt};
    if (differs)
        changed();
}

void exchange_membership::dropSilent()
{
    bool differs = false;
    for (auto &[id, known] : m_members) {
        const duration silence = m_tasks.now() - known.heardAt;
        member_state state = known.entry.state;
        if (silence > dead_after)
            state = member_state::dead;
        else if (silence > suspect_after && state == member_state::alive)
            state = member_state::suspect;
        differs = differs || state != known.entry.state;
        known.entry.state = state;
    }
    if (differs)
        changed();
}

void exchange_membership::changed()
{
    for (const auto &observer : m_memberObservers)
        observer();
}

} // namespace ivypier::membership
