#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "cloud/table_service.h"
#include "relay/lookup_patience.h"
#include "relay/service_versions.h"
#include "relay/slot_balance.h"
#include "relay/version_row.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace ivypier::relay {

/// Lists the software versions of each service in a row of the platform's table, `versions/<service>`, before
/// streams begin at them. A row with one version that was read after a caller came back proves that its
/// stream began at that version. Docs: docs/design/stream-versions.md.
class version_register final : public service_versions
{
public:
    /// Called with the text of a row that this node wrote or read and did not know before.
    using row_handler
        = std::function<void(const std::string &service, std::uint64_t rowVersion, const std::string &text)>;

    /// A version without upstreams for this long is removed from its row. No call lasts longer than ten
    /// minutes, so no stream that began at the version can be resumed any more, also not one of a node that
    /// learned a little later that the upstreams are gone.
    static constexpr duration version_retention = std::chrono::minutes(11);
    /// A row is written again at the latest after this time, so that what nodes tell each other about it does
    /// not expire.
    static constexpr duration rewrite_interval = std::chrono::minutes(30);
    /// Time for each node of the fleet over which reads of a row are spread when a version appears.
    static constexpr duration read_spread_per_node = std::chrono::milliseconds(1);
    static constexpr duration retry_interval = std::chrono::milliseconds(400);
    /// A version is added to a row that lists others this long after its upstreams appeared. Meanwhile all
    /// nodes notice it and store the origins of their streams, which the row no longer proves afterwards.
    static constexpr duration listing_delay = std::chrono::seconds(1);
    /// Time after its start in which a node adds no version to a row that lists others. After the loss of all
    /// nodes, callers come back in this time, and the row is the only proof of where their streams began.
    static constexpr duration start_listing_delay = std::chrono::seconds(3);

    /// A version keeps its slots for this long after its last upstream stopped accepting calls.
    static constexpr duration abandoned_slots_delay = std::chrono::seconds(10);

    /// Slots that moved are confirmed once this node has known of the move for this long, and has told the
    /// others of it. They prove their version `version_retention` later.
    static constexpr duration confirmation_delay = std::chrono::seconds(2);
    /// Longest row with slots. Gossip carries up to 512 bytes, with the key of the row.
    static constexpr std::size_t max_row_bytes = 400;

    /// `wallMilliseconds` returns the wall-clock time in milliseconds since 1970.
    version_register(scheduler &tasks, random_source &randomness, cloud::table_service &table,
                     const upstream_directory &upstreams, std::function<std::int64_t()> wallMilliseconds);

    /// Reads all rows.
    void start();

    /// Sets the services to which routes of resumable streams lead.
    void setServices(std::set<std::string> services);

    /// Sets whether all known nodes begin streams at the selected versions. Nodes of earlier builds begin
    /// them anywhere, so beside them no slots are given out.
    void setSelectionFollowed(bool isFollowed);

    /// Adds versions that appeared to their rows. The node that holds the duties also removes versions that
    /// are gone and divides the slots. `nodes` is the number of nodes of the fleet.
    void poll(bool holdsDuties, std::size_t nodes);

    /// Takes over a row that another node announced, if it is newer than the known one.
    void applyAnnouncement(const std::string &service, std::uint64_t rowVersion, const std::string &text);

    void onRowRead(row_handler handler);

    bool mayBeginAt(const upstream_record &upstream) const override;
    bool mayHaveSeveral(const std::string &service) const override;
    std::optional<std::string> selectedVersion(const std::string &service,
                                               const stream_key &stream) const override;
    void findOnlyVersion(const std::string &service, completion done) override;

    /// Returns the services whose row lists more than one version, or will: upstreams of another one
    /// appeared.
    std::set<std::string> servicesWithSeveral() const;

    /// Returns the versions that the newest known rows list, by service.
    std::map<std::string, std::set<std::string>> listed() const;

private:
    struct lookup_request
    {
        completion done; ///< null once the request is completed
    };
    using lookup_requests = std::vector<std::shared_ptr<lookup_request>>;

    struct version_capacity
    {
        double calls = 0.0; ///< that the upstreams process concurrently; 0: not known
        time_point at{}; ///< when an upstream last accepted calls
    };

    struct service_state
    {
        version_row row;
        std::uint64_t rowVersion = 0; ///< 0: no row is known
        time_point rowKnownAt{}; ///< when this node learned of it
        bool isWriting = false;
        bool isReading = false; ///< a read for lookup requests is in progress
        time_point readStartedAt{};
        lookup_patience patience{max_version_lookup_time};
        std::optional<time_point> nextUpdate; ///< when the row is to be updated; not set: no need is known
        std::map<std::string, time_point> seenAt; ///< versions with upstreams, and when they were last seen
        std::map<std::string, time_point> firstSeenAt; ///< as above, and when they were first seen
        std::map<std::string, version_capacity> capacities; ///< by version
        lookup_requests nextLookups; ///< requests for the next read
    };

    static bool hasSeveral(const service_state &state);
    static std::string keyOf(const std::string &service);
    void noteUpstreams(service_state &state, const std::string &service) const;
    bool hasListedUpstream(const std::string &service, const service_state &state) const;
    std::set<std::string> versionsToAdd(const std::string &service, const service_state &state) const;
    bool needsUpdate(const std::string &service, const service_state &state, bool holdsDuties) const;
    std::set<std::string> expiredVersions(const service_state &state) const;
    void noteCapacities(service_state &state, const std::string &service) const;
    std::map<std::string, double> capacities(const service_state &state,
                                             const std::set<std::string> &listed) const;
    bool isSingleVersionProven(const service_state &state) const;
    version_slots slotsDue(const service_state &state, const std::set<std::string> &listed, bool isFirstRow,
                           bool holdsDuties) const;
    void updateIfDue(const std::string &service, bool holdsDuties);
    void update(const std::string &service, bool holdsDuties);
    void write(const std::string &service, const std::optional<cloud::table_row> &current, bool holdsDuties);
    void applyRow(const std::string &service, const cloud::table_row &row);
    void startLookup(const std::string &service);
    void completeLookups(const lookup_requests &requests, const version_lookup &response) const;
    version_lookup responseFor(const std::optional<cloud::table_row> &row) const;

    scheduler &m_tasks;
    random_source &m_random;
    cloud::table_service &m_table;
    const upstream_directory &m_upstreams;
    std::function<std::int64_t()> m_wallMilliseconds;
    time_point m_startedAt;
    bool m_isSelectionFollowed = false;
    std::set<std::string> m_services;
    std::map<std::string, service_state> m_states;
    row_handler m_onRowRead;
};

} // namespace ivypier::relay
