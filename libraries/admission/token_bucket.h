#pragma once

#include "base/clock.h"

namespace ivypier::admission {

/// Token bucket whose rate may change at any time. The capacity is one second's worth of tokens, but at least
/// one. Lowering the rate drops the tokens above the new capacity; raising it adds none immediately.
class token_bucket
{
public:
    /// Sets the rate, in tokens per second, that applies from `now` on.
    void setRate(double perSecond, time_point now);

    /// Returns true if a token is available.
    bool hasToken(time_point now);

    /// Takes one token. hasToken() must have returned true before.
    void take();

private:
    void refill(time_point now);
    double capacity() const;

    double m_rate = 0.0;
    double m_tokens = 0.0;
    time_point m_refilledAt{};
    bool m_initialized = false;
};

} // namespace ivypier::admission
