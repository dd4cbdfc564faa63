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

/// The head of the configuration: identifies the document in force and its version.
struct document_head
{
    std::uint64_t version = 0; ///< version of the table's row; 0 before the first document is accepted
    std::string digest; ///< of the document's root index, see splitDocument()
    std::string writerToken; ///< token of the submission that wrote this head
    std::vector<std::string> earlierTokens; ///< tokens of the previous versions, newest first

    auto operator<=>(const document_head &) const = default;
};

/// Stores the configuration in the platform: documents as sections in the object store, the head in one row
/// of the table.
class document_store final : public object_source
{
public:
    using head_completion = std::function<void(outcome<document_head>)>;
    using body_completion = std::function<void(outcome<std::string>)>;

    document_store(cloud::table_service &table, cloud::object_store &objects);

    /// Reads the head; version 0 when none is stored.
    void readHead(head_completion done);

    /// Reads the whole text of a document.
    void readBody(const std::string &digest, body_completion done);

    /// Reads objects by digest with limited concurrency. Objects that don't exist are left out; any other
    /// failure stops the batch, and `done` gets its error.
    void fetch(const std::vector<std::string> &digests, completion done) override;

    /// Stores the sections that the document in force does not contain, then replaces the head of version
    /// `baseVersion`. If the head has another version, `done` gets `conflict` with the differences to the
    /// document in force. After a failed or lost response, the head is read back and its tokens are compared
    /// with `writerToken`, which is unique per submission, to determine the outcome. `done` gets `timed_out`
    /// when the outcome remains unknown.
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
