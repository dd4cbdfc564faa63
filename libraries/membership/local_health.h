#pragma once

#include <algorithm>

namespace ivypier::membership {

/// How far this node trusts itself. When its own probes fail in ways that point at itself, it waits longer
/// before it accuses others.
class local_health
{
public:
    void worse()
    {
        m_score = std::min(m_score + 1, worst_score);
    }

    void better()
    {
        m_score = std::max(m_score - 1, 0);
    }

    /// By what factor this node's timeouts are longer than usual.
    int factor() const
    {
        return 1 + m_score;
    }

private:
    static constexpr int worst_score = 4;
    int m_score = 0;
};

} // namespace ivypier::membership
