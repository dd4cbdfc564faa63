#pragma once

#include "base/outcome.h"
#include "platform/object_store.h"
#include "platform/table_service.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace ivypier::configuration {

/// The head of the configuration: which body is in force under which version.
struct document_head
{
    std::uint64_t version = 0; ///< the row's version in the table; 0: none was ever accepted
    std::string digest; ///< SHA-256 of the body, which is the object's name
    std::string writerToken; ///< of the submission that wrote it

    auto operator<=>(const document_head &) const = default;
};

/// The configuration in the platform: bodies in the object store, the head in one row of the table.
class document_store
{
public:
    using head_completion = std::function<void(outcome<document_head>)>;
    using body_completion = std::function<void(outcome<std::string>)>;

    document_store(platform::table_service &table, platform::object_store &objects);

    void readHead(head_completion done);
    void readBody(const std::string &digest, body_completion done);

    /// Stores the body, then moves the head from version `base`. Another head in between is `conflict`. A
    /// lost answer is settled by reading the head back and comparing `writerToken`, never by writing again.
    void submit(const std::string &body, std::uint64_t base, const std::string &writerToken,
                head_completion done);

private:
    void settle(const std::string &writerToken, error failure, head_completion done);

    platform::table_service &m_table;
    platform::object_store &m_objects;
};

} // namespace ivypier::configuration
