#pragma once

#include "configuration/document_store.h"
#include "configuration/object_source.h"

#include <functional>
#include <vector>

namespace ivypier::configuration {

/// What a follower asks of the other nodes: news of the head, and objects before it asks the object store.
class configuration_peers : public object_source
{
public:
    /// Tells every node of a head that the table has.
    virtual void announce(const document_head &head) = 0;

    /// Calls `observer` with each head that another node announced.
    virtual void onHeadAnnounced(std::function<void(const document_head &)> observer) = 0;

    /// Asks some peers at random for the newest head that each knows. Those that answered in time.
    virtual void queryHeads(std::function<void(const std::vector<document_head> &)> done) = 0;

    /// Nodes that read the platform as this one does, at least 1.
    virtual std::size_t fleetSize() const = 0;

    /// Answers the peers' questions from these; set once, before the first question.
    virtual void serve(std::function<document_head()> newestHead,
                       std::function<object_map(const std::vector<std::string> &)> objects)
        = 0;
};

} // namespace ivypier::configuration
