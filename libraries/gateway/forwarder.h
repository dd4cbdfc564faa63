#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/error.h"
#include "http/server.h"

#include <functional>
#include <memory>

namespace ivypier::gateway {

/// Header field with the number of nodes that have forwarded the request, in hexadecimal.
inline constexpr const char *forwarded_header = "Ivypier-Forwarded";

/// Forwards requests to other nodes and streams their responses back to the callers.
class forwarder
{
public:
    /// Called when the node sent no part of a response. `incoming` is the request that was forwarded.
    using no_response_handler = std::function<void(const http::request &incoming, const error &failure)>;

    virtual ~forwarder() = default;

    /// Forwards `incoming` unchanged. The call fails after `idleTimeout` without data from the node. If it
    /// fails before the response has started, `onNoResponse` runs as a task of the scheduler.
    virtual void forward(const endpoint &node, const http::request &incoming,
                         std::shared_ptr<http::responder> caller, duration idleTimeout,
                         no_response_handler onNoResponse)
        = 0;

    /// Redirects the callers of all forwarded requests to the nodes that have the requests. Used when this
    /// node stops.
    virtual void redirectAll() = 0;

    /// Returns the number of forwarded requests whose responses are not complete.
    virtual std::size_t activeCount() const = 0;
};

} // namespace ivypier::gateway
