#pragma once

#include "base/clock.h"
#include "base/outcome.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace ivypier::cloud {

/// A row as it lies in a table, or the news that it was removed.
struct feed_row
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    bool removed = false;

    auto operator<=>(const feed_row &) const = default;
};

/// Rows as of one moment, and the version to go on from.
struct versioned_rows
{
    std::vector<feed_row> rows;
    std::uint64_t version = 0;

    auto operator<=>(const versioned_rows &) const = default;
};

/// Tables that are followed: read once, then asked for changes. Answers come as tasks of the caller's
/// scheduler.
class change_feed
{
public:
    using completion = std::function<void(outcome<versioned_rows>)>;

    virtual ~change_feed() = default;

    /// Every row of a table.
    virtual void list(const std::string &table, completion done) = 0;

    /// The rows that changed after a version, in order: as soon as there is one, at the latest after `wait`.
    /// `not_found` when the history since that version is gone.
    virtual void changes(const std::string &table, std::uint64_t after, duration wait, completion done) = 0;
};

} // namespace ivypier::cloud
