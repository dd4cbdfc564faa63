#pragma once

#include <algorithm>

namespace ivypier::membership {

/// How far this node trusts itself. When its own probes fail in ways that point at itself, it waits longer
/// before it accuses others.
class local_health
{
public:
    void degrade()
    {
        m_score = std::min(m_score + 1, max_score);
    }

    void improve()
    {
        m_score = std::max(m_score - 1, 0);
    }

    /// By what factor this node's timeouts are longer than usual.
    int factor() const
    {
        return 1 + m_score;
    }

private:
    static constexpr int max_score = 4;
    int m_score = 0;
};

} // namespace ivypier::membership
