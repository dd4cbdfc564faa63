#pragma once

#include "base/event_loop.h"
#include "base/fault_switch.h"
#include "base/outcome.h"
#include "membership/datagram_channel.h"

#include <memory>

namespace ivypier::membership {

/// Sends and receives datagrams over UDP, on the event loop's thread.
class udp_channel final : public datagram_channel
{
public:
    /// Binds to `address`. Fails with `invalid_argument` when it isn't an IPv4 address and with `unavailable`
    /// when the socket can't be bound. Datagrams to an address for which `faults` has a fault are dropped.
    static outcome<std::unique_ptr<udp_channel>> bind(event_loop &loop, const endpoint &address,
                                                      std::shared_ptr<const fault_switch> faults);

    ~udp_channel() override;

    void send(const endpoint &to, std::string_view content) override;
    void onReceive(receiver handler) override;

private:
    struct state;
    explicit udp_channel(std::shared_ptr<state> opened);
    std::shared_ptr<state> m_state;
};

} // namespace ivypier::membership
