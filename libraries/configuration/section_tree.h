#pragma once

#include "base/outcome.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::configuration {

/// Objects by the digest of their content (SHA-256), which is also their name in the object store.
using object_map = std::map<std::string, std::string>;

/// A document as objects: its sections, and the indexes that list them by digest.
struct document_objects
{
    std::string root; ///< digest of the topmost index
    object_map objects;
};

/// Cuts a document's text into sections: one for the deployment, each service, client account and operator,
/// and one for each group of some upstreams. Groups end where the text itself says, so that a change touches
/// one group and the few indexes above it, wherever it stands in the document.
document_objects splitDocument(std::string_view text);

/// The objects that are still needed before a document can be put together, as far as `available` tells. With
/// `indexesOnly`, sections are not asked for.
std::vector<std::string> missingObjects(const std::string &root, const object_map &available,
                                        bool indexesOnly = false);

/// Every digest that a document consists of, as far as its indexes are available.
std::set<std::string> documentDigests(const std::string &root, const object_map &available);

/// The document's text, byte for byte as it was split. `not_found` when an object is missing,
/// `invalid_argument` when an index is malformed. An object that is no index is a document by itself.
outcome<std::string> assembleDocument(const std::string &root, const object_map &available);

} // namespace ivypier::configuration
