#pragma once

#include "base/event_loop.h"
#include "base/outcome.h"
#include "edge_settings.h"
#include "http/byte_stream.h"

#include <memory>

namespace ivypier::edge {

/// Owns and connects all components of an edge node.
class edge_node
{
public:
    /// Opens the listeners, joins the cluster and starts to follow the platform's tables. Returns an error
    /// when the fleet key is invalid or an address cannot be bound. `upstreamStreams` creates the connections
    /// to upstreams.
    static outcome<std::unique_ptr<edge_node>> start(event_loop &loop, const edge_settings &settings,
                                                     http::stream_factory upstreamStreams
                                                     = http::makePlainStream);

    ~edge_node();

    /// Applies the settings that can change at run time: seeds, the retry slack, the stop timeout and the
    /// look-up cache duration. All others need a restart.
    void reload(const edge_settings &changed);

    /// Shuts down gracefully: announces that the node leaves, accepts callers while cached look-up responses
    /// may still name it, waits until all calls are answered or the stop timeout is near, then stops the
    /// event loop.
    void stop();

private:
    struct edge_components;
    explicit edge_node(std::unique_ptr<edge_components> assembled);
    std::unique_ptr<edge_components> m_components;
};

} // namespace ivypier::edge
