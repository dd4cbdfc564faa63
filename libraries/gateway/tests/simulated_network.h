#pragma once

#include "base/random_source.h"
#include "base/virtual_scheduler.h"

#include <functional>

namespace ivypier::simulation {

/// How badly messages travel.
struct network_faults
{
    double loss = 0.0; ///< share of the messages that never arrive
    double repeated = 0.0; ///< share that arrive twice
    double late = 0.0; ///< share that arrive up to three seconds late
};

/// Carries messages between simulated processes.
class simulated_network
{
public:
    simulated_network(virtual_scheduler &time, random_source &randomness, network_faults quality)
        : m_time(time)
        , m_random(randomness)
        , m_faults(quality)
    {
    }

    /// Delivers a message, or not, or twice.
    void send(const std::function<void()> &arrive)
    {
        if (m_random.uniform() < m_faults.loss)
            return;
        m_time.after(delay(), arrive);
        if (m_random.uniform() < m_faults.repeated)
            m_time.after(delay(), arrive);
    }

    duration delay()
    {
        const bool late = m_random.uniform() < m_faults.late;
        return fromSeconds(m_random.uniform() * (late ? 3.0 : 0.005));
    }

private:
    virtual_scheduler &m_time;
    random_source &m_random;
    network_faults m_faults;
};

} // namespace ivypier::simulation
