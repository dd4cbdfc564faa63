#pragma once

#include "base/outcome.h"
#include "cloud/object_store.h"
#include "cloud/table_service.h"
#include "configuration/object_source.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::configuration {

/// The head of the configuration: which document is in force under which version.
struct document_head
{
    std::uint64_t version = 0; ///< the row's version in the table; 0: none was ever accepted
    std::string digest; ///< of the document's topmost index, see splitDocument()
    std::string writerToken; ///< of the submission that wrote it
    std::vector<std::string> earlierTokens; ///< of the versions before it, the latest first

    auto operator<=>(const document_head &) const = default;
};

/// The configuration in the platform: documents as sections in the object store, the head in one row of the
/// table.
class document_store final : public object_source
{
public:
    using head_completion = std::function<void(outcome<document_head>)>;
    using body_completion = std::function<void(outcome<std::string>)>;

    document_store(cloud::table_service &table, cloud::object_store &objects);

    void readHead(head_completion done);

    /// The whole text of a document.
    void readBody(const std::string &digest, body_completion done);

    /// Reads objects by digest, some at a time. Those that don't exist are left out.
    void fetch(const std::vector<std::string> &digests, completion done) override;

    /// Stores the sections that the document in force does not have, then moves the head from version
    /// `baseVersion`. Another head in between is `conflict`, with the difference to what is in force now. A
    /// lost answer is settled by reading the head back and comparing `writerToken`, which is different for
    /// each submission; `timed_out` when it can't be settled.
    void submit(const std::string &body, std::uint64_t baseVersion, const std::string &writerToken,
                head_completion done);

private:
    struct submission;
    using submission_pointer = std::shared_ptr<submission>;
    struct transfer;

    void storeObjects(const submission_pointer &pending);
    void continuePuts(const std::shared_ptr<transfer> &puts);
    void continueGets(const std::shared_ptr<transfer> &gets);
    void writeHead(const submission_pointer &pending);
    void resolveFailedWrite(const submission_pointer &pending, const error &failure);
    void rejectWithConflict(const submission_pointer &pending, const document_head &inForce);

    cloud::table_service &m_table;
    cloud::object_store &m_objects;
};

} // namespace ivypier::configuration
