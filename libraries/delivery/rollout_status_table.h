#pragma once

#include "base/outcome.h"
#include "delivery/rollout_status.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace ivypier::delivery {

/// The status of a rollout as the operator reads it.
struct rollout_status_row
{
    rollout_state state = rollout_state::in_progress;
    std::string targetVersion;
    std::uint64_t rowVersion = 0; ///< grows with every write; not written

    auto operator<=>(const rollout_status_row &) const = default;
};

/// Reads and writes the status row of a service. A write whose response was lost may have taken effect; it
/// fails with `timed_out` or `interrupted`. Completions run as tasks of the caller's scheduler.
class rollout_status_table
{
public:
    using read_completion = std::function<void(outcome<std::optional<rollout_status_row>>)>;
    using write_completion = std::function<void(outcome<rollout_status_row>)>;

    virtual ~rollout_status_table() = default;

    virtual void readStatus(const std::string &service, read_completion done) = 0;

    /// Writes the row if its version is `expected` (0: it must not exist). Fails with `conflict` otherwise.
    virtual void writeStatus(const std::string &service, std::uint64_t expected,
                             const rollout_status_row &row, write_completion done)
        = 0;
};

} // namespace ivypier::delivery
