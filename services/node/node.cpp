#include "node.h"

#include "admission/budget_retry.h"
#include "admission/open_admission.h"
#include "base/hash.h"
#include "base/json.h"
#include "base/log_event.h"
#include "base/random_source.h"
#include "configuration/configuration_follower.h"
#include "configuration/document_store.h"
#include "configuration/gossip_configuration_peers.h"
#include "entry/entry_directory.h"
#include "gateway/caller_api.h"
#include "membership/gossip_membership.h"
#include "membership/udp_channel.h"
#include "membership/vm_watch.h"
#include "platform/http_platform.h"
#include "requests/request_service.h"
#include "requests/rpc_peer_channel.h"
#include "routing/least_dispatched_router.h"
#include "rpc/peer_server.h"
#include "upstream/http_model_engine.h"
#include "upstream/http_plain_service.h"
#include "upstream/leaving_watch.h"

namespace ivypier::node {

namespace {

constexpr duration drain_check_interval = std::chrono::milliseconds(50);
constexpr std::string_view node_role = "node";
constexpr int status_ok = 200;
constexpr int status_not_found = 404;

membership::member describeSelf(const node_settings &settings, random_source &randomness)
{
    membership::member self;
    self.id = randomness.next() | 1; // 0 means none
    self.name = settings.name;
    self.address = settings.address;
    self.gossipAddress = settings.address;
    self.failureDomain = settings.failureDomain;
    self.region = settings.region;
    return self;
}

} // namespace

struct node::parts
{
    parts(event_loop &loop, const node_settings &given, secret_key key,
          std::unique_ptr<membership::udp_channel> opened, std::shared_ptr<fault_switch> cuts)
        : tasks(loop)
        , settings(given)
        , fleetKey(key)
        , faults(std::move(cuts))
        , datagrams(std::move(opened))
    {
    }

    event_loop &tasks;
    node_settings settings;
    secret_key fleetKey;
    seeded_random randomness = seeded_random::fromSystem();
    metrics_registry metrics;
    std::shared_ptr<fault_switch> faults;
    std::unique_ptr<membership::udp_channel> datagrams;
    std::shared_ptr<http::client> transport = std::make_shared<http::client>(faults);
    platform::http_platform platformServices{tasks, transport, settings.platform};
    rpc::http_peer_client peers{tasks, transport, fleetKey};
    rpc::peer_server methods{tasks, fleetKey};
    membership::gossip_membership members{
        tasks, randomness, *datagrams, fleetKey, describeSelf(settings, randomness), settings.seeds};
    membership::vm_watch vms{
        {tasks, randomness, platformServices, members, [this] { return members.fleetSize(); }}};
    configuration::document_store documents{platformServices, platformServices};
    configuration::gossip_configuration_peers configurationPeers{
        randomness, members, peers,
        [this](const std::string &name, rpc::peer_server::method handler) {
            methods.add(name, std::move(handler));
        },
        [this] { return members.fleetSize(); }};
    configuration::configuration_follower follower{tasks, randomness, documents,
                                                   settings.configurationInterval};
    entry::entry_directory entries{members, fleetKey};
    routing::least_dispatched_router router;
    admission::open_admission admission;
    admission::budget_retry retries{randomness};
    upstream::http_model_engine engineClient{tasks, transport};
    upstream::leaving_watch engines{engineClient, [this](const endpoint &each) { vms.reportLeaving(each); }};
    upstream::http_plain_service services{tasks, transport};
    requests::rpc_peer_channel channel{members, peers};
    requests::witness_ledger ledger;
    requests::request_service requestService{
        {tasks, metrics, router, admission, retries, engines, services, channel, members.self().id}};
    gateway::forwarder forwards{tasks, transport};
    gateway::caller_api callers{
        {tasks, follower, members, entries, requestService, channel, forwards, fleetKey}};
    std::unique_ptr<http::server> listener;
    bool draining = false;

    void handle(const http::request &incoming, const std::shared_ptr<http::responder> &caller);
    http::response status() const;
    void setFaults(const http::request &incoming, const std::shared_ptr<http::responder> &caller);
    void refreshCandidates();
    void followVms();
    void waitForRequests();
};

void node::parts::handle(const http::request &incoming, const std::shared_ptr<http::responder> &caller)
{
    if (incoming.path.starts_with("/v1/"))
        callers.handle(incoming, caller);
    else if (incoming.path == "/metrics")
        caller->respond({status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.exposition()});
    else if (incoming.path == "/faults" && settings.faultSwitch)
        setFaults(incoming, caller);
    else if (incoming.path == "/status")
        caller->respond(status());
    else
        caller->respond(http::jsonResponse(status_not_found, R"({"error":"not_found"})"));
}

void node::parts::setFaults(const http::request &incoming, const std::shared_ptr<http::responder> &caller)
{
    const outcome<Json::Value> json = parseJson(incoming.body);
    faults->clear();
    for (const Json::Value &each : json ? json.value() : Json::Value()) {
        const outcome<endpoint> to = endpoint::parse(stringMember(each, "to"));
        if (to)
            faults->set(to.value(), linkFaultOf(stringMember(each, "fault")));
    }
    caller->respond(http::jsonResponse(status_ok, "{}"));
}

http::response node::parts::status() const
{
    const auto current = follower.current();
    Json::Value json(Json::objectValue);
    json["name"] = settings.name;
    json["incarnation"] = toHex(members.self().id);
    json["failure_domain"] = settings.failureDomain;
    json["state"] = std::string(membership::name(members.self().state));
    json["configuration_version"] = Json::UInt64{current ? current->version : 0};
    json["isolated"] = members.isolated();
    json["requests_unfinished"] = Json::UInt64{requestService.unfinished()};
    json["leaving_upstreams"] = Json::Value(Json::arrayValue);
    for (const membership::fact &each : members.facts("leaving/")) {
        if (const auto upstream = membership::vm_watch::leavingUpstream(each))
            json["leaving_upstreams"].append(upstream->text());
    }
    json["members"] = Json::Value(Json::arrayValue);
    for (const membership::member &each : members.members()) {
        Json::Value entry(Json::objectValue);
        entry["name"] = each.name;
        entry["address"] = each.address.text();
        entry["failure_domain"] = each.failureDomain;
        entry["state"] = std::string(membership::name(each.state));
        json["members"].append(entry);
    }
    return http::jsonResponse(status_ok, writeJson(json));
}

void node::parts::refreshCandidates()
{
    const auto current = follower.current();
    if (!current)
        return;
    std::vector<routing::candidate> candidates;
    std::map<std::string, endpoint> named;
    for (const configuration::upstream &each : current->content.upstreams) {
        named[each.name] = each.address;
        candidates.push_back({each.name, each.service, each.address, each.failureDomain, each.machineClass,
                              each.pricePerHour});
    }
    vms.setNamedUpstreams(std::move(named));
    for (const platform::vm_record &each : vms.vms()) {
        if (!current->content.findService(each.role))
            continue;
        candidates.push_back({each.id, each.role, each.address, each.failureDomain, each.machineClass, 0.0});
    }
    router.setCandidates(std::move(candidates));
}

void node::parts::followVms()
{
    members.onFact([this](const membership::fact &news) {
        if (const auto address = membership::vm_watch::leavingUpstream(news))
            router.markLeaving(*address);
    });
    vms.onPlatformAnswered([this] { members.platformAnswered(); });
    vms.onVmsChanged([this] {
        std::vector<endpoint> seeds = settings.seeds;
        for (const platform::vm_record &each : vms.vms()) {
            if (each.role == node_role)
                seeds.push_back(each.address);
        }
        members.setSeeds(std::move(seeds));
        refreshCandidates();
    });
    vms.start();
}

void node::parts::waitForRequests()
{
    if (requestService.unfinished() > 0) {
        tasks.after(drain_check_interval, [this] { waitForRequests(); });
        return;
    }
    // The last answers are on their way through the library's threads.
    tasks.after(drain_check_interval * 4, [this] {
        members.depart();
        log_event(log_level::info, "node.stopped").write();
        tasks.stop();
    });
}

outcome<std::unique_ptr<node>> node::start(event_loop &loop, const node_settings &settings)
{
    const outcome<secret_key> key = secret_key::fromPassphrase(settings.fleetKey);
    if (!key)
        return key.error();
    auto faults = std::make_shared<fault_switch>();
    auto datagrams = membership::udp_channel::bind(loop, settings.address, faults);
    if (!datagrams)
        return datagrams.error();
    auto assembled = std::make_unique<parts>(loop, settings, key.value(), std::move(datagrams.value()),
                                             std::move(faults));
    parts *raw = assembled.get();
    requests::rpc_peer_channel::serve(raw->methods, raw->ledger);
    raw->follower.setPeers(raw->configurationPeers);
    raw->follower.onPlatformAnswered([raw] { raw->members.platformAnswered(); });
    raw->follower.onChange([raw] { raw->refreshCandidates(); });
    outcome<std::unique_ptr<http::server>> listening = http::server::listen(
        {.address = settings.address, .tls = settings.tls},
        [raw](http::request incoming, std::shared_ptr<http::responder> caller) {
            if (incoming.path == rpc::rpc_path) {
                raw->methods.handle(std::move(incoming), std::move(caller));
                return;
            }
            raw->tasks.post([raw, incoming = std::move(incoming), caller = std::move(caller)] {
                raw->handle(incoming, caller);
            });
        });
    if (!listening)
        return listening.error();
    raw->listener = std::move(listening.value());
    raw->members.start();
    raw->follower.start();
    raw->followVms();
    log_event(log_level::info, "node.started")
        .with("name", settings.name)
        .with("address", settings.address.text())
        .with("failure_domain", settings.failureDomain)
        .with("incarnation", toHex(raw->members.self().id))
        .write();
    return std::unique_ptr<node>(new node(std::move(assembled)));
}

node::node(std::unique_ptr<parts> assembled)
    : m_parts(std::move(assembled))
{
}

node::~node() = default;

void node::drain()
{
    if (std::exchange(m_parts->draining, true))
        return;
    log_event(log_level::info, "node.draining")
        .with("unfinished", static_cast<std::int64_t>(m_parts->requestService.unfinished()))
        .write();
    m_parts->members.leave();
    m_parts->requestService.stopAccepting();
    m_parts->waitForRequests();
}

} // namespace ivypier::node
