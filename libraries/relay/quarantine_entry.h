#pragma once

#include "base/outcome.h"
#include "relay/crash_key.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::relay {

/// In the order in which an entry passes through them.
enum class quarantine_stage : std::uint8_t {
    suspected = 1,
    convicted = 2,
    lifted = 3,
};

/// Trials that a convicted entry gets in its whole life: calls that are sent although they hold its keys, to
/// find out whether these are sound. Upstreams must not get more than three such calls.
inline constexpr std::uint32_t max_quarantine_trials = 2;

/// What all nodes are told of the calls of a service that hold certain keys.
struct quarantine_entry
{
    std::string service;
    crash_key_list keys; ///< a call is concerned if it holds all of them
    quarantine_stage stage = quarantine_stage::suspected;
    std::uint32_t generation = 0; ///< how often the entry was lifted before
    std::uint32_t trials = 0; ///< that were granted until now
    bool byOperator = false; ///< the stage was set by hand
    std::vector<std::string> upstreams; ///< some of those that ended

    auto operator<=>(const quarantine_entry &) const = default;

    /// Identifies the service and the keys.
    std::string id() const;

    /// Later stages, generations and trials have greater versions.
    std::uint64_t version() const;

    /// Returns the entry at a later stage, in a new generation if it was lifted.
    quarantine_entry at(quarantine_stage next) const;

    /// Returns the text of the entry, a JSON object.
    std::string encode() const;

    /// Fails with `invalid_argument` if the text is not that of an entry.
    static outcome<quarantine_entry> decode(std::string_view text);
};

} // namespace ivypier::relay
