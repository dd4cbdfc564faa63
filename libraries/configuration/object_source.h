#pragma once

#include "configuration/section_tree.h"

#include <functional>
#include <memory>

namespace ivypier::configuration {

/// Provides a document's objects by digest.
class object_source
{
public:
    using completion = std::function<void(outcome<object_map>)>;

    virtual ~object_source() = default;

    /// Fetches objects by digest. `done` runs as a task of the caller's scheduler and gets the objects that
    /// this source has; missing ones are left out.
    virtual void fetch(const std::vector<std::string> &digests, completion done) = 0;
};

/// Fetches the objects of a document that `available` lacks, level by level from the index `root` down, and
/// adds them to it. With `indexesOnly`, sections are not fetched. `done` gets the first error of the source,
/// `not_found` when a level makes no progress because the source lacks its objects, or `internal` when an
/// object does not match its digest. `source` must outlive the operation.
void fetchDocument(const std::string &root, std::shared_ptr<object_map> available, object_source &source,
                   bool indexesOnly, std::function<void(outcome<void>)> done);

} // namespace ivypier::configuration
