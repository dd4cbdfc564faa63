#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace ivypier::relay {

/// Whether the platform's table listed an incarnation of an upstream at one version of the table. An absence
/// doesn't tell that the upstream leaves: it may only be cut off from the table, and a later row takes it
/// back.
struct upstream_listing
{
    std::string id; ///< of the incarnation
    std::uint64_t version = 0; ///< of the table; never goes back, also after a restore
    bool isListed = false;

    auto operator<=>(const upstream_listing &) const = default;
};

/// The newest listing that is known of each incarnation, from rows and from other nodes.
class upstream_listings
{
public:
    /// What other nodes tell is remembered by them for an hour.
    static constexpr duration retention = std::chrono::hours(1);

    explicit upstream_listings(const clock &time);

    /// Takes over a listing unless a newer one is known. Returns whether it was newer.
    bool apply(const upstream_listing &update);

    /// Returns the newest listing of an incarnation, or null if none is known.
    const upstream_listing *find(const std::string &id) const;

    /// Returns whether the table is known to have lacked the incarnation at this version or later.
    bool isAbsentSince(const std::string &id, std::uint64_t version) const;

private:
    struct known_listing
    {
        upstream_listing listing;
        time_point learnedAt{};
    };

    void forgetOld();

    const clock &m_time;
    std::map<std::string, known_listing> m_listings;
    time_point m_forgottenAt{};
};

} // namespace ivypier::relay
