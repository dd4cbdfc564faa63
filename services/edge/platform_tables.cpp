#include "platform_tables.h"

#include "platform/configuration_codec.h"
#include "platform/rollout_codec.h"
#include "platform/upstream_codec.h"
#include "platform/wire_names.h"

namespace ivypier::edge {

namespace {

/// Gossip fact that announces the newest configuration version, and the key prefixes of facts that announce a
/// draining upstream, whether the table listed an upstream at the version of the fact, and the end of an
/// upstream's process.
constexpr const char *configuration_fact = "configuration";
constexpr std::string_view draining_fact_prefix = "leaving/";
constexpr std::string_view listing_fact_prefix = "listing/";
constexpr std::string_view end_fact_prefix = "ended/";
constexpr const char *listed_value = "listed";
constexpr const char *absent_value = "absent";

/// When another node has announced a newer configuration, it normally arrives with the next changes. If it
/// has not after `refresh_delay`, the table is refreshed at intervals until it arrives, up to
/// `max_refresh_attempts` times.
constexpr duration refresh_delay = std::chrono::milliseconds(1000);
constexpr duration refresh_retry_interval = std::chrono::milliseconds(300);
constexpr int max_refresh_attempts = 10;
/// Other nodes are asked for the whole table this seldom: it may be large and their links slow.
constexpr int attempts_per_merge = 4;

/// Delay between two reads of the upstreams' changes. Their heartbeats change the table all the time, and
/// each read is a call to the platform; an upstream that leaves serves on for seconds.
constexpr duration upstream_batch_delay = std::chrono::milliseconds(400);

} // namespace

platform_tables::platform_tables(scheduler &tasks, random_source &randomness,
                                 membership::gossip_membership &members, cloud::change_feed &store,
                                 http::fetcher &calls, std::uint16_t controlPort,
                                 relay::upstream_directory &upstreams,
                                 relay::configuration_rows::update_handler onConfiguration,
                                 relay::rollout_rows::update_handler onRollouts)
    : m_tasks(tasks)
    , m_members(members)
    , m_upstreams(upstreams)
    , m_readers(tasks, randomness, members)
    , m_peerFeed(tasks, m_readers, calls, controlPort)
    , m_feed(m_readers, store, m_peerFeed)
    , m_peerServer(tasks)
    , m_configurationRows(adapter::wire::configuration_key, adapter::decodeConfiguration,
                          [&members, onConfiguration = std::move(onConfiguration)](
                              std::shared_ptr<const relay::route_table> table) {
                              const std::uint64_t version = table->version();
                              onConfiguration(std::move(table));
                              members.publish({configuration_fact, version, ""});
                          })
    , m_rolloutRows(tasks, adapter::wire::rollout_key_prefix, adapter::decodeRolloutOrder,
                    std::move(onRollouts))
    , m_upstreamRows(tasks, upstreams, adapter::decodeUpstream)
    , m_configuration(tasks, randomness, m_feed, &m_peerFeed, adapter::wire::operator_table, m_operatorRows)
    , m_upstreamTable(tasks, randomness, m_feed, &m_peerFeed, adapter::wire::upstream_table, m_upstreamRows,
                      {.settledBatchDelay = upstream_batch_delay})
{
}

void platform_tables::start()
{
    m_peerFeed.addTable(adapter::wire::operator_table, m_configurationTransfer, true);
    m_peerFeed.addTable(adapter::wire::upstream_table, m_upstreamTransfer, false);
    m_peerServer.serve(adapter::wire::operator_table, m_configuration, m_configurationTransfer);
    m_peerServer.serve(adapter::wire::upstream_table, m_upstreamTable, m_upstreamTransfer);
    m_configuration.onResponse([this] { m_members.recordPlatformResponse(); });
    m_members.onFact([this](const membership::fact &update) { handleFact(update); });
    // The draining of an incarnation is final; its absence from the table is not.
    m_upstreams.onUnavailable([this](const relay::upstream_record &each) {
        if (each.draining)
            m_members.publish({std::string(draining_fact_prefix) + each.id, 1, ""});
    });
    m_upstreamRows.onListingChanged([this](const relay::upstream_listing &each) {
        m_members.publish({std::string(listing_fact_prefix) + each.id, each.version,
                           each.isListed ? listed_value : absent_value});
    });
    m_upstreams.onEnded([this](const std::string &id) {
        m_members.publish({std::string(end_fact_prefix) + id, 1, ""});
    });
    m_configuration.start();
    m_upstreamTable.start();
}

void platform_tables::handleRequest(const http::incoming_request &incoming,
                                    const std::shared_ptr<http::reply> &to)
{
    m_peerServer.handleRequest(incoming, to);
}

void platform_tables::handleFact(const membership::fact &update)
{
    if (update.key == configuration_fact)
        m_tasks.after(refresh_delay,
                      [this, version = update.version] { refreshUntil(version, max_refresh_attempts); });
    else if (update.key.starts_with(draining_fact_prefix))
        m_upstreams.markDraining(update.key.substr(draining_fact_prefix.size()));
    else if (update.key.starts_with(end_fact_prefix))
        m_upstreams.recordToldEnd(update.key.substr(end_fact_prefix.size()));
    else if (update.key.starts_with(listing_fact_prefix))
        m_upstreamRows.applyListing(
            {update.key.substr(listing_fact_prefix.size()), update.version, update.value == listed_value});
}

void platform_tables::refreshUntil(std::uint64_t version, int attempts)
{
    if (m_configurationRows.version() >= version || attempts == 0)
        return;
    m_configuration.refresh();
    // The store may have been restored from a copy that is older than the configuration in force.
    if (attempts % attempts_per_merge == 0)
        m_configuration.mergeFromFallback();
    m_tasks.after(refresh_retry_interval, [this, version, attempts] { refreshUntil(version, attempts - 1); });
}

} // namespace ivypier::edge
