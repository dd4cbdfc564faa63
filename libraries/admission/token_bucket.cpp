#include "admission/token_bucket.h"

#include <algorithm>

namespace ivypier::admission {

namespace {

constexpr double burst_seconds = 1.0;

} // namespace

void token_bucket::setRate(double perSecond, time_point now)
{
    refill(now);
    m_rate = perSecond;
    m_tokens = m_initialized ? std::min(m_tokens, capacity()) : capacity();
    m_initialized = m_initialized || perSecond > 0.0;
}

bool token_bucket::hasToken(time_point now)
{
    refill(now);
    return m_tokens >= 1.0;
}

void token_bucket::take()
{
    m_tokens -= 1.0;
}

void token_bucket::refill(time_point now)
{
    m_tokens = std::min(capacity(), m_tokens + m_rate * seconds(now - m_refilledAt));
    m_refilledAt = now;
}

double token_bucket::capacity() const
{
    return m_rate > 0.0 ? std::max(1.0, m_rate * burst_seconds) : 0.0;
}

} // namespace ivypier::admission
