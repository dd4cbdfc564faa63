#pragma once

#include "base/event_loop.h"
#include "base/outcome.h"
#include "node_settings.h"

#include <memory>

namespace ivypier::node {

/// One entry node: every part of it, put together.
class node
{
public:
    /// Listens and starts to follow membership and configuration.
    static outcome<std::unique_ptr<node>> start(event_loop &loop, const node_settings &settings);

    ~node();

    /// Leaves the fleet, finishes or hands over what runs, then stops the loop.
    void drain();

private:
    struct node_components;
    explicit node(std::unique_ptr<node_components> assembled);
    std::unique_ptr<node_components> m_components;
};

} // namespace ivypier::node
