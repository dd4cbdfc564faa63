#pragma once

#include "base/endpoint.h"

#include <functional>
#include <string>
#include <string_view>

namespace ivypier::membership {

/// Largest datagram in bytes, small enough that it is never fragmented.
inline constexpr std::size_t max_datagram_bytes = 1200;

/// Sends and receives datagrams, which may be lost, duplicated or reordered.
class datagram_channel
{
public:
    using receiver = std::function<void(const endpoint &from, std::string_view content)>;

    virtual ~datagram_channel() = default;

    /// Sends one datagram of at most max_datagram_bytes bytes. Best effort: failures aren't reported.
    virtual void send(const endpoint &to, std::string_view content) = 0;

    /// Sets the handler that is called with each received datagram, as a task of the node's scheduler.
    virtual void onReceive(receiver handler) = 0;
};

} // namespace ivypier::membership
