#pragma once

#include "base/endpoint.h"

#include <functional>
#include <string>
#include <string_view>

namespace ivypier::membership {

/// Most bytes of one datagram, so that it is never split on its way.
inline constexpr std::size_t max_datagram_bytes = 1200;

/// Sends and receives datagrams, which may be lost, repeated or come in another order.
class datagram_channel
{
public:
    using receiver = std::function<void(const endpoint &from, std::string_view content)>;

    virtual ~datagram_channel() = default;

    /// Sends one datagram of at most max_datagram_bytes bytes. Best effort.
    virtual void send(const endpoint &to, std::string_view content) = 0;

    /// Calls `handler` with each datagram that arrives, as a task of the node's scheduler.
    virtual void onReceive(receiver handler) = 0;
};

} // namespace ivypier::membership
