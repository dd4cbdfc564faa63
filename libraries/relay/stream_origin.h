#pragma once

#include "relay/upstream_directory.h"

#include <compare>
#include <string>

namespace ivypier::relay {

/// Where a stream began: the upstream that sent the first event that was forwarded to the caller. The events
/// of different software versions don't fit together, so only the same version can continue the stream.
struct stream_origin
{
    std::string service;
    std::string softwareVersion; ///< empty: not stated; only the same incarnation is known to run it
    std::string upstream; ///< id of the incarnation; empty if only the version is known

    auto operator<=>(const stream_origin &) const = default;

    /// Returns whether two records of one stream name the same software version, so that both let it go on at
    /// the same upstreams. A version that is not stated equals only that of the same incarnation.
    bool agreesWith(const stream_origin &other) const
    {
        return service == other.service && softwareVersion == other.softwareVersion
            && (!softwareVersion.empty() || upstream == other.upstream);
    }

    bool canContinueAt(const upstream_record &candidate) const
    {
#ifdef IVYPIER_MUTANT_STREAM_VERSION
        return candidate.service == service;
#endif
        if (candidate.service != service)
            return false;
        return softwareVersion.empty() ? candidate.id == upstream
                                       : candidate.softwareVersion == softwareVersion;
    }
};

} // namespace ivypier::relay
