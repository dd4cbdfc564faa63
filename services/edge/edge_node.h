#pragma once

#include "base/event_loop.h"
#include "base/outcome.h"
#include "edge_settings.h"

#include <memory>

namespace ivypier::edge {

/// One edge node: every part of it, put together.
class edge_node
{
public:
    /// Listens, and starts to follow the store and the other nodes.
    static outcome<std::unique_ptr<edge_node>> start(event_loop &loop, const edge_settings &settings);

    ~edge_node();

    /// Takes over what may change while it runCounter: seeds, limits of retryBudget, lifetimes. Addresses and
    /// names stay until the next start.
    void reload(const edge_settings &changed);

    /// Takes no new callers, answers those that are there, then stops the loop.
    void stop();

private:
    struct parts;
    explicit edge_node(std::unique_ptr<parts> assembled);
    std::unique_ptr<parts> m_parts;
};

} // namespace ivypier::edge
