#include "node.h"

#include "operator_access.h"

#include "admission/budget_retry.h"
#include "admission/early_refusal_admission.h"
#include "admission/limited_admission.h"
#include "base/hash.h"
#include "base/json.h"
#include "base/log_event.h"
#include "base/random_source.h"
#include "base/status_codes.h"
#include "cloud/http_platform.h"
#include "configuration/configuration_follower.h"
#include "configuration/document_store.h"
#include "configuration/gossip_configuration_peers.h"
#include "entry/entry_directory.h"
#include "gateway/caller_api.h"
#include "gateway/graceful_stop.h"
#include "gateway/http_forwarder.h"
#include "load_poller.h"
#include "membership/gossip_membership.h"
#include "membership/udp_channel.h"
#include "membership/vm_watcher.h"
#include "price_list.h"
#include "requests/idempotency_claims.h"
#include "requests/request_service.h"
#include "requests/rpc_peer_channel.h"
#include "requests/witness_handover.h"
#include "routing/expected_time_router.h"
#include "rpc/peer_server.h"
#include "upstream/http_model_engine.h"
#include "upstream/http_plain_service.h"
#include "upstream/leaving_detector.h"

namespace ivypier::node {

namespace {

/// Shortest interval between two reads of this VM's reclaim notices.
constexpr duration min_notice_interval = std::chrono::milliseconds(500);
/// Limit on notice reads of the whole fleet; larger fleets read less often per node.
constexpr double max_notice_reads_per_second = 100.0;
constexpr std::string_view node_role = "node";

membership::member describeSelf(const node_settings &settings, random_source &randomness)
{
    membership::member self;
    self.id = randomness.next() | 1; // 0 means no member
    self.name = settings.name;
    self.address = settings.address;
    self.gossipAddress = settings.address;
    self.failureDomain = settings.failureDomain;
    self.region = settings.region;
    return self;
}

bool reportsLoad(const configuration::versioned_document &current, const std::string &service)
{
    const configuration::service *found = current.content.findService(service);
    return found && found->kind == configuration::service_kind::model;
}

} // namespace

struct node::node_components
{
    node_components(event_loop &loop, const node_settings &initialSettings, secret_key key,
                    std::unique_ptr<membership::udp_channel> boundChannel,
                    std::shared_ptr<fault_switch> linkFaults)
        : tasks(loop)
        , settings(initialSettings)
        , fleetKey(key)
        , faults(std::move(linkFaults))
        , gossipChannel(std::move(boundChannel))
    {
    }

    event_loop &tasks;
    node_settings settings;
    secret_key fleetKey;
    seeded_random randomness = seeded_random::fromSystem();
    metrics_registry metrics;
    std::shared_ptr<fault_switch> faults;
    std::unique_ptr<membership::udp_channel> gossipChannel;
    std::shared_ptr<http::client> httpClient = std::make_shared<http::client>(faults);
    std::shared_ptr<http::client> nodeHttpClient
        = std::make_shared<http::client>(faults, settings.tlsAuthority);
    cloud::http_platform platformClient{tasks, httpClient, settings.platform};
    rpc::http_peer_client peerClient{tasks, nodeHttpClient, fleetKey};
    rpc::peer_server peerServer{tasks, fleetKey};
    membership::gossip_membership members{
        tasks, randomness, *gossipChannel, fleetKey, describeSelf(settings, randomness), settings.seeds};
    membership::vm_watcher vmWatcher{
        {tasks, randomness, platformClient, members, [this] { return members.fleetSize(); }}};
    price_list prices{tasks, platformClient, [this] { return members.fleetSize(); }};
    configuration::document_store documents{platformClient, platformClient};
    configuration::gossip_configuration_peers configurationPeers{
        randomness, members, peerClient,
        [this](const std::string &name, rpc::peer_server::method handler) {
            peerServer.add(name, std::move(handler));
        },
        [this] { return members.fleetSize(); }};
    configuration::configuration_follower configurationFollower{tasks, randomness, documents,
                                                                settings.configurationInterval};
    entry::entry_directory entries{members, fleetKey};
    routing::expected_time_router router{tasks,
                                         randomness,
                                         {.node = settings.name,
                                          .failureDomain = settings.failureDomain,
                                          .reportLag = settings.loadReportLag}};
    admission::share_ledger shareLedger{members};
    admission::early_refusal_admission earlyRefusal{randomness};
    admission::limited_admission admission{tasks, shareLedger, earlyRefusal};
    admission::budget_retry retryPolicy{randomness};
    upstream::http_model_engine engineClient{tasks, httpClient};
    upstream::leaving_detector engines{engineClient,
                                       [this](const endpoint &each) { vmWatcher.reportLeaving(each); }};
    upstream::http_plain_service plainService{tasks, httpClient};
    load_poller loadPoller{tasks, randomness, router, engines};
    requests::rpc_peer_channel peerChannel{members, peerClient};
    requests::witness_ledger witnessLedger{members.self().id};
    requests::witness_handover witnessHandover{tasks, peerChannel, witnessLedger};
    requests::request_service requestService{
        {tasks, metrics, router, admission, retryPolicy, engines, plainService, peerChannel, members, {}}};
    requests::idempotency_claims idempotencyClaims{platformClient};
    gateway::http_forwarder httpForwarder{tasks, nodeHttpClient};
    gateway::caller_api callerApi{{tasks, configurationFollower, members, entries, requestService,
                                   peerChannel, httpForwarder, idempotencyClaims, fleetKey}};
    gateway::graceful_stop gracefulStop{
        {tasks, members, entries, requestService, witnessHandover, httpForwarder}, [this] { stop(); }};
    std::unique_ptr<http::server> listener;
    void handle(const http::request &incoming, const std::shared_ptr<http::responder> &caller);
    http::response statusResponse(bool includeMembers) const;
    void setFaults(const http::request &incoming, const std::shared_ptr<http::responder> &caller);
    void refreshCandidates();
    void subscribeToVmChanges();
    void readOwnNotices();
    void pollOwnNotices();
    void refreshLimits();
    void updateShares();
    void stop();
    void handleDrain(const http::request &incoming, const std::shared_ptr<http::responder> &caller);
};

void node::node_components::handle(const http::request &incoming,
                                   const std::shared_ptr<http::responder> &caller)
{
    if (incoming.path.starts_with("/v1/"))
        callerApi.handle(incoming, caller);
    else if (incoming.path == "/metrics")
        caller->respond({status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.exposition()});
    else if (incoming.path == "/faults" && settings.faultInjectionEnabled)
        setFaults(incoming, caller);
    else if (incoming.path == "/status")
        caller->respond(statusResponse(incoming.parameter("part") != "services"));
    else if (incoming.path == drain_path)
        handleDrain(incoming, caller);
    else
        caller->respond(http::jsonResponse(status_not_found, R"({"error":"not_found"})"));
}

void node::node_components::setFaults(const http::request &incoming,
                                      const std::shared_ptr<http::responder> &caller)
{
    const outcome<Json::Value> json = parseJson(incoming.body);
    faults->clear();
    for (const Json::Value &each : json ? json.value() : Json::Value()) {
        const outcome<endpoint> to = endpoint::parse(stringMember(each, "to"));
        if (to)
            faults->set(to.value(), parseLinkFault(stringMember(each, "fault")));
    }
    caller->respond(http::jsonResponse(status_ok, "{}"));
}

http::response node::node_components::statusResponse(bool includeMembers) const
{
    const auto current = configurationFollower.current();
    Json::Value json(Json::objectValue);
    json["name"] = settings.name;
    json["incarnation"] = toHex(members.self().id);
    json["failure_domain"] = settings.failureDomain;
    json["state"] = std::string(membership::name(members.self().state));
    json["configuration_version"] = Json::UInt64{current ? current->version : 0};
    json["isolated"] = members.isolated();
    json["requests_unfinished"] = Json::UInt64{requestService.unfinished()};
    json["services"] = Json::Value(Json::arrayValue);
    for (const configuration::service &each :
         current ? current->content.services : std::vector<configuration::service>()) {
        Json::Value entry(Json::objectValue);
        entry["name"] = each.name;
        entry["requests_total"] = metrics.total("ivypier_requests_total", "service", each.name);
        entry["tokens_total"] = metrics.total("ivypier_tokens_total", "service", each.name);
        json["services"].append(entry);
    }
    if (!includeMembers)
        return http::jsonResponse(status_ok, writeJson(json));
    json["leaving_upstreams"] = Json::Value(Json::arrayValue);
    for (const membership::fact &each : members.facts("leaving/")) {
        if (const auto upstream = membership::vm_watcher::leavingUpstream(each))
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

void node::node_components::refreshCandidates()
{
    const auto current = configurationFollower.current();
    if (!current)
        return;
    std::vector<routing::candidate> candidates;
    std::map<std::string, endpoint> namedUpstreams;
    for (const configuration::upstream &each : current->content.upstreams) {
        namedUpstreams[each.name] = each.address;
        candidates.push_back({each.name, each.service, each.address, each.failureDomain, each.machineClass,
                              each.pricePerHour, reportsLoad(*current, each.service)});
    }
    vmWatcher.setNamedUpstreams(std::move(namedUpstreams));
    for (const cloud::vm_record &each : vmWatcher.vms()) {
        if (!current->content.findService(each.role))
            continue;
        candidates.push_back({each.id, each.role, each.address, each.failureDomain, each.machineClass,
                              prices.hourlyPrice(each), reportsLoad(*current, each.role)});
    }
    router.setCandidates(std::move(candidates));
}

void node::node_components::refreshLimits()
{
    std::map<std::string, admission::account_limit> limits;
    for (const configuration::client_account &each : configurationFollower.current()->content.clientAccounts)
        limits[each.name] = {each.requestsPerSecond, each.concurrentRequests};
    admission.setLimits(std::move(limits));
    admission.update();
}

void node::node_components::updateShares()
{
    admission.update();
    tasks.after(admission::limited_admission::update_interval, [this] { updateShares(); });
}

void node::node_components::subscribeToVmChanges()
{
    members.onFact([this](const membership::fact &update) {
        if (const auto replaced = membership::vm_watcher::replacedUpstream(update))
            router.markReplaced(*replaced);
        const std::optional<endpoint> leaving = membership::vm_watcher::leavingUpstream(update);
        if (!leaving)
            return;
        if (*leaving == settings.address) { // another node read this VM's reclaim notice first
            readOwnNotices();
            return;
        }
        router.markLeaving(*leaving);
        requestService.onUpstreamLeaving(*leaving);
    });
    vmWatcher.onPlatformResponse([this] { members.recordPlatformResponse(); });
    vmWatcher.onVmsChanged([this] {
        std::vector<endpoint> seeds = settings.seeds;
        for (const cloud::vm_record &each : vmWatcher.vms()) {
            if (each.role == node_role)
                seeds.push_back(each.address);
        }
        members.setSeeds(std::move(seeds));
        refreshCandidates();
    });
    vmWatcher.start();
}

void node::node_components::readOwnNotices()
{
    platformClient.listNotices(
        settings.vm, [this](const outcome<std::vector<cloud::reclaim_notice>> &listed) {
            for (const cloud::reclaim_notice &each :
                 listed ? listed.value() : std::vector<cloud::reclaim_notice>()) {
                if (each.vm == settings.vm)
                    gracefulStop.start(std::chrono::milliseconds(each.remainingMilliseconds), "notice");
            }
        });
}

void node::node_components::pollOwnNotices()
{
    readOwnNotices();
    const double fleetInterval = static_cast<double>(members.fleetSize()) / max_notice_reads_per_second;
    tasks.after(std::max(min_notice_interval, fromSeconds(fleetInterval)), [this] { pollOwnNotices(); });
}

void node::node_components::stop()
{
    members.announceStop();
    log_event(log_level::info, "node.stopped")
        .with("unfinished", static_cast<std::int64_t>(requestService.unfinished()))
        .write();
    tasks.stop();
}

outcome<std::unique_ptr<node>> node::start(event_loop &loop, const node_settings &settings)
{
    const outcome<secret_key> key = secret_key::fromPassphrase(settings.fleetKey);
    if (!key)
        return key.error();
    auto faults = std::make_shared<fault_switch>();
    auto gossipChannel = membership::udp_channel::bind(loop, settings.address, faults);
    if (!gossipChannel)
        return gossipChannel.error();
    auto assembled = std::make_unique<node_components>(loop, settings, key.value(),
                                                       std::move(gossipChannel.value()), std::move(faults));
    node_components *raw = assembled.get();
    requests::rpc_peer_channel::serve(raw->peerServer, raw->members, raw->witnessLedger, raw->requestService);
    raw->configurationFollower.onChange([raw] {
        raw->refreshCandidates();
        raw->refreshLimits();
    });
    raw->shareLedger.setExpectedHolders(settings.seeds.size());
    raw->configurationFollower.setPeers(raw->configurationPeers);
    raw->configurationFollower.onPlatformResponse([raw] { raw->members.recordPlatformResponse(); });
    outcome<std::unique_ptr<http::server>> listenResult = http::server::listen(
        {.address = settings.address, .tls = settings.tls},
        [raw](http::request incoming, std::shared_ptr<http::responder> caller) {
            if (incoming.path == rpc::rpc_path) {
                raw->peerServer.handle(std::move(incoming), std::move(caller));
                return;
            }
            raw->tasks.post([raw, incoming = std::move(incoming), caller = std::move(caller)] {
                raw->handle(incoming, caller);
            });
        });
    if (!listenResult)
        return listenResult.error();
    raw->listener = std::move(listenResult.value());
    raw->members.start();
    raw->configurationFollower.start();
    raw->subscribeToVmChanges();
    raw->loadPoller.start();
    raw->prices.start([raw] { raw->refreshCandidates(); });
    if (!settings.vm.empty())
        raw->pollOwnNotices();
    raw->requestService.startEpochRotation([raw](std::uint64_t epoch) { raw->entries.publishEpoch(epoch); });
    raw->updateShares();
    log_event(log_level::info, "node.started")
        .with("name", settings.name)
        .with("address", settings.address.text())
        .with("failure_domain", settings.failureDomain)
        .with("incarnation", toHex(raw->members.self().id))
        .write();
    return std::unique_ptr<node>(new node(std::move(assembled)));
}

node::node(std::unique_ptr<node_components> assembled)
    : m_components(std::move(assembled))
{
}

node::~node() = default;

void node::drain()
{
    m_components->gracefulStop.start(m_components->settings.stopTimeout, "signal");
}

void node::node_components::handleDrain(const http::request &incoming,
                                        const std::shared_ptr<http::responder> &caller)
{
    const outcome<std::string> operatorName
        = authenticateOperator(configurationFollower.current().get(), incoming);
    if (!operatorName) {
        caller->respond(errorResponse(operatorName.error()));
        return;
    }
    log_event(log_level::info, "node.drain_asked").with("operator", operatorName.value()).write();
    gracefulStop.start(settings.stopTimeout, "operator");
    caller->respond(statusResponse(true));
}

} // namespace ivypier::node
