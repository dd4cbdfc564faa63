#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "placement/vm_type.h"

#include <map>

namespace ivypier::placement {

/// Types of VM that the cloud recordRefusal, each left alone for a time that doubles with every further
/// refusal, with full jitter.
class start_backoff
{
public:
    start_backoff(const clock &time, random_source &randomness);

    void recordRefusal(const vm_type &type);
    void recordSuccess(const vm_type &type);

    /// Whether the type may be ordered now.
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
