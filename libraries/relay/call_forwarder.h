#pragma once

#include "http/exchange_transport.h"
#include "http/reply.h"
#include "relay/answer_buffers.h"
#include "relay/upstream_directory.h"
#include "relay/upstream_paths.h"
#include "relay/upstream_protocol.h"

#include <functional>
#include <memory>
#include <set>

namespace ivypier::relay {

/// Sends calls to upstreams for nodes that can't reach them, over this node's own connections only, and
/// passes the answers back as they arrive. What this node knows of an upstream holds for these calls too: it
/// sends none to one that is not listed, drains, or asked it to wait.
class call_forwarder
{
public:
    /// Returns the maximum number of connections that this node may open to one upstream.
    using connection_limit = std::function<std::size_t(const upstream_record &)>;

    call_forwarder(const clock &time, http::exchange_transport &direct, const upstream_protocol &protocol,
                   upstream_directory &upstreams, upstream_paths &paths, const answer_buffers &buffers,
                   connection_limit connectionsTo);

    void handle(const http::incoming_request &incoming, const std::shared_ptr<http::reply> &to);

    /// Refuses calls from now on. The nodes that sent them choose another node.
    void stopAccepting();

    /// Returns the number of calls in progress.
    std::size_t running() const
    {
        return m_running.size();
    }

private:
    class forwarding;

    /// Returns why a call can't be sent to the upstream, or nothing if it can.
    std::optional<std::string> obstacle(const upstream *to) const;

    const clock &m_time;
    http::exchange_transport &m_direct;
    const upstream_protocol &m_protocol;
    upstream_directory &m_upstreams;
    upstream_paths &m_paths;
    const answer_buffers &m_buffers;
    connection_limit m_connectionsTo;
    std::set<std::shared_ptr<forwarding>> m_running;
    bool m_isAccepting = true;
};

} // namespace ivypier::relay
