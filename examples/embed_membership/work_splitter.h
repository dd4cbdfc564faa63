#pragma once

#include "membership/membership_view.h"

#include <optional>
#include <string>

namespace embed_membership {

/// Splits named jobs over the members of a fleet without asking anyone: every member that knows the same
/// others gives the same answer.
class work_splitter
{
public:
    explicit work_splitter(const ivypier::membership::membership_view &members);

    /// The member that does a job; nothing when no member takes work.
    std::optional<ivypier::membership::member> ownerOf(const std::string &job) const;

private:
    const ivypier::membership::membership_view &m_members;
};

} // namespace embed_membership
