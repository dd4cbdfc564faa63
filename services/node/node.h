#pragma once

#include "base/event_loop.h"
#include "base/outcome.h"
#include "node_settings.h"

#include <memory>

namespace ivypier::node {

/// An entry node. Owns the node's components and connects them.
class node
{
public:
    /// Starts the HTTP and gossip listeners and begins to follow membership and configuration. Returns an
    /// error if the fleet key is invalid or a listener can't be opened.
    static outcome<std::unique_ptr<node>> start(event_loop &loop, const node_settings &settings);

    ~node();

    /// Leaves the fleet, finishes running requests or hands them over to other nodes, then stops the event
    /// loop.
    void drain();

private:
    struct node_components;
    explicit node(std::unique_ptr<node_components> assembled);
    std::unique_ptr<node_components> m_components;
};

} // namespace ivypier::node
