#pragma once

#include "relay/service_map.h"
#include "relay/service_versions.h"
#include "relay/stream_origins.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::relay {

/// Finds what is known of where one stream began: in the memory of the nodes; then by the proof that its
/// service has a single version, and in the records that outlive all nodes.
class origin_search : public std::enable_shared_from_this<origin_search>
{
public:
    using completion = std::function<void(const origin_lookup &, const version_lookup &)>;

    /// Starts a search and calls `done` once, possibly before it returns. `stream` is not set if the caller
    /// did not name the stream; `service` is the one that the route would give a new call.
    static void start(stream_origins &origins, service_versions &versions,
                      const std::optional<stream_key> &stream, const std::string &service,
                      const std::vector<route_target> &targets, completion done);

private:
    origin_search(stream_origins &origins, service_versions &versions,
                  const std::optional<stream_key> &stream, completion done);

    void applyMemory(const origin_lookup &found, const std::string &service,
                     const std::vector<route_target> &targets);
    void findStored();
    void applyStored(const origin_lookup &found);
    void applyDeviation(const deviation_lookup &found);
    void applyVersions(const version_lookup &found);
    void completeIfKnown();
    /// Finds the version that the key of the stream selects, if that proves where the stream began.
    void applySelection();

    stream_origins &m_origins;
    service_versions &m_versions;
    std::optional<stream_key> m_stream;
    completion m_done; ///< null once it was called
    origin_lookup m_found{.isComplete = true};
    version_lookup m_foundVersions;
    deviation_lookup m_foundDeviation;
    bool m_isStoredStarted = false;
    int m_awaited = 0; ///< lookups in progress
};

} // namespace ivypier::relay
