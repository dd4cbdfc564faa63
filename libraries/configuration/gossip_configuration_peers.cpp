#include "configuration/gossip_configuration_peers.h"

#include "base/json.h"

#include <algorithm>

namespace ivypier::configuration {

namespace {

constexpr const char *fact_key = "configuration";
constexpr const char *head_method = "configuration.head";
constexpr const char *objects_method = "configuration.objects";
constexpr duration call_timeout = std::chrono::seconds(1);
constexpr std::size_t heads_asked = 3;
constexpr std::size_t peers_tried = 2;

Json::Value encode(const document_head &head)
{
    Json::Value json(Json::objectValue);
    json["version"] = Json::UInt64{head.version};
    json["digest"] = head.digest;
    json["writer"] = head.writerToken;
    return json;
}

document_head decodeHead(const Json::Value &json)
{
    return {
        unsignedMember(json, "version", 0), stringMember(json, "digest"), stringMember(json, "writer"), {}};
}

std::optional<document_head> headOf(const membership::fact &news)
{
    if (news.key != fact_key)
        return std::nullopt;
    const std::size_t space = news.value.find(' ');
    if (space == std::string::npos)
        return std::nullopt;
    return document_head{news.version, news.value.substr(0, space), news.value.substr(space + 1), {}};
}

} // namespace

/// Answers of the peers that were asked for their heads.
struct gossip_configuration_peers::asked_heads
{
    std::size_t left = 0;
    std::vector<document_head> heads;
    std::function<void(const std::vector<document_head> &)> done;
};

gossip_configuration_peers::gossip_configuration_peers(random_source &randomness,
                                                       membership::membership_view &members,
                                                       rpc::peer_client &calls, method_adder addMethod,
                                                       std::function<std::size_t()> fleetSize)
    : m_random(randomness)
    , m_members(members)
    , m_calls(calls)
    , m_addMethod(std::move(addMethod))
    , m_fleetSize(std::move(fleetSize))
{
}

void gossip_configuration_peers::announce(const document_head &head)
{
    m_members.publish({fact_key, head.version, head.digest + ' ' + head.writerToken});
}

void gossip_configuration_peers::onAnnounced(std::function<void(const document_head &)> observer)
{
    m_members.onFact([observer = std::move(observer)](const membership::fact &news) {
        if (const std::optional<document_head> head = headOf(news))
            observer(*head);
    });
}

std::size_t gossip_configuration_peers::fleetSize() const
{
    return std::max<std::size_t>(m_fleetSize(), 1);
}

void gossip_configuration_peers::serve(std::function<document_head()> newestHead,
                                       std::function<object_map(const std::vector<std::string> &)> objects)
{
    m_addMethod(head_method, [newestHead = std::move(newestHead)](const Json::Value &) {
        return outcome<Json::Value>(encode(newestHead()));
    });
    m_addMethod(objects_method, [objects = std::move(objects)](const Json::Value &parameters) {
        std::vector<std::string> digests;
        for (const Json::Value &each : parameters["digests"]) {
            if (each.isString())
                digests.push_back(each.asString());
        }
        Json::Value answer(Json::objectValue);
        answer["objects"] = Json::Value(Json::objectValue);
        std::size_t bytes = 0;
        for (const auto &[digest, content] : objects(digests)) {
            bytes += content.size();
            if (bytes > answered_bytes)
                break;
            answer["objects"][digest] = content;
        }
        return outcome<Json::Value>(answer);
    });
}

std::vector<endpoint> gossip_configuration_peers::pickPeers(std::size_t count) const
{
    std::vector<endpoint> pool;
    for (const membership::member &each : m_members.members()) {
        if (each.id != m_members.self().id && each.state == membership::member_state::alive)
            pool.push_back(each.address);
    }
    std::vector<endpoint> result;
    while (result.size() < count && !pool.empty()) {
        const std::size_t index = m_random.index(pool.size());
        result.push_back(pool[index]);
        pool[index] = pool.back();
        pool.pop_back();
    }
    return result;
}

void gossip_configuration_peers::askHeads(std::function<void(const std::vector<document_head> &)> done)
{
    const std::vector<endpoint> peers = pickPeers(heads_asked);
    if (peers.empty()) {
        done({});
        return;
    }
    auto asked = std::make_shared<asked_heads>();
    asked->left = peers.size();
    asked->done = std::move(done);
    for (const endpoint &each : peers) {
        m_calls.call(each, head_method, Json::Value(Json::objectValue), call_timeout,
                     [asked](const outcome<Json::Value> &answer) {
                         if (answer)
                             asked->heads.push_back(decodeHead(answer.value()));
                         if (--asked->left == 0)
                             asked->done(asked->heads);
                     });
    }
}

void gossip_configuration_peers::fetch(const std::vector<std::string> &digests, completion done)
{
    fetchFrom(pickPeers(peers_tried), digests, {}, std::move(done));
}

void gossip_configuration_peers::fetchFrom(std::vector<endpoint> peers,
                                           const std::vector<std::string> &digests, object_map got,
                                           completion done)
{
    Json::Value parameters(Json::objectValue);
    parameters["digests"] = Json::Value(Json::arrayValue);
    for (const std::string &each : digests) {
        if (!got.contains(each))
            parameters["digests"].append(each);
    }
    if (parameters["digests"].empty() || peers.empty()) {
        done(std::move(got));
        return;
    }
    const endpoint peer = peers.back();
    peers.pop_back();
    m_calls.call(peer, objects_method, std::move(parameters), call_timeout,
                 [this, peers = std::move(peers), digests, got = std::move(got),
                  done = std::move(done)](const outcome<Json::Value> &answer) mutable {
                     if (answer) {
                         const Json::Value &objects = answer.value()["objects"];
                         for (const std::string &each : digests) {
                             if (objects.isObject() && objects[each].isString())
                                 got[each] = objects[each].asString();
                         }
                     }
                     fetchFrom(std::move(peers), digests, std::move(got), std::move(done));
                 });
}

} // namespace ivypier::configuration
