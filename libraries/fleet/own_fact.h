#pragma once

#include "base/hash.h"
#include "membership/membership_view.h"

#include <string>
#include <utility>

namespace ivypier::fleet {

/// A fact of which each run of each node has its own: `<kind>/<incarnation>`.
class own_fact
{
public:
    own_fact(membership::membership_view &members, std::string kind)
        : m_members(members)
        , m_prefix(std::move(kind) + '/')
    {
    }

    /// Tells a new value; the one that was told last is not repeated.
    void tell(std::string value)
    {
        if (value == m_told)
            return;
        m_told = std::move(value);
        m_members.publish({keyOf(m_members.self().id), ++m_version, m_told});
    }

    std::string keyOf(membership::incarnation node) const
    {
        return m_prefix + toHex(node);
    }
    const std::string &prefix() const
    {
        return m_prefix;
    }

private:
    membership::membership_view &m_members;
    std::string m_prefix;
    std::string m_told;
    std::uint64_t m_version = 0;
};

} // namespace ivypier::fleet
