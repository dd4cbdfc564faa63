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

/// Between two looks at this VM's own notices, and the most such reads a second of the whole fleet.
constexpr duration notice_interval = std::chrono::milliseconds(500);
constexpr double notice_reads_per_second = 100.0;
constexpr std::string_view node_role = "node";

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

bool reportsLoad(const configuration::versioned_document &current, const std::string &service)
{
    const configuration::service *found = current.content.findService(service);
    return found && found->kind == configuration::service_kind::model;
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
    std::shared_ptr<http::client> nodeTransport
        = std::make_shared<http::client>(faults, settings.tlsAuthority);
    cloud::http_platform platformServices{tasks, transport, settings.platform};
    rpc::http_peer_client peers{tasks, nodeTransport, fleetKey};
    rpc::peer_server methods{tasks, fleetKey};
    membership::gossip_membership members{
        tasks, randomness, *datagrams, fleetKey, describeSelf(settings, randomness), settings.seeds};
    membership::vm_watcher vms{
        {tasks, randomness, platformServices, members, [this] { return members.fleetSize(); }}};
    price_list prices{tasks, platformServices, [this] { return members.fleetSize(); }};
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
    routing::expected_time_router router{tasks,
                                         randomness,
                                         {.node = settings.name,
                                          .failureDomain = settings.failureDomain,
                                          .reportLag = settings.loadReportLag}};
    admission::share_ledger shares{members};
    admission::early_refusal_admission refusals{randomness};
    admission::limited_admission admission{tasks, shares, refusals};
    admission::budget_retry retries{randomness};
    upstream::http_model_engine engineClient{tasks, transport};
    upstream::leaving_detector engines{engineClient,
                                       [this](const endpoint &each) { vms.reportLeaving(each); }};
    upstream::http_plain_service services{tasks, transport};
    load_poller loads{tasks, randomness, router, engines};
    requests::rpc_peer_channel channel{members, peers};
    requests::witness_ledger ledger{members.self().id};
    requests::witness_handover witnessHandover{tasks, channel, ledger};
    requests::request_service requestService{
        {tasks, metrics, router, admission, retries, engines, services, channel, members, {}}};
    requests::idempotency_claims claims{platformServices};
    gateway::http_forwarder forwards{tasks, nodeTransport};
    gateway::caller_api callers{
        {tasks, follower, members, entries, requestService, channel, forwards, claims, fleetKey}};
    gateway::graceful_stop stopping{{tasks, members, entries, requestService, witnessHandover, forwards},
                                    [this] { stop(); }};
    std::unique_ptr<http::server> listener;
    void handle(const http::request &incoming, const std::shared_ptr<http::responder> &caller);
    http::response status(bool withMembers) const;
    void setFaults(const http::request &incoming, const std::shared_ptr<http::responder> &caller);
    void refreshCandidates();
    void followVms();
    void readOwnNotices();
    void pollOwnNotices();
    void refreshLimits();
    void updateShares();
    void stop();
    void drainFor(const http::request &incoming, const std::shared_ptr<http::responder> &caller);
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
        caller->respond(status(incoming.parameter("part") != "services"));
    else if (incoming.path == drain_path)
        drainFor(incoming, caller);
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
            faults->set(to.value(), parseLinkFault(stringMember(each, "fault")));
    }
    caller->respond(http::jsonResponse(status_ok, "{}"));
}

http::response node::parts::status(bool withMembers) const
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
    json["services"] = Json::Value(Json::arrayValue);
    for (const configuration::service &each :
         current ? current->content.services : std::vector<configuration::service>()) {
        Json::Value entry(Json::objectValue);
        entry["name"] = each.name;
        entry["requests_total"] = metrics.total("ivypier_requests_total", "service", each.name);
        entry["tokens_total"] = metrics.total("ivypier_tokens_total", "service", each.name);
        json["services"].append(entry);
    }
    if (!withMembers)
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
                              each.pricePerHour, reportsLoad(*current, each.service)});
    }
    vms.setNamedUpstreams(std::move(named));
    for (const cloud::vm_record &each : vms.vms()) {
        if (!current->content.findService(each.role))
            continue;
        candidates.push_back({each.id, each.role, each.address, each.failureDomain, each.machineClass,
                              prices.perHour(each), reportsLoad(*current, each.role)});
    }
    router.setCandidates(std::move(candidates));
}

void node::parts::refreshLimits()
{
    std::map<std::string, admission::account_limit> limits;
    for (const configuration::client_account &each : follower.current()->content.clientAccounts)
        limits[each.name] = {each.requestsPerSecond, each.concurrentRequests};
    admission.setLimits(std::move(limits));
    admission.update();
}

void node::parts::updateShares()
{
    admission.update();
    tasks.after(admission::limited_admission::update_interval, [this] { updateShares(); });
}

void node::parts::followVms()
{
    members.onFact([this](const membership::fact &news) {
        if (const auto replaced = membership::vm_watcher::replacedUpstream(news))
            router.markReplaced(*replaced);
        const std::optional<endpoint> leaving = membership::vm_watcher::leavingUpstream(news);
        if (!leaving)
            return;
        if (*leaving == settings.address) { // another node saw this VM's notice first
            readOwnNotices();
            return;
        }
        router.markLeaving(*leaving);
        requestService.onUpstreamLeaving(*leaving);
    });
    vms.onPlatformAnswered([this] { members.recordPlatformResponse(); });
    vms.onVmsChanged([this] {
        std::vector<endpoint> seeds = settings.seeds;
        for (const cloud::vm_record &each : vms.vms()) {
            if (each.role == node_role)
                seeds.push_back(each.address);
        }
        members.setSeeds(std::move(seeds));
        refreshCandidates();
    });
    vms.start();
}

void node::parts::readOwnNotices()
{
    platformServices.listNotices(
        settings.vm, [this](const outcome<std::vector<cloud::reclaim_notice>> &listed) {
            for (const cloud::reclaim_notice &each :
                 listed ? listed.value() : std::vector<cloud::reclaim_notice>()) {
                if (each.vm == settings.vm)
                    stopping.start(std::chrono::milliseconds(each.remainingMilliseconds), "notice");
            }
        });
}

void node::parts::pollOwnNotices()
{
    readOwnNotices();
    const double fair = static_cast<double>(members.fleetSize()) / notice_reads_per_second;
    tasks.after(std::max(notice_interval, fromSeconds(fair)), [this] { pollOwnNotices(); });
}

void node::parts::stop()
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
    auto datagrams = membership::udp_channel::bind(loop, settings.address, faults);
    if (!datagrams)
        return datagrams.error();
    auto assembled = std::make_unique<parts>(loop, settings, key.value(), std::move(datagrams.value()),
                                             std::move(faults));
    parts *raw = assembled.get();
    requests::rpc_peer_channel::serve(raw->methods, raw->members, raw->ledger, raw->requestService);
    raw->follower.onChange([raw] {
        raw->refreshCandidates();
        raw->refreshLimits();
    });
    raw->shares.setExpectedHolders(settings.seeds.size());
    raw->follower.setPeers(raw->configurationPeers);
    raw->follower.onPlatformResponse([raw] { raw->members.recordPlatformResponse(); });
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
    raw->loads.start();
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

node::node(std::unique_ptr<parts> assembled)
    : m_parts(std::move(assembled))
{
}

node::~node() = default;

void node::drain()
{
    m_parts->stopping.start(m_parts->settings.stopWithin, "signal");
}

void node::parts::drainFor(const http::request &incoming, const std::shared_ptr<http::responder> &caller)
{
    const outcome<std::string> asker = readOperator(follower.current().get(), incoming);
    if (!asker) {
        caller->respond(refusal(asker.error()));
        return;
    }
    log_event(log_level::info, "node.drain_asked").with("operator", asker.value()).write();
    stopping.start(settings.stopWithin, "operator");
    caller->respond(status(true));
}

} // namespace ivypier::node
