#pragma once

#include "base/outcome.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::configuration {

/// Maps the SHA-256 digest of each object, which is also its name in the object store, to its content.
using object_map = std::map<std::string, std::string>;

/// A document split into objects: its sections, and the indexes that list them by digest.
struct document_objects
{
    std::string root; ///< digest of the root index
    object_map objects;
};

/// Splits a document's text into sections: one for the deployment, one for each service, client account and
/// operator, and one for each group of upstreams. Group boundaries are content-defined, so a change anywhere
/// in the document affects only one group and the few indexes above it.
document_objects splitDocument(std::string_view text);

/// Returns the digests of the objects that are still needed to assemble a document, as far as the available
/// indexes list them. With `indexesOnly`, sections are left out. Empty when an index is malformed.
std::vector<std::string> missingObjects(const std::string &root, const object_map &available,
                                        bool indexesOnly = false);

/// Returns the digests of all objects of a document, as far as its indexes are available. Empty when an index
/// is malformed.
std::set<std::string> documentDigests(const std::string &root, const object_map &available);

/// Returns the document's text, byte for byte as it was before splitDocument(). Fails with `not_found` when
/// an object is missing, and with `invalid_argument` when an index is malformed or nested too deep. A root
/// object that is not an index is the whole document.
outcome<std::string> assembleDocument(const std::string &root, const object_map &available);

} // namespace ivypier::configuration
