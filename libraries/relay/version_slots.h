#pragma once

#include "base/outcome.h"
#include "relay/stream_key.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ivypier::relay {

/// Divides the streams of a service among its software versions by a hash of their keys. A new stream begins
/// at the version of its slot, or at another one after a deviation was stored. So a stream without a stored
/// deviation is known to have begun at the version of its slot. Docs: docs/design/stream-versions.md.
class version_slots
{
public:
    /// Number of slots, among which all streams are divided equally.
    static constexpr std::size_t slot_count = 64;
    /// `provenFrom` of a slot whose move is not confirmed: the nodes may not know of it.
    static constexpr std::int64_t unconfirmed = std::numeric_limits<std::int64_t>::max();

    /// Slots next to each other that have the same version.
    struct run
    {
        std::string version; ///< empty: upstreams that state no version, which proves nothing
        std::size_t length = 0; ///< number of slots
        std::int64_t provenFrom = 0; ///< wall-clock time in milliseconds from which the slots prove a version

        auto operator<=>(const run &) const = default;
    };

    /// Creates a division without slots, which selects no version.
    version_slots() = default;

    /// Divides the slots in proportion to positive weights by version. Without weights there are no slots.
    static version_slots inProportion(const std::map<std::string, double> &weights, std::int64_t provenFrom);

    /// Fails with `invalid_argument` unless the runs have `slot_count` slots together.
    static outcome<version_slots> fromRuns(const std::vector<run> &runs);

    /// Returns the numbers of slots by version that are in proportion to the weights.
    static std::map<std::string, std::size_t>
    proportionalCounts(const std::map<std::string, double> &weights);

    auto operator<=>(const version_slots &) const = default;

    bool isEmpty() const
    {
        return m_runs.empty();
    }
    /// Returns the slots with every unconfirmed one proving its version from this time on.
    version_slots confirmed(std::int64_t provenFrom) const;

    /// Returns the slots without any proof.
    version_slots withoutProof() const;

    bool hasUnconfirmed() const;

    /// Returns whether every slot has one of these versions.
    bool isDividedAmong(const std::set<std::string> &versions) const;

    const std::vector<run> &runs() const
    {
        return m_runs;
    }

    /// Returns the version at which a new stream begins, or nothing if there are no slots.
    std::optional<std::string> selectedVersion(const stream_key &stream) const;

    /// Returns the version at which a stream without a deviation began, or nothing if it is not proven.
    std::optional<std::string> provenVersion(const stream_key &stream, std::int64_t wallMilliseconds) const;

private:
    const run *runOf(const stream_key &stream) const;

    std::vector<run> m_runs; ///< adjacent ones differ
};

} // namespace ivypier::relay
