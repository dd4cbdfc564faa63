#pragma once

#include "base/clock.h"
#include "base/outcome.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace ivypier::cloud {

/// A row of a table at one version, or its removal.
struct feed_row
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    bool removed = false;

    auto operator<=>(const feed_row &) const = default;
};

/// Rows of a table (all or only changed ones), and the table version from which to request later changes.
/// Versions never go back, also when the store is restored from an older copy (see store_position).
struct versioned_rows
{
    std::vector<feed_row> rows;
    std::uint64_t version = 0;

    auto operator<=>(const versioned_rows &) const = default;
};

/// Source of tables and of their changes, by long polling. Completions run as tasks of the caller's
/// scheduler.
class change_feed
{
public:
    using completion = std::function<void(outcome<versioned_rows>)>;

    virtual ~change_feed() = default;

    /// Reads every row of a table.
    virtual void list(const std::string &table, completion done) = 0;

    /// Reads the rows that changed after version `after`, ordered by version. Completes as soon as there is a
    /// change, or with no rows once `wait` has elapsed. Fails with `not_found` when the change history since
    /// `after` is no longer available, or the store was restored since; the table must then be listed again.
    virtual void changes(const std::string &table, std::uint64_t after, duration wait, completion done) = 0;
};

} // namespace ivypier::cloud
