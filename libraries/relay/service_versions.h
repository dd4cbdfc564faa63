#pragma once

#include "relay/stream_key.h"
#include "relay/upstream_directory.h"
#include "relay/version_slots.h"

#include <compare>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace ivypier::relay {

/// The response to the question at which software version a stream without a record can have begun.
struct version_lookup
{
    std::optional<std::string> onlyVersion; ///< set if every stream that may be resumed began at it
    std::size_t versionCount = 0; ///< versions at which streams can have begun; 0: not known
    version_slots slots; ///< that hold for streams without a deviation; empty if they prove nothing
    std::int64_t readAt = 0; ///< wall-clock time in milliseconds at which the slots were read
    std::uint64_t era = 0; ///< of the platform's table from which the slots were read
    /// The version at which the stream began, by its slot and because it has no deviation.
    std::optional<std::string> selectedVersion;

    auto operator<=>(const version_lookup &) const = default;
};

/// The software versions of each service at which streams may have begun, on any node.
class service_versions
{
public:
    using completion = std::function<void(const version_lookup &)>;

    virtual ~service_versions() = default;

    /// Returns whether a stream may begin at this upstream: all nodes can find out that streams begin at its
    /// version.
    virtual bool mayBeginAt(const upstream_record &upstream) const = 0;

    /// Returns whether streams of a service may begin at several versions, as far as this node knows; also if
    /// it does not know.
    virtual bool mayHaveSeveral(const std::string & /*service*/) const
    {
        return true;
    }

    /// Returns the version at which a new stream has to begin unless a deviation is stored before its first
    /// event; nothing if it may begin at any version.
    virtual std::optional<std::string> selectedVersion(const std::string & /*service*/,
                                                       const stream_key & /*stream*/) const
    {
        return std::nullopt;
    }

    /// Finds the versions at which streams of a service can have begun until now. Calls `done` once, possibly
    /// before it returns, at the latest after max_version_lookup_time, or lookup_patience::max_limit if the
    /// platform responds slowly.
    virtual void findOnlyVersion(const std::string &service, completion done) = 0;
};

/// Longest time that a lookup takes when the platform does not respond.
inline constexpr duration max_version_lookup_time = std::chrono::milliseconds(500);

} // namespace ivypier::relay
