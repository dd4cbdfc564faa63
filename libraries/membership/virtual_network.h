#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "membership/datagram_channel.h"

#include <functional>
#include <map>
#include <memory>

namespace ivypier::membership {

/// Datagrams between nodes of one process in virtual time, for tests and measurements: with delay, loss and
/// drop_filter links. Every datagram goes through it as bytes.
class virtual_network
{
public:
    /// True when datagrams from one address to the other are dropped.
    using drop_filter = std::function<bool(const endpoint &from, const endpoint &to)>;

    virtual_network(scheduler &tasks, random_source &randomness);

    /// The channel at an address. What arrives there runs as a task of `owner`; the address is free again
    /// when the channel is destroyed.
    std::unique_ptr<datagram_channel> open(scheduler &owner, const endpoint &address);

    /// Delays are uniform in [shortest, longest].
    void setDelay(duration shortest, duration longest);

    /// The share of datagrams that are lost.
    void setLoss(double share);

    void setDropFilter(drop_filter links);

    /// The longest datagram that was sent.
    std::size_t longest() const;

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
