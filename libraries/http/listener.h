#pragma once

#include "base/endpoint.h"
#include "base/event_loop.h"
#include "base/outcome.h"
#include "http/byte_stream.h"
#include "http/reply.h"

#include <memory>

namespace ivypier::http {

/// What a caller may send, and how long it may take.
struct connection_limits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = std::uint64_t{4} * 1024 * 1024;
    duration headerTime = std::chrono::seconds(3); ///< from a header's first byte to its last
    duration bodyTime = std::chrono::seconds(15); ///< longest silence inside a body
    duration idleTime = std::chrono::seconds(15); ///< between two requests
    std::size_t connections = 3000; ///< open at once; further ones are closed at once

    auto operator<=>(const connection_limits &) const = default;
};

/// An HTTP/1.1 server on the event loop's thread. Requests of one connection are answered one after another.
class listener
{
public:
    using handler = std::function<void(incoming_request, std::shared_ptr<reply>)>;

    static outcome<std::unique_ptr<listener>> open(event_loop &loop, const endpoint &address,
                                                   connection_limits limits, handler requests,
                                                   stream_factory streams = makePlainStream);

    ~listener();

    /// Holds for requests that begin from now on.
    void setLimits(const connection_limits &limits);

    /// Every answer from now on ends its connection.
    void closeAfterResponses();

    /// Closes connections on which no request is under way.
    void closeIdleConnections();

    /// Accepts nothing more.
    void stopAccepting();

    /// Connections that are open.
    std::size_t connectionCount() const;

    /// Requests that were read and whose answers are not sent yet.
    std::size_t unansweredRequestCount() const;

private:
    struct state;
    explicit listener(std::shared_ptr<state> opened);
    std::shared_ptr<state> m_state;
};

} // namespace ivypier::http
