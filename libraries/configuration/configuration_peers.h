#pragma once

#include "configuration/document_store.h"
#include "configuration/object_source.h"

#include <functional>
#include <vector>

namespace ivypier::configuration {

/// Exchanges the configuration with other nodes: heads as they change, and objects so that not every node
/// reads them from the object store.
class configuration_peers : public object_source
{
public:
    /// Announces a head read from the platform's table to all nodes.
    virtual void announce(const document_head &head) = 0;

    /// Registers `observer`, which is called with each announced head.
    virtual void onHeadAnnounced(std::function<void(const document_head &)> observer) = 0;

    /// Queries some randomly selected peers for their newest head. `done` gets the heads of those that
    /// responded in time.
    virtual void queryHeads(std::function<void(const std::vector<document_head> &)> done) = 0;

    /// Returns the number of nodes that read from the platform, this one included; at least 1.
    virtual std::size_t fleetSize() const = 0;

    /// Serves requests of peers from these functions. Must be called once, before the first request arrives.
    virtual void serve(std::function<document_head()> newestHead,
                       std::function<object_map(const std::vector<std::string> &)> objects)
        = 0;
};

} // namespace ivypier::configuration
