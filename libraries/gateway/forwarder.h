#pragma once

#include "base/scheduler.h"
#include "http/client.h"
#include "http/server.h"

#include <functional>
#include <memory>

namespace ivypier::gateway {

/// Marks a request that another node forwarded, so that it is not forwarded again.
inline constexpr const char *forwarded_header = "Ivypier-Forwarded";

/// Passes a request on to the node that is its home, and the answer back, piece by piece.
class forwarder
{
public:
    /// The home gave no answer at all; `incoming` is the request again.
    using silence = std::function<void(const http::request &incoming, const error &failure)>;

    forwarder(scheduler &tasks, std::shared_ptr<http::client> transport);

    /// `onSilence` runs as a task of the scheduler, unless the home began to answer.
    void forward(const endpoint &home, const http::request &incoming, std::shared_ptr<http::responder> caller,
                 duration patience, silence onSilence);

private:
    scheduler &m_tasks;
    std::shared_ptr<http::client> m_transport;
};

} // namespace ivypier::gateway
