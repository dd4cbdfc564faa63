#pragma once

#include "base/endpoint.h"
#include "base/event_loop.h"
#include "base/outcome.h"
#include "http/byte_stream.h"
#include "http/reply.h"

#include <memory>

namespace ivypier::http {

/// Size and time limits of a listener's connections.
struct connection_limits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = std::uint64_t{4} * 1024 * 1024;
    duration headerTimeout = std::chrono::seconds(3); ///< maximum time from a header's first byte to its last
    duration bodyTimeout = std::chrono::seconds(15); ///< maximum time without data within a body
    duration idleTimeout = std::chrono::seconds(15); ///< maximum idle time before a request
    std::size_t maxConnections = 3000; ///< open at the same time; further ones are closed on accept

    auto operator<=>(const connection_limits &) const = default;
};

/// An HTTP/1.1 server on the event loop's thread. Processes the requests of a connection one at a time, in
/// order.
class listener
{
public:
    using handler = std::function<void(incoming_request, std::shared_ptr<reply>)>;

    static outcome<std::unique_ptr<listener>> open(event_loop &loop, const endpoint &address,
                                                   connection_limits limits, handler requestHandler,
                                                   stream_factory streams = makePlainStream);

    ~listener();

    /// Replaces the limits. The size limits apply to requests that start after this call.
    void setLimits(const connection_limits &limits);

    /// Makes every response that starts after this call close its connection and announce this in its header.
    void closeAfterResponses();

    /// Closes the connections that have had neither a request in progress nor unsent output for this long.
    void closeIdleConnections(duration idleFor = duration::zero());

    /// Stops accepting connections. Open connections stay open.
    void stopAccepting();

    /// Returns the number of connections, including closed ones that have not been removed yet.
    std::size_t connectionCount() const;

    /// Returns the number of requests that were received completely and whose responses are not fully sent
    /// yet.
    std::size_t unansweredRequestCount() const;

    /// Returns the number of connections on which a request may be about to arrive: a response was sent, or
    /// bytes of a request were received, within this time.
    std::size_t recentlyUsedConnectionCount(duration within) const;

private:
    struct state;
    explicit listener(std::shared_ptr<state> newState);
    std::shared_ptr<state> m_state;
};

} // namespace ivypier::http
