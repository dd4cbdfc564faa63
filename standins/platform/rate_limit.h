#pragma once

#include "base/clock.h"

#include <algorithm>

namespace ivypier::standins {

/// A token bucket of one second's calls.
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

    void setRate(double perSecond)
    {
        m_ratePerSecond = perSecond;
        m_tokens = std::min(m_tokens, std::max(1.0, perSecond));
    }

    /// Takes one call, or says that it is over the rate.
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

    /// Seconds until the next call fits.
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
