#include "edge_node.h"

#include "caller_lookup.h"
#include "peer_rows_codec.h"
#include "platform_tables.h"

#include "base/hash.h"
#include "base/log_event.h"
#include "base/random_source.h"
#include "base/status_codes.h"
#include "base/steady_wall_clock.h"
#include "duties/upstream_orders.h"
#include "duties/usage_reporter.h"
#include "fleet/fleet_exchange.h"
#include "http/connection_pool.h"
#include "http/fetcher.h"
#include "http/listener.h"
#include "membership/gossip_membership.h"
#include "membership/udp_channel.h"
#include "placement/duty_candidates.h"
#include "placement/lease.h"
#include "platform/caller_codec.h"
#include "platform/cloud_client.h"
#include "platform/front_codec.h"
#include "platform/runner_protocol.h"
#include "platform/store_client.h"
#include "relay/prefix_affinity_selector.h"
#include "relay/relay_service.h"

namespace ivypier::edge {

namespace {

/// How often limits, loads and duties are brought up to date.
constexpr duration update_interval = std::chrono::milliseconds(400);
/// A window's counts have arrived two reports and this time after its end.
constexpr duration count_arrival = std::chrono::milliseconds(800);
constexpr int reports_per_count = 2;
/// Until then the membership may not have found all nodes, or until a collector answers, after the first
/// time.
constexpr duration joining_time = std::chrono::seconds(3);
constexpr duration least_joining_time = std::chrono::seconds(1);
/// Nodes that watch the lease of a duty.
constexpr std::size_t duty_candidates = 3;
/// Callers keep an answer to a look-up for up to three times its lifetime.
constexpr int lookup_lifetimes = 3;
/// The process ends this long before the platform would kill it.
constexpr duration stop_margin = std::chrono::milliseconds(500);
constexpr duration stop_check_interval = std::chrono::milliseconds(50);
/// Part of the allowed repeats that the nodes use: they do not share their counts.
constexpr double repeat_part = 0.7;
/// Connections to one upstream that a node may have however many nodes share it.
constexpr std::size_t least_connections = 4;
/// Descriptors for upstreams, the store and files; the rest is for callers.
constexpr std::size_t reserved_descriptors = 900;
/// One lease for all duties: their calls are few, and so are the calls that renew it.
constexpr const char *duties_lease = "duties";

} // namespace

struct edge_node::parts
{
    parts(event_loop &loop, const edge_settings &given, secret_key key,
          std::unique_ptr<membership::udp_channel> gossip,
          std::unique_ptr<membership::udp_channel> numberChannel);

    outcome<void> listen();
    void start();
    void reload(const edge_settings &changed);
    void stop();
    void finishStop();

    event_loop &tasks;
    edge_settings settings;
    seeded_random randomness = seeded_random::fromSystem();
    metrics_registry metrics;
    steady_wall_clock wall{tasks};
    std::unique_ptr<membership::udp_channel> datagrams;
    std::unique_ptr<membership::udp_channel> numberDatagrams;
    membership::gossip_membership members;
    http::connection_pool upstreamConnections{tasks};
    http::connection_pool platformConnections{tasks};
    http::fetcher platformCalls{tasks, platformConnections};
    adapter::store_client store{platformCalls, settings.store};
    adapter::cloud_client cloud{platformCalls, settings.cloud, settings.name};
    relay::upstream_directory upstreams{tasks};
    adapter::runner_protocol protocol;
    relay::prefix_affinity_selector choice{tasks, randomness, upstreams, settings.failureDomain,
                                           [this](const std::string &id) { return numbers.othersLoad(id); }};
    relay::retry_budget repeats{tasks, {repeat_part * settings.repeatRatio, 0.0, settings.repeatWindow}};
    relay::unit_quota quota{tasks};
    relay::run_counter runs{milliseconds(settings.usageWindow)};
    relay::work_meter work{tasks};
    fleet::own_numbers ownNumbers{quota, runs, upstreams, work};
    fleet::fleet_exchange numbers;
    relay::relay_service calls{{tasks, randomness, metrics, upstreamConnections, protocol, upstreams, choice,
                                repeats, quota, runs, work, [this] { return wall.milliseconds(); },
                                [this](const relay::service &of) { return connectionsFor(of); }}};

    platform_tables tables{
        tasks,
        randomness,
        members,
        store,
        platformCalls,
        settings.control.port,
        upstreams,
        [this](std::shared_ptr<const relay::route_table> table) { takeConfiguration(std::move(table)); }};

    /// One process runs on a VM at a time: its name is enough of a holder.
    placement::lease_manager lease{
        tasks, store, duties_lease, settings.name, settings.leaseTerm, randomness.next() >> 1};
    duties::usage_reporter usage{tasks,
                                 store,
                                 cloud,
                                 lease,
                                 numbers.ledger(),
                                 {.windowMilliseconds = milliseconds(settings.usageWindow)}};
    duties::upstream_orders orders{tasks, cloud, lease, upstreams, duties::capacity_policy({}), {}};

    std::unique_ptr<http::listener> callers;
    std::unique_ptr<http::listener> readiness;
    std::unique_ptr<http::listener> lookups;
    std::unique_ptr<http::listener> control;
    std::unique_ptr<http::listener> metricsListener;
    time_point startedAt{};
    std::size_t assumedNodes = relay::assumed_node_count; ///< until the others are found
    time_point stopAt{}; ///< when the process ends at the latest
    bool stopping = false;

    void takeCall(http::incoming_request incoming, const std::shared_ptr<http::reply> &to);
    void answerReadiness(const http::incoming_request &incoming, http::reply &to) const;
    void answerLookup(const http::incoming_request &incoming, http::reply &to) const;
    void answerControl(const http::incoming_request &incoming, const std::shared_ptr<http::reply> &to);
    void answerMetrics(const http::incoming_request &incoming, http::reply &to);
    void takeConfiguration(std::shared_ptr<const relay::route_table> table);
    void update();
    void readFleetSize();
    std::size_t nodeCount() const;
    std::size_t connectionsFor(const relay::service &of) const;
    bool isReady() const;
};

namespace {

membership::member describeSelf(const edge_settings &settings, random_source &randomness)
{
    membership::member self;
    self.id = randomness.next() | 1; // 0 means none
    self.name = settings.name;
    self.address = settings.callers;
    self.gossipAddress = {settings.callers.host, settings.gossipPort};
    self.failureDomain = settings.failureDomain;
    self.region = settings.region;
    return self;
}

std::vector<endpoint> gossipSeeds(const edge_settings &settings)
{
    std::vector<endpoint> seeds;
    for (const endpoint &each : settings.seeds)
        seeds.push_back({each.host, settings.gossipPort});
    return seeds;
}

} // namespace

edge_node::parts::parts(event_loop &loop, const edge_settings &given, secret_key key,
                        std::unique_ptr<membership::udp_channel> gossip,
                        std::unique_ptr<membership::udp_channel> numberChannel)
    : tasks(loop)
    , settings(given)
    , datagrams(std::move(gossip))
    , numberDatagrams(std::move(numberChannel))
    , members(tasks, randomness, *datagrams, key, describeSelf(settings, randomness), gossipSeeds(settings))
    , numbers(tasks, *numberDatagrams, key, members, settings.fleetPort, duties_lease, ownNumbers, quota,
              [this] { return runs.windowAt(wall.milliseconds()); })
{
}

outcome<void> edge_node::parts::listen()
{
    using answering
        = std::function<void(const http::incoming_request &, const std::shared_ptr<http::reply> &)>;
    const auto open = [this](std::unique_ptr<http::listener> &to, const endpoint &at, answering answer) {
        auto opened
            = http::listener::open(tasks, at, {},
                                   [answer](const http::incoming_request &incoming,
                                            std::shared_ptr<http::reply> reply) { answer(incoming, reply); });
        if (!opened)
            return outcome<void>(opened.error());
        to = std::move(opened.value());
        return outcome<void>(success());
    };
    auto opened
        = http::listener::open(tasks, settings.callers,
                               {.connections = settings.descriptors > 2 * reserved_descriptors
                                    ? settings.descriptors - reserved_descriptors
                                    : settings.descriptors / 2},
                               [this](http::incoming_request incoming, std::shared_ptr<http::reply> reply) {
                                   takeCall(std::move(incoming), reply);
                               });
    if (!opened)
        return opened.error();
    callers = std::move(opened.value());
    for (const outcome<void> &each :
         {open(readiness, settings.readiness,
               [this](const auto &incoming, auto &to) { answerReadiness(incoming, *to); }),
          open(lookups, settings.lookups,
               [this](const auto &incoming, auto &to) { answerLookup(incoming, *to); }),
          open(control, settings.control,
               [this](const auto &incoming, auto &to) { answerControl(incoming, to); }),
          open(metricsListener, settings.metrics,
               [this](const auto &incoming, auto &to) { answerMetrics(incoming, *to); })}) {
        if (!each)
            return each.error();
    }
    return success();
}

void edge_node::parts::start()
{
    startedAt = tasks.now();
    tables.start();
    members.start();
    numbers.start();
    lease.setEligible(false);
    lease.start();
    readFleetSize();
    update();
    log_event(log_level::info, "edge.started")
        .with("name", settings.name)
        .with("callers", settings.callers.text())
        .with("failure_domain", settings.failureDomain)
        .with("incarnation", toHex(members.self().id))
        .write();
}

void edge_node::parts::takeCall(http::incoming_request incoming, const std::shared_ptr<http::reply> &to)
{
    outcome<relay::call> decoded = adapter::decodeCall(std::move(incoming));
    if (!decoded) {
        log_event(log_level::info, "call.malformed").with("reason", decoded.error().message).write();
        to->send(status_bad_request, {}, {});
        return;
    }
    calls.handle(std::move(decoded.value()), to);
}

bool edge_node::parts::isReady() const
{
    return calls.table() != nullptr && !stopping;
}

void edge_node::parts::answerReadiness(const http::incoming_request &incoming, http::reply &to) const
{
    const bool known = adapter::isReadinessQuestion(incoming);
    to.send(!known ? status_not_found : isReady() ? status_ok : status_service_unavailable, {}, {});
}

void edge_node::parts::answerLookup(const http::incoming_request &incoming, http::reply &to) const
{
    const auto question = adapter::decodeLookup(incoming);
    if (!question) {
        to.send(status_not_found, {}, {});
        return;
    }
    const std::vector<endpoint> addresses = addressesFor(members.members(), question->failureDomain);
    if (addresses.empty()) {
        to.send(status_service_unavailable, {}, {});
        return;
    }
    to.send(status_ok, {{"Content-Type", "application/json"}},
            adapter::encodeLookupAnswer(addresses, settings.lookupLifetime));
}

void edge_node::parts::answerControl(const http::incoming_request &incoming,
                                     const std::shared_ptr<http::reply> &to)
{
    if (incoming.head.path() == peer_rows_path)
        tables.answer(incoming, to);
    else
        to->send(status_not_found, {}, {});
}

void edge_node::parts::answerMetrics(const http::incoming_request &incoming, http::reply &to)
{
    if (incoming.head.path() != "/metrics") {
        to.send(status_not_found, {}, {});
        return;
    }
    const http::pool_counts connections = upstreamConnections.counts();
    metrics.set("ivypier_upstream_connections", {}, static_cast<double>(connections.open));
    metrics.set("ivypier_upstream_connections_opened", {}, static_cast<double>(connections.opened));
    metrics.set("ivypier_upstream_connections_reused", {}, static_cast<double>(connections.reused));
    metrics.set("ivypier_caller_connections", {}, static_cast<double>(callers->connectionCount()));
    metrics.set("ivypier_calls_running", {}, static_cast<double>(calls.running()));
    metrics.set("ivypier_nodes", {}, static_cast<double>(members.memberCount()));
    metrics.set("ivypier_configuration_version", {}, static_cast<double>(tables.configurationVersion()));
    metrics.set("ivypier_gossip_bytes", {}, static_cast<double>(members.traffic().bytes));
    metrics.set("ivypier_fleet_number_bytes", {}, static_cast<double>(numbers.bytesSent()));
    metrics.set("ivypier_duty_held", {}, lease.held() ? 1.0 : 0.0);
    for (const relay::upstream *each : upstreams.all())
        metrics.set("ivypier_upstream_calls_running", {{"upstream", each->record.id}}, each->running);
    to.send(status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.exposition());
}

void edge_node::parts::takeConfiguration(std::shared_ptr<const relay::route_table> table)
{
    const relay::caller_limits &limits = table->content().limits;
    http::connection_limits bounds;
    bounds.headerBytes = limits.headerBytes;
    bounds.bodyBytes = limits.bodyBytes;
    bounds.headerTime = limits.headerTime;
    bounds.idleTime = limits.idleTime;
    bounds.connections = settings.descriptors > 2 * reserved_descriptors
        ? settings.descriptors - reserved_descriptors
        : settings.descriptors / 2;
    callers->setLimits(bounds);
    calls.setTable(std::move(table));
}

void edge_node::parts::readFleetSize()
{
    store.read(duties::usage_reporter::row_key, [this](const outcome<std::optional<cloud::table_row>> &read) {
        const auto nodes
            = read && read.value() ? duties::usage_reporter::decodeNodes(read.value()->value) : std::nullopt;
        log_event(log_level::info, "fleet.size_read")
            .with("nodes", nodes ? static_cast<std::int64_t>(*nodes) : 0)
            .with("reason", read ? "" : read.error().message)
            .write();
        assumedNodes = nodes.value_or(assumedNodes);
    });
}

std::size_t edge_node::parts::nodeCount() const
{
    const std::size_t known = std::max<std::size_t>(members.memberCount(), 1);
    const duration age = tasks.now() - startedAt;
    const bool joined = age > joining_time || (age > least_joining_time && numbers.hearsOthers());
    return joined ? known : std::max(known, assumedNodes);
}

std::size_t edge_node::parts::connectionsFor(const relay::service &of) const
{
    return std::max(of.connections / nodeCount(), least_connections);
}

void edge_node::parts::update()
{
    tasks.after(update_interval, [this] { update(); });
    quota.setNodes(nodeCount());
    quota.setRemoteReporting(numbers.hearsOthers(), numbers.newsAge());
    repeats.setSlack(repeat_part * settings.repeatSlack / static_cast<double>(nodeCount()));
    const std::int64_t now = wall.milliseconds();
    const std::int64_t window = runs.windowAt(now);
    runs.forgetBefore(window - 60);
    std::vector<std::string> names;
    for (const membership::member &each : members.members()) {
        if (each.takesWork())
            names.push_back(each.name);
    }
    lease.setEligible(!stopping
                      && placement::isCandidate(duties_lease, settings.name, names, duty_candidates));
    if (const auto held = lease.held())
        numbers.announceHolder(held->tenure);
    usage.setSettle(count_arrival + reports_per_count * numbers.interval());
    usage.setNodes(nodeCount());
    usage.turn(now);
    if (const auto &table = calls.table())
        orders.turn(table->content(), numbers.ledger().work());
}

void edge_node::parts::reload(const edge_settings &changed)
{
    settings.seeds = changed.seeds;
    settings.stopWithin = changed.stopWithin;
    settings.lookupLifetime = changed.lookupLifetime;
    settings.repeatSlack = changed.repeatSlack;
    members.setSeeds(gossipSeeds(settings));
    log_event(log_level::info, "edge.reloaded")
        .with("seeds", static_cast<std::int64_t>(settings.seeds.size()))
        .write();
}

void edge_node::parts::stop()
{
    if (std::exchange(stopping, true))
        return;
    log_event(log_level::info, "edge.stopping")
        .with("calls", static_cast<std::int64_t>(calls.running()))
        .with("within_ms", milliseconds(settings.stopWithin))
        .write();
    stopAt = tasks.now() + settings.stopWithin - stop_margin;
    members.leave();
    lease.release();
    callers->closeAfterAnswers();
    const duration accepting
        = std::min<duration>(lookup_lifetimes * settings.lookupLifetime, settings.stopWithin / 3);
    tasks.after(accepting, [this] {
        callers->stopAccepting();
        finishStop();
    });
}

void edge_node::parts::finishStop()
{
    callers->closeIdle();
    if (callers->unanswered() > 0 && tasks.now() < stopAt) {
        tasks.after(stop_check_interval, [this] { finishStop(); });
        return;
    }
    members.depart();
    log_event(log_level::info, "edge.stopped")
        .with("unanswered", static_cast<std::int64_t>(callers->unanswered()))
        .with("ran_s", seconds(tasks.now() - startedAt))
        .with("gossip_bytes", static_cast<std::int64_t>(members.traffic().bytes))
        .write();
    tasks.stop();
}

outcome<std::unique_ptr<edge_node>> edge_node::start(event_loop &loop, const edge_settings &settings)
{
    const outcome<secret_key> key = secret_key::fromPassphrase(settings.fleetKey);
    if (!key)
        return key.error();
    const auto bind = [&](std::uint16_t port) {
        return membership::udp_channel::bind(loop, {settings.callers.host, port},
                                             std::make_shared<fault_switch>());
    };
    auto gossip = bind(settings.gossipPort);
    if (!gossip)
        return gossip.error();
    auto numbers = bind(settings.fleetPort);
    if (!numbers)
        return numbers.error();
    auto assembled = std::make_unique<parts>(loop, settings, key.value(), std::move(gossip.value()),
                                             std::move(numbers.value()));
    if (const outcome<void> listening = assembled->listen(); !listening)
        return listening.error();
    assembled->start();
    return std::unique_ptr<edge_node>(new edge_node(std::move(assembled)));
}

edge_node::edge_node(std::unique_ptr<parts> assembled)
    : m_parts(std::move(assembled))
{
}

edge_node::~edge_node() = default;

void edge_node::reload(const edge_settings &changed)
{
    m_parts->reload(changed);
}

void edge_node::stop()
{
    m_parts->stop();
}

} // namespace ivypier::edge
