#pragma once

#include "base/outcome.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ivypier::cloud {

/// A row of the table. `version` grows with every write, also when the table was restored from an older copy
/// in between (see store_position).
struct table_row
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;

    auto operator<=>(const table_row &) const = default;
};

/// The platform's transactional table, with conditional writes per row. Completions run as tasks of the
/// caller's scheduler. A write whose response was lost may have taken effect: it fails with `timed_out` or
/// `interrupted`, and the caller must read the row back instead of writing again.
class table_service
{
public:
    using read_completion = std::function<void(outcome<std::optional<table_row>>)>;
    using list_completion = std::function<void(outcome<std::vector<table_row>>)>;
    using write_completion = std::function<void(outcome<table_row>)>;

    virtual ~table_service() = default;

    /// Reads a row. Returns std::nullopt when it does not exist.
    virtual void read(const std::string &key, read_completion done) = 0;

    /// Reads every row whose key starts with `prefix`, ordered by key.
    virtual void list(const std::string &prefix, list_completion done) = 0;

    /// Reads at most the first `maxRows` rows from `prefix` on, where the table can leave out further ones,
    /// and returns those whose key starts with it, ordered by key.
    virtual void listUpTo(const std::string &prefix, std::size_t /*maxRows*/, list_completion done)
    {
        list(prefix, std::move(done));
    }

    /// Writes a row if its version is `expected` (0: the row must not exist). Fails with `conflict`
    /// otherwise.
    virtual void write(const std::string &key, std::uint64_t expected, const std::string &value,
                       write_completion done)
        = 0;

    /// Returns the number of restores of the table from older copies, as far as its responses told. A write
    /// that was applied before the latest restore may be lost, and a row that is missing may have existed.
    virtual std::uint64_t era() const
    {
        return 0;
    }
};

} // namespace ivypier::cloud
