#pragma once

#include "base/random_source.h"
#include "base/virtual_scheduler.h"

#include <functional>

namespace ivypier::simulation {

/// Probabilities of network faults. Loss and duplication apply per message, delay per delivery.
struct network_faults
{
    double lossProbability = 0.0; ///< the message is dropped
    double duplicateProbability = 0.0; ///< the message is delivered twice
    double delayProbability = 0.0; ///< the message is delayed by up to three seconds
};

/// Carries messages between simulated processes.
class simulated_network
{
public:
    simulated_network(virtual_scheduler &time, random_source &randomness, network_faults faults)
        : m_time(time)
        , m_random(randomness)
        , m_faults(faults)
    {
    }

    /// Delivers a message after a random delay; may drop or duplicate it.
    void send(const std::function<void()> &deliver)
    {
        if (m_random.uniform() < m_faults.lossProbability)
            return;
        m_time.after(delay(), deliver);
        if (m_random.uniform() < m_faults.duplicateProbability)
            m_time.after(delay(), deliver);
    }

    duration delay()
    {
        const bool isDelayed = m_random.uniform() < m_faults.delayProbability;
        return fromSeconds(m_random.uniform() * (isDelayed ? 3.0 : 0.005));
    }

private:
    virtual_scheduler &m_time;
    random_source &m_random;
    network_faults m_faults;
};

} // namespace ivypier::simulation
