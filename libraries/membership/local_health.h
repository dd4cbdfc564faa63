#pragma once

#include <algorithm>

namespace ivypier::membership {

/// Tracks how reliable this node's own probes are (Lifeguard's local health). Failures that point at this
/// node itself lengthen its timeouts, so that it waits longer before it suspects others.
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

    /// Returns the factor by which this node's timeouts are multiplied, from 1.
    int factor() const
    {
        return 1 + m_score;
    }

private:
    static constexpr int max_score = 4;
    int m_score = 0;
};

} // namespace ivypier::membership
