#pragma once

#include "base/metrics_registry.h"
#include "base/scheduler.h"
#include "http/exchange_transport.h"
#include "relay/forwarding_peers.h"
#include "relay/upstream_paths.h"

#include <memory>
#include <set>

namespace ivypier::relay {

/// Sends calls to upstreams over this node's own connections, or through another node while this one can't
/// reach them. A call whose connection could not be opened is sent through another node in the same exchange:
/// the upstream has received nothing. Docs: docs/design/upstream-paths.md.
class forwarding_transport final : public http::exchange_transport
{
public:
    /// Nodes through which a call is tried, if they turn out to reach no upstream either.
    static constexpr std::size_t max_peers_per_call = 3;
    /// Larger requests are not kept for a second way while their connection is being opened.
    static constexpr std::size_t max_kept_request_bytes = std::size_t{256} * 1024;
    /// Without any answer for this long the paths of calls that await theirs are checked.
    static constexpr duration silence_time = std::chrono::milliseconds(600);

    forwarding_transport(scheduler &tasks, metrics_registry &metrics, http::exchange_transport &direct,
                         http::exchange_transport &toPeers, upstream_paths &paths, forwarding_peers &peers);
    ~forwarding_transport() override;

    std::unique_ptr<http::outgoing_exchange> start(const endpoint &to, std::string bytes,
                                                   http::exchange_options options,
                                                   http::exchange_observer &observer) override;

private:
    class exchange;

    void checkSilence();
    void scheduleSilenceCheck();

    scheduler &m_tasks;
    metrics_registry &m_metrics;
    http::exchange_transport &m_direct;
    http::exchange_transport &m_toPeers;
    upstream_paths &m_paths;
    forwarding_peers &m_peers;
    std::set<const exchange *> m_unanswered; ///< sent directly
    time_point m_lastInputAt{};
    bool m_isCheckScheduled = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace ivypier::relay
