#pragma once

#include "base/outcome.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::cloud {

/// A row of the table; `version` is 1 for a new row and grows by 1 with every write.
struct table_row
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;

    auto operator<=>(const table_row &) const = default;
};

/// The platform's transactional table: rows with conditional writes. Answers come as tasks of the caller's
/// scheduler. A write whose answer is lost may have taken effect: its error is `timed_out` or `interrupted`,
/// and the caller reads the row back rather than writing again.
class table_service
{
public:
    using read_completion = std::function<void(outcome<std::optional<table_row>>)>;
    using list_completion = std::function<void(outcome<std::vector<table_row>>)>;
    using write_completion = std::function<void(outcome<table_row>)>;

    virtual ~table_service() = default;

    /// Reads a row; nothing when there is none.
    virtual void read(const std::string &key, read_completion done) = 0;

    /// Reads every row whose key starts with `prefix`, by key.
    virtual void list(const std::string &prefix, list_completion done) = 0;

    /// Writes a row if its version is `expected` (0: if it does not exist); otherwise `conflict`.
    virtual void write(const std::string &key, std::uint64_t expected, const std::string &value,
                       write_completion done)
        = 0;
};

} // namespace ivypier::cloud
