#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/error.h"
#include "http/server.h"

#include <functional>
#include <memory>

namespace ivypier::gateway {

/// Says how many nodes forwarded a request already, in hexadecimal digits.
inline constexpr const char *forwarded_header = "Ivypier-Forwarded";

/// Passes a request on to the node that has it, and the answer back, piece by piece.
class forwarder
{
public:
    /// The node gave no answer at all; `incoming` is the request again.
    using silence = std::function<void(const http::request &incoming, const error &failure)>;

    virtual ~forwarder() = default;

    /// `incoming` goes on as it is. `onNoResponse` runs as a task of the scheduler, unless the node began to
    /// answer.
    virtual void forward(const endpoint &node, const http::request &incoming,
                         std::shared_ptr<http::responder> caller, duration idleTimeout, silence onNoResponse)
        = 0;

    /// Sends every caller whose answer passes through here to the node that has the request: this node stops.
    virtual void redirectAll() = 0;

    /// Answers that pass through here now.
    virtual std::size_t active() const = 0;
};

} // namespace ivypier::gateway
