#pragma once

#include "base/clock.h"

namespace ivypier::admission {

/// Limits a rate whose bound may change at any time. It saves up at most one second's worth, at least one
/// token; a lower bound takes away what was saved above it, and a higher one adds nothing at once.
class token_bucket
{
public:
    /// Sets the rate in tokens a second from now on.
    void setRate(double perSecond, time_point now);

    /// True when a token can be taken.
    bool hasToken(time_point now);

    /// Takes a token that hasToken() saw.
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
