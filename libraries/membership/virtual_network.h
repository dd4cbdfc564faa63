#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "membership/datagram_channel.h"

#include <functional>
#include <map>
#include <memory>

namespace ivypier::membership {

/// Simulates datagrams between nodes of one process in virtual time, with delay, loss and broken links, for
/// tests and measurements. Every datagram is transferred as bytes.
class virtual_network
{
public:
    /// Returns true when datagrams from one address to the other are to be dropped.
    using drop_filter = std::function<bool(const endpoint &from, const endpoint &to)>;

    virtual_network(scheduler &tasks, random_source &randomness);

    /// Opens a channel at an address. Received datagrams are handled as tasks of `owner`. Destroying the
    /// channel frees the address.
    std::unique_ptr<datagram_channel> open(scheduler &owner, const endpoint &address);

    /// Sets the range of the delays, which are uniformly distributed in [minimum, maximum].
    void setDelay(duration minimum, duration maximum);

    /// Sets the share of datagrams that are lost, 0 to 1.
    void setLoss(double share);

    void setDropFilter(drop_filter filter);

    /// Returns the size of the largest datagram sent so far, in bytes.
    std::size_t longestDatagram() const;

private:
    class channel;

    void transmit(const endpoint &from, const endpoint &to, std::string_view content);

    scheduler &m_tasks;
    random_source &m_random;
    std::map<endpoint, channel *> m_channels;
    duration m_minDelay;
    duration m_maxDelay;
    double m_loss = 0.0;
    drop_filter m_dropFilter;
    std::size_t m_longestDatagram = 0;
};

} // namespace ivypier::membership
