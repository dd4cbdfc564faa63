#pragma once

#include "membership/membership_view.h"

#include <optional>
#include <string>

namespace embed_membership {

/// Assigns named jobs to the members of a fleet by rendezvous hashing, without communication: members with
/// the same view of the fleet compute the same owners.
class work_splitter
{
public:
    explicit work_splitter(const ivypier::membership::membership_view &members);

    /// Returns the owner of a job, or std::nullopt if no member accepts work.
    std::optional<ivypier::membership::member> ownerOf(const std::string &job) const;

private:
    const ivypier::membership::membership_view &m_members;
};

} // namespace embed_membership
