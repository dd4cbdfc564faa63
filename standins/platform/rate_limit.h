#pragma once

#include "base/clock.h"

#include <algorithm>

namespace ivypier::standins {

/// A token bucket that holds one second's worth of calls, at least one.
class rate_limit
{
public:
    rate_limit(const clock &time, double perSecond)
        : m_time(time)
        , m_ratePerSecond(perSecond)
        , m_tokens(std::max(1.0, perSecond))
        , m_refilledAt(time.now())
    {
    }

    /// Sets the rate in calls per second, and drops tokens above the new capacity.
    void setRate(double perSecond)
    {
        m_ratePerSecond = perSecond;
        m_tokens = std::min(m_tokens, std::max(1.0, perSecond));
    }

    /// Takes one token. Returns false if none is available.
    bool tryAcquire()
    {
        const time_point now = m_time.now();
        m_tokens = std::min(std::max(1.0, m_ratePerSecond),
                            m_tokens + seconds(now - m_refilledAt) * m_ratePerSecond);
        m_refilledAt = now;
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }

    /// Returns the seconds until a token is available; 1 if the rate is 0.
    double secondsUntilAvailable() const
    {
        return m_ratePerSecond > 0.0 ? std::max(0.0, (1.0 - m_tokens) / m_ratePerSecond) : 1.0;
    }

private:
    const clock &m_time;
    double m_ratePerSecond;
    double m_tokens;
    time_point m_refilledAt;
};

} // namespace ivypier::standins
