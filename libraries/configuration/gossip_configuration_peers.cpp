#include "configuration/gossip_configuration_peers.h"

#include "base/json.h"

#include <algorithm>

namespace ivypier::configuration {

namespace {

constexpr const char *fact_key = "configuration";
constexpr const char *head_method = "configuration.head";
constexpr const char *objects_method = "configuration.objects";
constexpr duration call_timeout = std::chrono::seconds(1);
constexpr std::size_t head_query_peers = 3;
constexpr std::size_t max_fetch_peers = 2;

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

std::optional<document_head> decodeHeadFact(const membership::fact &update)
{
    if (update.key != fact_key)
        return std::nullopt;
    const std::size_t space = update.value.find(' ');
    if (space == std::string::npos)
        return std::nullopt;
    return document_head{update.version, update.value.substr(0, space), update.value.substr(space + 1), {}};
}

} // namespace

/// Collects the heads returned by the queried peers.
struct gossip_configuration_peers::head_query
{
    std::size_t pendingResponses = 0;
    std::vector<document_head> heads;
    std::function<void(const std::vector<document_head> &)> done;
};

gossip_configuration_peers::gossip_configuration_peers(random_source &randomness,
                                                       membership::membership_view &members,
                                                       rpc::peer_client &calls,
                                                       method_registrar registerMethod,
                                                       std::function<std::size_t()> fleetSize)
    : m_random(randomness)
    , m_members(members)
    , m_calls(calls)
    , m_registerMethod(std::move(registerMethod))
    , m_fleetSize(std::move(fleetSize))
{
}

void gossip_configuration_peers::announce(const document_head &head)
{
    m_members.publish({fact_key, head.version, head.digest + ' ' + head.writerToken});
}

void gossip_configuration_peers::onHeadAnnounced(std::function<void(const document_head &)> observer)
{
    m_members.onFact([observer = std::move(observer)](const membership::fact &update) {
        if (const std::optional<document_head> head = decodeHeadFact(update))
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
    m_registerMethod(head_method, [newestHead = std::move(newestHead)](const Json::Value &) {
        return outcome<Json::Value>(encode(newestHead()));
    });
    m_registerMethod(objects_method, [objects = std::move(objects)](const Json::Value &parameters) {
        std::vector<std::string> digests;
        for (const Json::Value &each : parameters["digests"]) {
            if (each.isString())
                digests.push_back(each.asString());
        }
        Json::Value response(Json::objectValue);
        response["objects"] = Json::Value(Json::objectValue);
        std::size_t bytes = 0;
        for (const auto &[digest, content] : objects(digests)) {
            bytes += content.size();
            if (bytes > max_objects_response_bytes)
                break;
            response["objects"][digest] = content;
        }
        return outcome<Json::Value>(response);
    });
}

std::vector<endpoint> gossip_configuration_peers::pickPeers(std::size_t count) const
{
    std::vector<endpoint> candidates;
    for (const membership::member &each : m_members.members()) {
        if (each.id != m_members.self().id && each.state == membership::member_state::alive)
            candidates.push_back(each.address);
    }
    std::vector<endpoint> result;
    while (result.size() < count && !candidates.empty()) {
        const std::size_t index = m_random.index(candidates.size());
        result.push_back(candidates[index]);
        candidates[index] = candidates.back();
        candidates.pop_back();
    }
    return result;
}

void gossip_configuration_peers::queryHeads(std::function<void(const std::vector<document_head> &)> done)
{
    const std::vector<endpoint> peers = pickPeers(head_query_peers);
    if (peers.empty()) {
        done({});
        return;
    }
    auto query = std::make_shared<head_query>();
    query->pendingResponses = peers.size();
    query->done = std::move(done);
    for (const endpoint &each : peers) {
        m_calls.call(each, head_method, Json::Value(Json::objectValue), call_timeout,
                     [query](const outcome<Json::Value> &response) {
                         if (response)
                             query->heads.push_back(decodeHead(response.value()));
                         if (--query->pendingResponses == 0)
                             query->done(query->heads);
                     });
    }
}

void gossip_configuration_peers::fetch(const std::vector<std::string> &digests, completion done)
{
    fetchFrom(pickPeers(max_fetch_peers), digests, {}, std::move(done));
}

void gossip_configuration_peers::fetchFrom(std::vector<endpoint> peers,
                                           const std::vector<std::string> &digests, object_map fetched,
                                           completion done)
{
    Json::Value parameters(Json::objectValue);
    parameters["digests"] = Json::Value(Json::arrayValue);
    for (const std::string &each : digests) {
        if (!fetched.contains(each))
            parameters["digests"].append(each);
    }
    if (parameters["digests"].empty() || peers.empty()) {
        done(std::move(fetched));
        return;
    }
    const endpoint peer = peers.back();
    peers.pop_back();
    m_calls.call(peer, objects_method, std::move(parameters), call_timeout,
                 [this, peers = std::move(peers), digests, fetched = std::move(fetched),
                  done = std::move(done)](const outcome<Json::Value> &response) mutable {
                     if (response) {
                         const Json::Value &objects = response.value()["objects"];
                         for (const std::string &each : digests) {
                             if (objects.isObject() && objects[each].isString())
                                 fetched[each] = objects[each].asString();
                         }
                     }
                     fetchFrom(std::move(peers), digests, std::move(fetched), std::move(done));
                 });
}

} // namespace ivypier::configuration
