#include "membership/virtual_network.h"

#include <algorithm>

namespace ivypier::membership {

namespace {

constexpr duration default_min_delay = std::chrono::microseconds(200);
constexpr duration default_max_delay = std::chrono::microseconds(1500);

} // namespace

class virtual_network::channel final : public datagram_channel
{
public:
    channel(virtual_network &network, scheduler &owner, endpoint address)
        : m_network(network)
        , m_owner(owner)
        , m_address(std::move(address))
    {
        m_network.m_channels[m_address] = this;
    }

    ~channel() override
    {
        const auto own = m_network.m_channels.find(m_address);
        if (own != m_network.m_channels.end() && own->second == this)
            m_network.m_channels.erase(own);
    }

    void send(const endpoint &to, std::string_view content) override
    {
        m_network.transmit(m_address, to, content);
    }

    void onReceive(receiver handler) override
    {
        *m_handler = std::move(handler);
    }

    void deliver(const endpoint &from, std::string content)
    {
        m_owner.post([handler = std::weak_ptr(m_handler), from, content = std::move(content)] {
            const auto own = handler.lock();
            if (own && *own)
                (*own)(from, content);
        });
    }

private:
    virtual_network &m_network;
    scheduler &m_owner;
    endpoint m_address;
    std::shared_ptr<receiver> m_handler = std::make_shared<receiver>();
};

virtual_network::virtual_network(scheduler &tasks, random_source &randomness)
    : m_tasks(tasks)
    , m_random(randomness)
    , m_minDelay(default_min_delay)
    , m_maxDelay(default_max_delay)
{
}

std::unique_ptr<datagram_channel> virtual_network::open(scheduler &owner, const endpoint &address)
{
    return std::make_unique<channel>(*this, owner, address);
}

void virtual_network::setDelay(duration minimum, duration maximum)
{
    m_minDelay = minimum;
    m_maxDelay = maximum;
}

void virtual_network::setLoss(double share)
{
    m_loss = share;
}

void virtual_network::setDropFilter(drop_filter filter)
{
    m_dropFilter = std::move(filter);
}

std::size_t virtual_network::longestDatagram() const
{
    return m_longestDatagram;
}

void virtual_network::transmit(const endpoint &from, const endpoint &to, std::string_view content)
{
    m_longestDatagram = std::max(m_longestDatagram, content.size());
    if (m_random.uniform() < m_loss || (m_dropFilter && m_dropFilter(from, to)))
        return;
    const double jitter = seconds(m_maxDelay - m_minDelay) * m_random.uniform();
    m_tasks.after(m_minDelay + fromSeconds(jitter), [this, from, to, bytes = std::string(content)] {
        const auto target = m_channels.find(to);
        if (target != m_channels.end())
            target->second->deliver(from, bytes);
    });
}

} // namespace ivypier::membership
