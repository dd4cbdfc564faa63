#pragma once

#include "base/clock.h"

#include <algorithm>

namespace ivypier::relay {

/// How long a lookup waits for a read of the platform's table. A platform that is slow but responds is waited
/// for, because the caller would only come back and wait again; one that does not respond is not.
class lookup_patience
{
public:
    /// Clients give up a stream after a gap of two seconds.
    static constexpr duration max_limit = std::chrono::milliseconds(1800);

    explicit lookup_patience(duration minLimit)
        : m_minLimit(minLimit)
        , m_limit(minLimit)
    {
    }

    void recordRead(duration took)
    {
        m_limit = std::clamp<duration>(2 * took, m_minLimit, max_limit);
    }
    void recordFailure()
    {
        m_limit = m_minLimit;
    }

    duration limit() const
    {
        return m_limit;
    }

private:
    duration m_minLimit;
    duration m_limit;
};

} // namespace ivypier::relay
