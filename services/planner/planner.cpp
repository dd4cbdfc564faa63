#include "planner.h"

#include "base/hash.h"
#include "base/json.h"
#include "base/log_event.h"
#include "base/random_source.h"
#include "base/status_codes.h"
#include "cloud/http_platform.h"
#include "configuration/configuration_follower.h"
#include "configuration/document_store.h"
#include "demand_poller.h"
#include "http/server.h"
#include "placement/cheapest_mix.h"
#include "service_duties.h"
#include "upstream/http_model_engine.h"

#include <map>
#include <utility>

namespace ivypier::planner {

namespace {

constexpr duration active_list_interval = std::chrono::seconds(2);
constexpr duration idle_list_interval = std::chrono::seconds(20);
constexpr duration lease_check_interval = std::chrono::milliseconds(500);
constexpr duration demand_interval = std::chrono::seconds(5);
constexpr duration release_timeout = std::chrono::seconds(5);
constexpr std::size_t leases_per_service = 2;
constexpr std::string_view node_role = "node";

Json::Value describe(const placement::lease_manager &manager)
{
    const std::optional<placement::lease> held = manager.held();
    Json::Value json(Json::objectValue);
    json["name"] = manager.name();
    json["held"] = held.has_value();
    json["fencing"] = Json::UInt64{held ? held->fencingToken : 0};
    return json;
}

Json::Value describe(const std::string &service, const placement::vm_mix &mix)
{
    Json::Value json(Json::objectValue);
    json["name"] = service;
    json["cost_per_hour"] = mix.costPerHour;
    json["carried_requests_per_second"] = mix.carriedRequestsPerSecond;
    json["in_target"] = mix.meetsTarget;
    json["vms"] = Json::Value(Json::arrayValue);
    for (const auto &[type, count] : mix.counts) {
        Json::Value entry(Json::objectValue);
        entry["failure_domain"] = type.failureDomain;
        entry["machine_class"] = type.machineClass;
        entry["kind"] = std::string(cloud::name(type.kind));
        entry["count"] = Json::UInt{count};
        json["vms"].append(entry);
    }
    return json;
}

} // namespace

struct planner::planner_components
{
    planner_components(event_loop &loop, const planner_settings &given)
        : tasks(loop)
        , settings(given)
    {
    }

    event_loop &tasks;
    planner_settings settings;
    seeded_random randomness = seeded_random::fromSystem();
    std::string holder = settings.name + '/' + toHex(randomness.next());
    metrics_registry metrics;
    std::shared_ptr<http::client> transport = std::make_shared<http::client>();
    cloud::http_platform platformServices{tasks, transport, settings.platform};
    configuration::document_store documents{platformServices, platformServices};
    configuration::configuration_follower follower{tasks, randomness, documents,
                                                   settings.configurationInterval};
    upstream::http_model_engine engines{tasks, transport};
    demand_poller demand{tasks, randomness, transport, demand_interval};
    placement::cheapest_mix policy{{}};
    std::map<std::string, std::unique_ptr<service_duties>> services;
    std::vector<cloud::vm_record> listedVms;
    std::unique_ptr<http::server> listener;
    time_point nextListAt{}; ///< when the VM list is read next
    bool active = false; ///< a lease is held
    bool stopping = false;

    http::response handleRequest(const http::request &incoming) const;
    std::string status() const;
    bool holdsAnyLease() const;
    void applyConfiguration();
    void checkLeases();
    void readVmList();
    void applyVmList();
    std::vector<placement::runner> runnersOf(const std::string &service) const;
};

http::response planner::planner_components::handleRequest(const http::request &incoming) const
{
    if (incoming.path == "/metrics")
        return {status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.exposition()};
    if (incoming.path == "/status")
        return http::jsonResponse(status_ok, status());
    return http::jsonResponse(status_not_found, R"({"error":"not_found"})");
}

std::string planner::planner_components::status() const
{
    const auto current = follower.current();
    Json::Value json(Json::objectValue);
    json["name"] = settings.name;
    json["failure_domain"] = settings.failureDomain;
    json["configuration_version"] = Json::UInt64{current ? current->version : 0};
    json["duties"] = Json::Value(Json::arrayValue);
    json["services"] = Json::Value(Json::arrayValue);
    for (const auto &[name, duties] : services) {
        json["duties"].append(describe(duties->capacityLease()));
        json["duties"].append(describe(duties->orderLease()));
        if (duties->capacityLease().held())
            json["services"].append(describe(name, duties->mix()));
    }
    return writeJson(json);
}

bool planner::planner_components::holdsAnyLease() const
{
    for (const auto &[name, duties] : services) {
        if (duties->capacityLease().held() || duties->orderLease().held())
            return true;
    }
    return false;
}

void planner::planner_components::applyConfiguration()
{
    const auto current = follower.current();
    if (!current || stopping)
        return;
    for (const configuration::service &each : current->content.services) {
        std::unique_ptr<service_duties> &duties = services[each.name];
        const bool isNew = !duties;
        if (isNew)
            duties = std::make_unique<service_duties>(
                service_duties::dependencies{tasks, randomness, platformServices, platformServices,
                                             platformServices, engines, demand.demand(), policy, metrics,
                                             settings, holder},
                each);
        duties->setService(each);
        if (isNew)
            duties->start();
    }
    // FIXME: A planner that starts after a service was removed does not know the service and leaves its VMs
    // running.
    for (const auto &[name, duties] : services) {
        if (!current->content.findService(name))
            duties->retire();
    }
    applyVmList();
}

std::vector<placement::runner> planner::planner_components::runnersOf(const std::string &service) const
{
    std::vector<placement::runner> runners;
    for (const cloud::vm_record &each : listedVms) {
        if (each.role == service && each.state == cloud::vm_state::live)
            runners.push_back({each.id, each.address});
    }
    const auto current = follower.current();
    for (const configuration::upstream &each :
         current ? current->content.upstreams : std::vector<configuration::upstream>()) {
        if (each.service == service)
            runners.push_back({each.name, each.address});
    }
    return runners;
}

void planner::planner_components::applyVmList()
{
    std::vector<std::string> planners;
    std::vector<endpoint> nodes;
    for (const cloud::vm_record &each : listedVms) {
        if (each.role != node_role || each.state != cloud::vm_state::live)
            continue;
        planners.push_back(each.id);
        nodes.push_back(each.address);
    }
    demand.setNodes(std::move(nodes));
    for (const auto &[name, duties] : services) {
        duties->setRunners(runnersOf(name));
        duties->setPlanners(settings.vm, planners);
    }
}

/// Reads the VM list often while a lease is held, at once when the first one is acquired, and rarely
/// otherwise.
void planner::planner_components::checkLeases()
{
    tasks.after(lease_check_interval, [this] { checkLeases(); });
    const bool held = holdsAnyLease();
    const bool newlyActive = held && !std::exchange(active, held);
    active = held;
    demand.setActive(held);
    if (newlyActive || tasks.now() >= nextListAt)
        readVmList();
}

void planner::planner_components::readVmList()
{
    const double jitter = 0.75 + randomness.uniform() / 2;
    nextListAt
        = tasks.now() + fromSeconds(seconds(active ? active_list_interval : idle_list_interval) * jitter);
    platformServices.listVms([this](const outcome<std::vector<cloud::vm_record>> &listed) {
        if (!listed || listed.value() == listedVms)
            return;
        listedVms = listed.value();
        applyVmList();
    });
}

outcome<std::unique_ptr<planner>> planner::start(event_loop &loop, const planner_settings &settings)
{
    auto assembled = std::make_unique<planner_components>(loop, settings);
    planner_components *raw = assembled.get();
    outcome<std::unique_ptr<http::server>> listening = http::server::listen(
        {.address = settings.address},
        [raw](http::request incoming, std::shared_ptr<http::responder> caller) {
            raw->tasks.post([raw, incoming = std::move(incoming), caller = std::move(caller)] {
                caller->respond(raw->handleRequest(incoming));
            });
        });
    if (!listening)
        return listening.error();
    raw->listener = std::move(listening.value());
    raw->follower.onChange([raw] { raw->applyConfiguration(); });
    raw->follower.start();
    raw->demand.start();
    raw->checkLeases();
    log_event(log_level::info, "planner.started")
        .with("name", settings.name)
        .with("address", settings.address.text())
        .with("holder", raw->holder)
        .write();
    return std::unique_ptr<planner>(new planner(std::move(assembled)));
}

planner::planner(std::unique_ptr<planner_components> assembled)
    : m_components(std::move(assembled))
{
}

planner::~planner() = default;

void planner::stop()
{
    if (std::exchange(m_components->stopping, true))
        return;
    log_event(log_level::info, "planner.stopping").write();
    const auto finish = [this] {
        log_event(log_level::info, "planner.stopped").write();
        m_components->tasks.stop();
    };
    if (m_components->services.empty()) {
        finish();
        return;
    }
    const auto remaining = std::make_shared<std::size_t>(m_components->services.size() * leases_per_service);
    for (const auto &[name, duties] : m_components->services)
        duties->release([remaining, finish] {
            if (--*remaining == 0)
                finish();
        });
    m_components->tasks.after(release_timeout, finish); // leases not released by then expire after their term
}

} // namespace ivypier::planner
