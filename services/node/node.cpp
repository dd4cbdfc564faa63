#include "node.h"

#include "admission/budget_retry.h"
#include "admission/early_refusal_admission.h"
#include "admission/limited_admission.h"
#include "base/hash.h"
#include "base/json.h"
#include "base/log_event.h"
#include "base/random_source.h"
#include "configuration/configuration_follower.h"
#include "configuration/document_store.h"
#include "entry/entry_directory.h"
#include "gateway/caller_api.h"
#include "load_poller.h"
#include "membership/exchange_membership.h"
#include "platform/http_platform.h"
#include "requests/request_service.h"
#include "requests/rpc_peer_channel.h"
#include "routing/expected_time_router.h"
#include "rpc/peer_server.h"
#include "upstream/http_model_engine.h"
#include "upstream/http_plain_service.h"

namespace ivypier::node {

namespace {

constexpr duration drain_check_interval = std::chrono::milliseconds(50);
constexpr duration vm_list_interval = std::chrono::seconds(1);
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

bool reportsLoad(const configuration::versioned_document &current, const std::string &service)
{
    const configuration::service *found = current.content.findService(service);
    return found && found->kind == configuration::service_kind::model;
}

} // namespace

struct node::parts
{
    parts(event_loop &loop, const node_settings &given, secret_key key)
        : tasks(loop)
        , settings(given)
        , fleetKey(key)
    {
    }

    event_loop &tasks;
    node_settings settings;
    secret_key fleetKey;
    seeded_random randomness = seeded_random::fromSystem();
    metrics_registry metrics;
    std::shared_ptr<fault_switch> faults = std::make_shared<fault_switch>();
    std::shared_ptr<http::client> transport = std::make_shared<http::client>(faults);
    platform::http_platform platformServices{tasks, transport, settings.platform};
    rpc::http_peer_client peers{tasks, transport, fleetKey};
    rpc::peer_server methods{tasks, fleetKey};
    membership::exchange_membership members{tasks, peers, methods, describeSelf(settings, randomness),
                                            settings.seeds};
    configuration::document_store documents{platformServices, platformServices};
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
    upstream::http_model_engine engines{tasks, transport};
    upstream::http_plain_service services{tasks, transport};
    load_poller loads{tasks, randomness, router, engines};
    requests::rpc_peer_channel channel{members, peers};
    requests::witness_ledger ledger;
    requests::request_service requestService{
        {tasks, metrics, router, admission, retries, engines, services, channel, members.self().id}};
    gateway::forwarder forwards{tasks, transport};
    gateway::caller_api callers{
        {tasks, follower, members, entries, requestService, channel, forwards, fleetKey}};
    std::vector<platform::vm_record> listedVms;
    std::unique_ptr<http::server> listener;
    bool draining = false;

    void handle(const http::request &incoming, const std::shared_ptr<http::responder> &caller);
    http::response status() const;
    void setFaults(const http::request &incoming, const std::shared_ptr<http::responder> &caller);
    void refreshCandidates();
    void refreshLimits();
    void updateShares();
    void pollVmList();
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
    json["requests_unfinished"] = Json::UInt64{requestService.unfinished()};
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
    for (const configuration::upstream &each : current->content.upstreams)
        candidates.push_back({each.name, each.service, each.address, each.failureDomain, each.machineClass,
                              each.pricePerHour, reportsLoad(*current, each.service)});
    for (const platform::vm_record &each : listedVms) {
        if (!current->content.findService(each.role))
            continue;
        candidates.push_back({each.id, each.role, each.address, each.failureDomain, each.machineClass, 0.0,
                              reportsLoad(*current, each.role)});
        if (each.state == platform::vm_state::leaving)
            members.publish({"leaving/" + each.address.text(), 1, each.id});
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

void node::parts::pollVmList()
{
    platformServices.listVms([this](const outcome<std::vector<platform::vm_record>> &listed) {
        if (listed && listed.value() != listedVms) {
            listedVms = listed.value();
            refreshCandidates();
        }
        tasks.after(vm_list_interval, [this] { pollVmList(); });
    });
}

void node::parts::waitForRequests()
{
    if (requestService.unfinished() > 0) {
        tasks.after(drain_check_interval, [this] { waitForRequests(); });
        return;
    }
    // The last answers are on their way through the library's threads.
    tasks.after(drain_check_interval * 4, [this] {
        log_event(log_level::info, "node.stopped").write();
        tasks.stop();
    });
}

outcome<std::unique_ptr<node>> node::start(event_loop &loop, const node_settings &settings)
{
    const outcome<secret_key> key = secret_key::fromPassphrase(settings.fleetKey);
    if (!key)
        return key.error();
    auto assembled = std::make_unique<parts>(loop, settings, key.value());
    parts *raw = assembled.get();
    requests::rpc_peer_channel::serve(raw->methods, raw->ledger);
    raw->follower.onChange([raw] {
        raw->refreshCandidates();
        raw->refreshLimits();
    });
    raw->shares.expectHolders(settings.seeds.size());
    raw->members.onFact([raw](const membership::fact &news) {
        constexpr std::string_view prefix = "leaving/";
        const bool leaving = news.key.starts_with(prefix);
        const outcome<endpoint> address
            = endpoint::parse(std::string_view(news.key).substr(leaving ? prefix.size() : 0));
        if (leaving && address)
            raw->router.markLeaving(address.value());
    });
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
    raw->pollVmList();
    raw->loads.start();
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
