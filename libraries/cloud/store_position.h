#pragma once

#include "base/outcome.h"

#include <compare>
#include <cstdint>

namespace ivypier::cloud {

/// A point in the history of a store that may be restored from an older copy.
///
/// After a restore the store's versions go back and are given out again, and its era rises by one. Positions
/// are ordered by era, then version, so they never go back. Tables, leases and fencing tokens use the packed
/// form as their version; without restores it equals the store's own version.
class store_position
{
public:
    static constexpr unsigned version_bits = 40;
    static constexpr unsigned era_bits = 13; ///< together 53 bits, the integers that JSON numbers represent

    constexpr store_position() = default;

    /// Fails with `too_large` if one of the numbers does not fit into its bits.
    static outcome<store_position> create(std::uint64_t era, std::uint64_t version)
    {
        if (era >> era_bits != 0 || version >> version_bits != 0)
            return error{error_code::too_large, "a position of the store does not fit into 53 bits"};
        return store_position(era, version);
    }

    static constexpr store_position fromPacked(std::uint64_t packed)
    {
        return {packed >> version_bits, packed & ((std::uint64_t{1} << version_bits) - 1)};
    }

    constexpr std::uint64_t packed() const
    {
        return m_era << version_bits | m_version;
    }

    constexpr std::uint64_t era() const
    {
        return m_era;
    }

    constexpr std::uint64_t version() const
    {
        return m_version;
    }

    auto operator<=>(const store_position &) const = default;

private:
    constexpr store_position(std::uint64_t era, std::uint64_t version)
        : m_era(era)
        , m_version(version)
    {
    }

    std::uint64_t m_era = 0;
    std::uint64_t m_version = 0;
};

} // namespace ivypier::cloud
