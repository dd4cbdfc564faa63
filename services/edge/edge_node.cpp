#include "edge_node.h"

#include "caller_lookup.h"
#include "configuration_findings.h"
#include "origin_metrics.h"
#include "peer_feed_codec.h"
#include "platform_tables.h"
#include "quarantine_control.h"
#include "rollout_control.h"
#include "upstream_report.h"

#include "base/hash.h"
#include "base/json.h"
#include "base/log_event.h"
#include "base/random_source.h"
#include "base/status_codes.h"
#include "base/steady_wall_clock.h"
#include "duties/upstream_autoscaler.h"
#include "duties/usage_reporter.h"
#include "fleet/crash_exchange.h"
#include "fleet/fleet_exchange.h"
#include "fleet/fleet_size.h"
#include "fleet/origin_exchange.h"
#include "fleet/origin_recorder.h"
#include "fleet/origin_shard.h"
#include "fleet/peer_paths.h"
#include "fleet/permit_exchange.h"
#include "http/connection_pool.h"
#include "http/fetcher.h"
#include "http/listener.h"
#include "membership/gossip_membership.h"
#include "membership/udp_channel.h"
#include "placement/duty_candidates.h"
#include "placement/lease.h"
#include "platform/caller_codec.h"
#include "platform/cloud_client.h"
#include "platform/lookup_codec.h"
#include "platform/runner_protocol.h"
#include "platform/store_client.h"
#include "relay/call_forwarder.h"
#include "relay/expected_time_selector.h"
#include "relay/forwarded_call.h"
#include "relay/forwarding_transport.h"
#include "relay/path_aware_check.h"
#include "relay/prefix_affinity_selector.h"
#include "relay/quarantine_register.h"
#include "relay/relay_service.h"
#include "relay/tcp_reachability_check.h"
#include "relay/version_register.h"

#include <algorithm>

namespace ivypier::edge {

namespace {

/// Interval between updates of quotas, the retry budget and duties.
constexpr duration update_interval = std::chrono::milliseconds(400);
/// A window's usage counts are complete after this margin, the delay of a report and one more report, if one
/// was lost.
constexpr duration count_delivery_margin = std::chrono::milliseconds(800);
constexpr duration fleet_size_retry_interval = std::chrono::seconds(1);
/// Number of nodes that compete for the lease.
constexpr std::size_t lease_candidate_count = 3;
/// Callers may cache a look-up response for up to three times its lifetime.
constexpr int max_lookup_cache_durations = 3;
/// The process exits this long before the platform would kill it.
constexpr duration stop_margin = std::chrono::milliseconds(500);
constexpr duration stop_check_interval = std::chrono::milliseconds(50);
/// Before its end, the process sends the answers of the calls that it gave up for this long.
constexpr duration last_answers_time = std::chrono::milliseconds(200);
/// A caller that has not used its connection for this long while the node stops is not about to use it.
constexpr duration idle_connection_time = std::chrono::milliseconds(500);
/// Minimum connection limit of a node for one upstream, however many nodes share the upstream.
constexpr std::size_t min_connections_per_upstream = 4;
/// Bytes that the request for an upstream has beyond the headers and the body of the caller's.
constexpr std::uint64_t forwarded_head_bytes = std::uint64_t{16} * 1024;
/// File descriptors reserved for upstreams, the store and files; the others are for caller connections.
constexpr std::size_t reserved_descriptors = 900;
/// Key prefix of the gossip facts that announce the software versions of a service.
const std::string version_fact_prefix = "versions/";
/// All duties share one lease: they make few requests, and a single lease keeps renewals few, too.
constexpr const char *duties_lease_name = "duties";

relay::retry_budget_options retryOptions(const edge_settings &settings)
{
    relay::retry_budget_options result;
    result.ratio = relay::used_retry_fraction * settings.retryRatio;
    result.slack = relay::used_retry_fraction * settings.retrySlack;
    result.window = settings.retryWindow;
    result.ratioAfterStart = relay::used_retry_fraction_after_start * settings.retryRatio;
    return result;
}

} // namespace

struct edge_node::edge_components
{
    edge_components(event_loop &loop, const edge_settings &initialSettings, secret_key key,
                    http::stream_factory upstreamStreams,
                    std::unique_ptr<membership::udp_channel> gossipUdpChannel,
                    std::unique_ptr<membership::udp_channel> fleetUdpChannel,
                    std::unique_ptr<membership::udp_channel> permitUdpChannel,
                    std::unique_ptr<membership::udp_channel> originUdpChannel,
                    std::unique_ptr<membership::udp_channel> crashUdpChannel);

    outcome<void> listen();
    void start();
    void reload(const edge_settings &changed);
    void stop();
    void finishStop();

    event_loop &tasks;
    edge_settings settings;
    seeded_random randomness = seeded_random::fromSystem();
    metrics_registry metrics;
    steady_wall_clock wallClock{tasks};
    http::stream_factory streamsToUpstreams;
    std::unique_ptr<membership::udp_channel> gossipChannel;
    std::unique_ptr<membership::udp_channel> fleetChannel;
    std::unique_ptr<membership::udp_channel> permitChannel;
    std::unique_ptr<membership::udp_channel> originChannel;
    std::unique_ptr<membership::udp_channel> crashChannel;
    membership::gossip_membership members;
    http::connection_pool upstreamConnections{tasks, streamsToUpstreams};
    http::connection_pool peerConnections{tasks};
    http::connection_pool platformConnections{tasks};
    http::fetcher platformCalls{tasks, platformConnections};
    adapter::store_client store{platformCalls, settings.store};
    adapter::cloud_client cloud{platformCalls, settings.cloud, settings.name};
    relay::upstream_directory upstreams{tasks};
    adapter::runner_protocol protocol;
    relay::upstream_speed upstreamSpeeds{tasks};
    std::unique_ptr<relay::upstream_selector> upstreamSelector = makeSelector();
    relay::retry_budget retryBudget{tasks, retryOptions(settings)};
    relay::unit_quota quota{tasks, randomness};
    relay::run_counter runCounter{milliseconds(settings.usageWindow)};
    relay::work_meter workMeter{tasks};
    relay::call_rollouts callRollouts{tasks, randomness};
    fleet::local_metrics localMetrics{quota,     runCounter,       upstreams,
                                      workMeter, speedsToReport(), rolloutsOfCalls()};
    fleet::fleet_exchange fleetExchange;
    fleet::permit_exchange permits;
    fleet::origin_recorder originRecorder{tasks, store, randomness.index(fleet::origin_shards::max_rows),
                                          [this] { return wallClock.milliseconds(); }};
    fleet::origin_exchange origins;
    fleet::crash_exchange quarantine;
    relay::crash_key_deriver crashKeys;
    relay::quarantine_register quarantineRows{
        tasks, randomness, store, quarantine.entries(),
        [this](const relay::quarantine_entry &entry) { quarantine.publish(entry); }};
    quarantine_control quarantineControl{tasks, quarantine, crashKeys};
    relay::tcp_reachability_check reachability{tasks, streamsToUpstreams};
    relay::upstream_paths paths{tasks, randomness, upstreams, reachability};
    fleet::peer_paths peerPaths{tasks, randomness, members, settings.control.port,
                                [this] { return wallClock.milliseconds(); }};
    relay::forwarding_transport upstreamTransport{tasks,           metrics, upstreamConnections,
                                                  peerConnections, paths,   peerPaths};
    relay::path_aware_check endCheck{reachability, paths};
    relay::upstream_end_detector upstreamEnds{tasks, upstreams, endCheck, quarantine};
    relay::version_register versions{tasks, randomness, store, upstreams,
                                     [this] { return wallClock.milliseconds(); }};
    fleet::fleet_size fleetSize{tasks, members};
    relay::answer_buffers answerBuffers{settings.answerBufferBytes};
    relay::relay_service relayService{{tasks,
                                       randomness,
                                       metrics,
                                       upstreamTransport,
                                       protocol,
                                       upstreams,
                                       *upstreamSelector,
                                       retryBudget,
                                       quota,
                                       runCounter,
                                       workMeter,
                                       upstreamSpeeds,
                                       permits,
                                       origins,
                                       versions,
                                       answerBuffers,
                                       quarantine,
                                       upstreamEnds,
                                       crashKeys,
                                       [this] { return wallClock.milliseconds(); },
                                       [this](const relay::service &of) { return connectionsFor(of); },
                                       rolloutsOfCalls()}};

    relay::call_forwarder forwarder{
        tasks,
        upstreamConnections,
        protocol,
        upstreams,
        paths,
        answerBuffers,
        [this](const relay::upstream_record &to) { return connectionsFor(to.service); }};

    platform_tables tables{
        tasks,
        randomness,
        members,
        store,
        platformCalls,
        settings.control.port,
        upstreams,
        [this](std::shared_ptr<const relay::route_table> table) { applyConfiguration(std::move(table)); },
        [this](const std::vector<delivery::rollout_order> &orders) { rolloutControl.setOrders(orders); }};

    /// Only one process at a time runs on a VM, so the VM's name identifies the lease holder.
    placement::lease_manager lease{
        tasks, store, duties_lease_name, settings.name, settings.leaseTerm, randomness.next() >> 1};
    duties::usage_reporter usageReporter{tasks,
                                         store,
                                         cloud,
                                         lease,
                                         fleetExchange.aggregator(),
                                         {.windowMilliseconds = milliseconds(settings.usageWindow)}};
    rollout_control rolloutControl{tasks, callRollouts, members, store, lease, fleetExchange, upstreams};
    duties::upstream_autoscaler autoscaler{tasks, cloud, lease, upstreams, duties::capacity_policy({}), {}};

    std::unique_ptr<http::listener> callListener;
    std::unique_ptr<http::listener> readinessListener;
    std::unique_ptr<http::listener> lookupListener;
    std::unique_ptr<http::listener> controlListener;
    std::unique_ptr<http::listener> metricsListener;
    time_point startedAt{};
    time_point stopDeadline{}; ///< latest time at which the process exits
    bool stopping = false;

    void handleCall(http::incoming_request incoming, const std::shared_ptr<http::reply> &to);
    void handleReadiness(const http::incoming_request &incoming, http::reply &to) const;
    void handleLookup(const http::incoming_request &incoming, http::reply &to) const;
    void handleControl(const http::incoming_request &incoming, const std::shared_ptr<http::reply> &to);
    void handleMetrics(const http::incoming_request &incoming, http::reply &to);
    void handleQuarantine(const http::incoming_request &incoming, http::reply &to);
    std::unique_ptr<relay::upstream_selector> makeSelector();
    /// Returns null if this node does not use the speeds.
    const relay::upstream_speed *speedsToReport() const
    {
        return settings.selection == upstream_selection::expected_time ? &upstreamSpeeds : nullptr;
    }
    void startVersions();
    void pollVersions();
    void startRollouts();
    /// Returns null if the deployment has no rollouts.
    relay::call_rollouts *rolloutsOfCalls()
    {
        return settings.hasRollouts() ? &callRollouts : nullptr;
    }
    void applyConfiguration(std::shared_ptr<const relay::route_table> table);
    void update();
    void readFleetSize();
    std::size_t connectionsFor(const relay::service &service) const;
    std::size_t connectionsFor(const std::string &serviceName) const;
    bool isReady() const;
};

namespace {

membership::member describeSelf(const edge_settings &settings, random_source &randomness)
{
    membership::member self;
    self.id = randomness.next() | 1; // 0 is reserved for "no node"
    self.name = settings.name;
    self.address = settings.callers;
    self.gossipAddress = {settings.callers.host, settings.gossipPort};
    self.failureDomain = settings.failureDomain;
    self.region = settings.region;
    self.features = membership::feature_level::version_selection;
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

edge_node::edge_components::edge_components(event_loop &loop, const edge_settings &initialSettings,
                                            secret_key key, http::stream_factory upstreamStreams,
                                            std::unique_ptr<membership::udp_channel> gossipUdpChannel,
                                            std::unique_ptr<membership::udp_channel> fleetUdpChannel,
                                            std::unique_ptr<membership::udp_channel> permitUdpChannel,
                                            std::unique_ptr<membership::udp_channel> originUdpChannel,
                                            std::unique_ptr<membership::udp_channel> crashUdpChannel)
    : tasks(loop)
    , settings(initialSettings)
    , streamsToUpstreams(std::move(upstreamStreams))
    , gossipChannel(std::move(gossipUdpChannel))
    , fleetChannel(std::move(fleetUdpChannel))
    , permitChannel(std::move(permitUdpChannel))
    , originChannel(std::move(originUdpChannel))
    , crashChannel(std::move(crashUdpChannel))
    , members(tasks, randomness, *gossipChannel, key, describeSelf(settings, randomness),
              gossipSeeds(settings))
    , fleetExchange(tasks, *fleetChannel, key, members, settings.fleetPort, duties_lease_name, localMetrics,
                    quota, [this] { return runCounter.windowAt(wallClock.milliseconds()); })
    , permits(tasks, randomness, *permitChannel, key, members, settings.permitPort)
    , origins(tasks, *originChannel, key, members, settings.originPort, &originRecorder)
    , quarantine(tasks, *crashChannel, key, members, settings.crashPort)
    , crashKeys(key)
{
}

outcome<void> edge_node::edge_components::listen()
{
    using request_handler
        = std::function<void(const http::incoming_request &, const std::shared_ptr<http::reply> &)>;
    const auto open
        = [this](std::unique_ptr<http::listener> &to, const endpoint &at, request_handler handleRequest) {
              auto opened = http::listener::open(
                  tasks, at, {},
                  [handleRequest](const http::incoming_request &incoming,
                                  std::shared_ptr<http::reply> reply) { handleRequest(incoming, reply); });
              if (!opened)
                  return outcome<void>(opened.error());
              to = std::move(opened.value());
              return outcome<void>(success());
          };
    auto opened
        = http::listener::open(tasks, settings.callers,
                               {.maxConnections = settings.maxDescriptors > 2 * reserved_descriptors
                                    ? settings.maxDescriptors - reserved_descriptors
                                    : settings.maxDescriptors / 2},
                               [this](http::incoming_request incoming, std::shared_ptr<http::reply> reply) {
                                   handleCall(std::move(incoming), reply);
                               });
    if (!opened)
        return opened.error();
    callListener = std::move(opened.value());
    for (const outcome<void> &each :
         {open(readinessListener, settings.readiness,
               [this](const auto &incoming, auto &to) { handleReadiness(incoming, *to); }),
          open(lookupListener, settings.lookups,
               [this](const auto &incoming, auto &to) { handleLookup(incoming, *to); }),
          open(controlListener, settings.control,
               [this](const auto &incoming, auto &to) { handleControl(incoming, to); }),
          open(metricsListener, settings.metrics,
               [this](const auto &incoming, auto &to) { handleMetrics(incoming, *to); })}) {
        if (!each)
            return each.error();
    }
    return success();
}

void edge_node::edge_components::start()
{
    startedAt = tasks.now();
    startRollouts();
    quota.setTolerance(settings.limitTolerance);
    upstreamSpeeds.setRemote([this](const std::string &id) { return fleetExchange.remoteSpeed(id); });
    tables.start();
    members.start();
    fleetExchange.start();
    upstreamConnections.onIdleClosed([this](const endpoint &address) {
        if (const relay::upstream *at = upstreams.findByAddress(address))
            upstreamEnds.recordClosedConnection(at->record.id);
    });
    permits.start();
    origins.start();
    quarantine.start();
    quarantineRows.start();
    startVersions();
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

std::unique_ptr<relay::upstream_selector> edge_node::edge_components::makeSelector()
{
    const auto remoteLoad = [this](const std::string &id) { return fleetExchange.remoteLoad(id); };
    if (settings.selection == upstream_selection::prefix_affinity)
        return std::make_unique<relay::prefix_affinity_selector>(tasks, randomness, upstreams,
                                                                 settings.failureDomain, remoteLoad);
    return std::make_unique<relay::expected_time_selector>(tasks, randomness, upstreams, upstreamSpeeds,
                                                           settings.failureDomain, remoteLoad);
}

void edge_node::edge_components::startVersions()
{
    versions.onRowRead([this](const std::string &service, std::uint64_t rowVersion, const std::string &text) {
        members.publish({version_fact_prefix + service, rowVersion, text});
        origins.setStoredServices(versions.servicesWithSeveral());
    });
    members.onFact([this](const membership::fact &update) {
        if (update.key.starts_with(version_fact_prefix))
            versions.applyAnnouncement(update.key.substr(version_fact_prefix.size()), update.version,
                                       update.value);
    });
    versions.start();
}

void edge_node::edge_components::pollVersions()
{
    const std::vector<membership::member> nodes = members.members();
    versions.setSelectionFollowed(std::all_of(nodes.begin(), nodes.end(), [](const membership::member &each) {
        return each.features >= membership::feature_level::version_selection;
    }));
    versions.poll(lease.held().has_value(), fleetSize.count());
}

void edge_node::edge_components::startRollouts()
{
    if (!settings.hasRollouts())
        return;
    autoscaler.followRollouts(callRollouts.gate());
    rolloutControl.start({settings.exposureShare, static_cast<std::uint64_t>(settings.exposureTolerance),
                          settings.rollbackTime});
}

void edge_node::edge_components::handleCall(http::incoming_request incoming,
                                            const std::shared_ptr<http::reply> &to)
{
    outcome<relay::call> decoded = adapter::decodeCall(std::move(incoming));
    if (!decoded) {
        log_event(log_level::info, "call.malformed").with("reason", decoded.error().message).write();
        to->send(status_bad_request, {}, {});
        return;
    }
    relayService.handle(std::move(decoded.value()), to);
}

bool edge_node::edge_components::isReady() const
{
    return relayService.table() != nullptr && !stopping;
}

void edge_node::edge_components::handleReadiness(const http::incoming_request &incoming,
                                                 http::reply &to) const
{
    const bool isKnownPath = adapter::isReadinessProbe(incoming);
    to.send(!isKnownPath ? status_not_found : isReady() ? status_ok : status_service_unavailable, {}, {});
}

void edge_node::edge_components::handleLookup(const http::incoming_request &incoming, http::reply &to) const
{
    const auto request = adapter::decodeLookup(incoming);
    if (!request) {
        to.send(status_not_found, {}, {});
        return;
    }
    const std::vector<endpoint> addresses
        = addressesFor(members.members(), request->failureDomain, peerPaths.impairedNodes());
    if (addresses.empty()) {
        to.send(status_service_unavailable, {}, {});
        return;
    }
    to.send(status_ok, {{"Content-Type", "application/json"}},
            adapter::encodeLookupResponse(addresses, settings.lookupCacheDuration));
}

void edge_node::edge_components::handleControl(const http::incoming_request &incoming,
                                               const std::shared_ptr<http::reply> &to)
{
    if (incoming.head.path() == peer_feed_path)
        tables.handleRequest(incoming, to);
    else if (incoming.head.path() == relay::forwarded_call_path)
        forwarder.handle(incoming, to);
    else
        to->send(status_not_found, {}, {});
}

void edge_node::edge_components::handleMetrics(const http::incoming_request &incoming, http::reply &to)
{
    if (incoming.head.path() == "/upstreams") {
        const upstream_knowledge known{upstreams, *upstreamSelector, permits.limits(), versions.listed(),
                                       tasks.now()};
        to.send(status_ok, {{"Content-Type", "application/json"}}, writeJson(reportUpstreams(known)));
        return;
    }
    if (incoming.head.path().starts_with("/quarantine")) {
        handleQuarantine(incoming, to);
        return;
    }
    if (incoming.head.path().starts_with("/rollouts")) {
        rolloutControl.handleRequest(incoming, to);
        return;
    }
    if (incoming.head.path() != "/metrics") {
        to.send(status_not_found, {}, {});
        return;
    }
    const http::pool_counts connections = upstreamConnections.counts();
    metrics.set("ivypier_upstream_connections", {}, static_cast<double>(connections.open));
    metrics.set("ivypier_upstream_connections_opened", {}, static_cast<double>(connections.opened));
    metrics.set("ivypier_upstream_connections_reused", {}, static_cast<double>(connections.reused));
    metrics.set("ivypier_caller_connections", {}, static_cast<double>(callListener->connectionCount()));
    metrics.set("ivypier_calls_running", {}, static_cast<double>(relayService.running()));
    metrics.set("ivypier_nodes", {}, static_cast<double>(members.memberCount()));
    metrics.set("ivypier_configuration_version", {}, static_cast<double>(tables.configurationVersion()));
    metrics.set("ivypier_gossip_bytes", {}, static_cast<double>(members.traffic().bytes));
    metrics.set("ivypier_fleet_number_bytes", {}, static_cast<double>(fleetExchange.bytesSent()));
    metrics.set("ivypier_table_bytes_sent", {}, static_cast<double>(tables.bytesSentToNodes()));
    metrics.set("ivypier_store_restores", {}, static_cast<double>(store.restoresSeen()));
    metrics.set("ivypier_duty_held", {}, lease.held() ? 1.0 : 0.0);
    metrics.set("ivypier_upstream_paths_failed", {}, static_cast<double>(paths.failedCount()));
    metrics.set("ivypier_calls_forwarding", {}, static_cast<double>(forwarder.running()));
    metrics.set("ivypier_upstream_limits", {}, static_cast<double>(permits.limits().size()));
    metrics.set("ivypier_permits_refused", {}, static_cast<double>(permits.refusals()));
    metrics.set("ivypier_stream_origins", {}, static_cast<double>(origins.recordCount()));
    metrics.set("ivypier_stream_origin_datagrams", {}, static_cast<double>(origins.datagramsSent()));
    setOriginMetrics(metrics, originRecorder);
    metrics.set("ivypier_quarantine_entries", {}, static_cast<double>(quarantine.entries().all().size()));
    metrics.set("ivypier_quarantine_datagrams", {}, static_cast<double>(quarantine.datagramsSent()));
    metrics.set("ivypier_answer_buffer_bytes", {}, static_cast<double>(answerBuffers.totalBytes()));
    metrics.set("ivypier_answer_buffers_dropped", {}, static_cast<double>(answerBuffers.dropped()));
    rolloutControl.exportTo(metrics);
    for (const auto &[service, listed] : versions.listed())
        metrics.set("ivypier_software_versions", {{"service", service}}, static_cast<double>(listed.size()));
    for (const relay::upstream *each : upstreams.all())
        metrics.set("ivypier_upstream_calls_running", {{"upstream", each->record.id}}, each->running);
    to.send(status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.exposition());
}

void edge_node::edge_components::handleQuarantine(const http::incoming_request &incoming, http::reply &to)
{
    const http::field_list fields{{"Content-Type", "application/json"}};
    const std::string path(incoming.head.path());
    const bool isChange = incoming.head.method == "POST";
    if (path == "/quarantine" && !isChange) {
        to.send(status_ok, fields, writeJson(quarantineControl.report()));
        return;
    }
    if (!isChange || (path != "/quarantine/lift" && path != "/quarantine/convict")) {
        to.send(status_not_found, {}, {});
        return;
    }
    const outcome<void> done = path == "/quarantine/lift" ? quarantineControl.lift(incoming.body)
                                                          : quarantineControl.convict(incoming.body);
    Json::Value body(Json::objectValue);
    if (!done)
        body["message"] = done.error().message;
    to.send(done ? status_ok : status_bad_request, fields, writeJson(body));
}

void edge_node::edge_components::applyConfiguration(std::shared_ptr<const relay::route_table> table)
{
    const relay::caller_limits &limits = table->content().limits;
    http::connection_limits connectionLimits;
    connectionLimits.headerBytes = limits.headerBytes;
    connectionLimits.bodyBytes = limits.bodyBytes;
    connectionLimits.headerTimeout = limits.headerTimeout;
    connectionLimits.idleTimeout = limits.idleTimeout;
    connectionLimits.maxConnections = settings.maxDescriptors > 2 * reserved_descriptors
        ? settings.maxDescriptors - reserved_descriptors
        : settings.maxDescriptors / 2;
    callListener->setLimits(connectionLimits);
    controlListener->setLimits({.bodyBytes = limits.bodyBytes + limits.headerBytes + forwarded_head_bytes});
    std::set<std::string> resumableServices;
    for (const relay::route &each : table->content().routes) {
        for (const relay::route_target &target : each.targets) {
            if (each.kind == relay::call_kind::resumable_stream)
                resumableServices.insert(target.service);
        }
    }
    versions.setServices(std::move(resumableServices));
    pollVersions();
    const std::shared_ptr<const relay::route_table> applied = table;
    relayService.setTable(std::move(table));
    logConfigurationFindings(applied->content());
}

void edge_node::edge_components::readFleetSize()
{
    store.read(duties::usage_reporter::row_key, [this](const outcome<std::optional<cloud::table_row>> &read) {
        const auto nodes
            = read && read.value() ? duties::usage_reporter::decodeNodes(read.value()->value) : std::nullopt;
        log_event(log_level::info, "fleet.size_read")
            .with("nodes", nodes ? static_cast<std::int64_t>(*nodes) : 0)
            .with("reason", read ? "" : read.error().message)
            .write();
        if (read)
            fleetSize.setStored(nodes);
        else
            tasks.after(fleet_size_retry_interval, [this] { readFleetSize(); });
    });
}

std::size_t edge_node::edge_components::connectionsFor(const relay::service &service) const
{
    return std::max(service.maxConnections / fleetSize.count(), min_connections_per_upstream);
}

std::size_t edge_node::edge_components::connectionsFor(const std::string &serviceName) const
{
    const auto &table = relayService.table();
    const relay::service *known = table ? table->content().findService(serviceName) : nullptr;
    return known ? connectionsFor(*known) : min_connections_per_upstream;
}

void edge_node::edge_components::update()
{
    tasks.after(update_interval, [this] { update(); });
    fleetSize.update(fleetExchange.hasRemoteCollector());
    peerPaths.update(paths.isImpaired());
    upstreamSpeeds.forgetIdle();
    quota.setNodes(fleetSize.count());
    quota.setRemoteReporting(fleetExchange.hasRemoteCollector(), fleetExchange.reportAge());
    quota.setSilentFraction(fleetExchange.silentFraction(fleetSize.count()), fleet::silent_node_age);
    retryBudget.setNodes(fleetSize.peak());
    pollVersions();
    originRecorder.setNodes(fleetSize.count());
    originRecorder.poll();
    origins.setStoredServices(versions.servicesWithSeveral());
    quarantineRows.poll(lease.held().has_value());
    const std::int64_t now = wallClock.milliseconds();
    const std::int64_t window = runCounter.windowAt(now);
    runCounter.dropWindowsBefore(window - 60);
    std::vector<std::string> names;
    for (const membership::member &each : members.members()) {
        if (each.acceptsWork())
            names.push_back(each.name);
    }
    lease.setEligible(
        !stopping && placement::isCandidate(duties_lease_name, settings.name, names, lease_candidate_count));
    if (const auto held = lease.held())
        fleetExchange.announceHolder(held->tenure);
    usageReporter.setSettleTime(count_delivery_margin + fleetExchange.reportDelay()
                                + fleetExchange.interval());
    usageReporter.setNodes(fleetSize.count());
    usageReporter.poll(now);
    if (const auto &table = relayService.table())
        autoscaler.poll(table->content(), fleetExchange.aggregator().work());
}

void edge_node::edge_components::reload(const edge_settings &changed)
{
    settings.seeds = changed.seeds;
    settings.stopTimeout = changed.stopTimeout;
    settings.lookupCacheDuration = changed.lookupCacheDuration;
    settings.retrySlack = changed.retrySlack;
    settings.limitTolerance = changed.limitTolerance;
    retryBudget.setSlack(retryOptions(settings).slack);
    quota.setTolerance(settings.limitTolerance);
    members.setSeeds(gossipSeeds(settings));
    log_event(log_level::info, "edge.reloaded")
        .with("seeds", static_cast<std::int64_t>(settings.seeds.size()))
        .write();
}

void edge_node::edge_components::stop()
{
    if (std::exchange(stopping, true))
        return;
    log_event(log_level::info, "edge.stopping")
        .with("calls", static_cast<std::int64_t>(relayService.running()))
        .with("within_ms", milliseconds(settings.stopTimeout))
        .write();
    stopDeadline = tasks.now() + settings.stopTimeout - stop_margin;
    members.leave();
    origins.handOver();
    lease.release();
    callListener->closeAfterResponses();
    const duration acceptPeriod = std::min<duration>(
        max_lookup_cache_durations * settings.lookupCacheDuration, settings.stopTimeout / 3);
    tasks.after(acceptPeriod, [this] {
        callListener->stopAccepting();
        relayService.stopAccepting();
        forwarder.stopAccepting();
        finishStop();
    });
}

void edge_node::edge_components::finishStop()
{
    callListener->closeIdleConnections(idle_connection_time);
    const bool hasCalls = callListener->unansweredRequestCount() > 0 || forwarder.running() > 0
        || callListener->recentlyUsedConnectionCount(idle_connection_time) > 0;
    if (tasks.now() >= stopDeadline)
        relayService.endUnanswered();
    if (hasCalls && tasks.now() < stopDeadline + last_answers_time) {
        tasks.after(stop_check_interval, [this] { finishStop(); });
        return;
    }
    fleetExchange.reportFinally();
    origins.handOver(); // records that arrived before all nodes knew that this one leaves
    members.announceStop();
    log_event(log_level::info, "edge.stopped")
        .with("unanswered", static_cast<std::int64_t>(callListener->unansweredRequestCount()))
        .with("ran_s", seconds(tasks.now() - startedAt))
        .with("gossip_bytes", static_cast<std::int64_t>(members.traffic().bytes))
        .write();
    tasks.stop();
}

outcome<std::unique_ptr<edge_node>> edge_node::start(event_loop &loop, const edge_settings &settings,
                                                     http::stream_factory upstreamStreams)
{
    const outcome<secret_key> key = secret_key::fromPassphrase(settings.fleetKey);
    if (!key)
        return key.error();
    const auto bind = [&](std::uint16_t port) {
        return membership::udp_channel::bind(loop, {settings.callers.host, port},
                                             std::make_shared<fault_switch>());
    };
    auto gossipUdpChannel = bind(settings.gossipPort);
    if (!gossipUdpChannel)
        return gossipUdpChannel.error();
    auto fleetUdpChannel = bind(settings.fleetPort);
    if (!fleetUdpChannel)
        return fleetUdpChannel.error();
    auto permitUdpChannel = bind(settings.permitPort);
    if (!permitUdpChannel)
        return permitUdpChannel.error();
    auto originUdpChannel = bind(settings.originPort);
    if (!originUdpChannel)
        return originUdpChannel.error();
    auto crashUdpChannel = bind(settings.crashPort);
    if (!crashUdpChannel)
        return crashUdpChannel.error();
    auto assembled = std::make_unique<edge_components>(
        loop, settings, key.value(), std::move(upstreamStreams), std::move(gossipUdpChannel.value()),
        std::move(fleetUdpChannel.value()), std::move(permitUdpChannel.value()),
        std::move(originUdpChannel.value()), std::move(crashUdpChannel.value()));
    if (const outcome<void> listening = assembled->listen(); !listening)
        return listening.error();
    assembled->start();
    return std::unique_ptr<edge_node>(new edge_node(std::move(assembled)));
}

edge_node::edge_node(std::unique_ptr<edge_components> assembled)
    : m_components(std::move(assembled))
{
}

edge_node::~edge_node() = default;

void edge_node::reload(const edge_settings &changed)
{
    m_components->reload(changed);
}

void edge_node::stop()
{
    m_components->stop();
}

} // namespace ivypier::edge
