#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "placement/vm_type.h"

#include <map>

namespace ivypier::placement {

/// Backs off from VM types that the cloud refused to start: the maximum delay doubles with every further
/// refusal, and the delay is drawn with full jitter.
class start_backoff
{
public:
    start_backoff(const clock &time, random_source &randomness);

    void recordRefusal(const vm_type &type);
    /// Ends the backoff of the type.
    void recordSuccess(const vm_type &type);

    /// Returns whether the type may be ordered now.
    bool allows(const vm_type &type) const;

private:
    struct refusal
    {
        unsigned count = 0;
        time_point until{};
    };

    const clock &m_time;
    random_source &m_random;
    std::map<vm_type, refusal> m_refusals;
};

} // namespace ivypier::placement
