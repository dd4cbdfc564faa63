#pragma once

#include "configuration/section_tree.h"

#include <functional>
#include <memory>

namespace ivypier::configuration {

/// Where objects of a document can be had.
class object_source
{
public:
    using completion = std::function<void(outcome<object_map>)>;

    virtual ~object_source() = default;

    /// Asks for objects by digest; gives those that it has. Answers come as tasks of the caller's scheduler.
    virtual void fetch(const std::vector<std::string> &digests, completion done) = 0;
};

/// Fetches what `available` lacks of a document, level by level, and checks every object against its digest.
/// `done` gets the first error of the source, or `not_found` when it lacks an object. `source` outlives the
/// call.
void fetchDocument(const std::string &root, std::shared_ptr<object_map> available, object_source &source,
                   bool indexesOnly, std::function<void(outcome<void>)> done);

} // namespace ivypier::configuration
