#include "relay/forwarding_transport.h"

#include "base/log_event.h"
#include "relay/forwarded_call.h"

#include <utility>

namespace ivypier::relay {

namespace {

constexpr duration silence_check_interval = std::chrono::milliseconds(200);
constexpr duration peer_connect_timeout = std::chrono::milliseconds(300);
constexpr std::size_t max_connections_per_peer = 256;

} // namespace

/// One call on its way to an upstream. Observes the exchange that carries it, and passes its events on.
class forwarding_transport::exchange final : public http::outgoing_exchange, public http::exchange_observer
{
public:
    exchange(forwarding_transport &owner, endpoint to, http::exchange_options options,
             http::exchange_observer &observer)
        : m_owner(owner)
        , m_to(std::move(to))
        , m_options(std::move(options))
        , m_observer(observer)
        , m_sentAt(owner.m_tasks.now())
    {
    }
    ~exchange() override
    {
        m_owner.m_unanswered.erase(this);
    }

    void startDirectly(std::string bytes)
    {
        if (bytes.size() <= max_kept_request_bytes)
            m_request = bytes;
        m_owner.m_unanswered.insert(this);
        m_owner.scheduleSilenceCheck();
        m_inner = m_owner.m_direct.start(m_to, std::move(bytes), m_options, *this);
    }

    /// Sends the call through a node that has not been tried for it. `failure` is told if there is none.
    void startThroughPeer(std::string bytes, const http::exchange_failure &failure)
    {
        m_owner.m_unanswered.erase(this);
        const auto peer
            = m_triedPeers.size() < max_peers_per_call ? m_owner.m_peers.choose(m_triedPeers) : std::nullopt;
        if (!peer) {
            m_inner.reset();
            m_owner.m_metrics.add("ivypier_calls_forwarded_total", {{"outcome", "no_peer"}});
            // An observer is not called from within the call that starts its exchange.
            m_owner.m_tasks.post([weak = std::weak_ptr(m_alive), this, failure] {
                if (weak.lock())
                    m_observer.onFailed(failure);
            });
            return;
        }
        m_peer = *peer;
        m_triedPeers.insert(*peer);
        m_request = std::move(bytes);
        http::exchange_options options;
        options.connectTimeout = peer_connect_timeout;
        options.maxConnections = max_connections_per_peer;
        m_inner = m_owner.m_toPeers.start(
            *peer, encodeForwardedCall(*peer, {m_to, m_options.callId, m_options.isHeadRequest, m_request}),
            std::move(options), *this);
    }

    void pause() override
    {
        if (m_inner)
            m_inner->pause();
    }
    void resume() override
    {
        if (m_inner)
            m_inner->resume();
    }

    void onHead(http::response_head head) override
    {
        m_owner.m_unanswered.erase(this);
        if (!m_peer) {
            m_owner.m_lastInputAt = m_owner.m_tasks.now();
            m_owner.m_paths.recordAnswer(m_sentAt);
            m_request.clear();
            m_observer.onHead(std::move(head));
            return;
        }
        std::optional<http::response_head> forwarded = decodeForwardedHead(head);
        if (!forwarded) {
            onPeerFailed(decodeForwardingFailure(head));
            return;
        }
        m_request.clear();
        m_owner.m_metrics.add("ivypier_calls_forwarded_total", {{"outcome", "answered"}});
        m_observer.onHead(std::move(*forwarded));
    }

    void onBody(std::string_view data) override
    {
        if (!m_peer)
            m_owner.m_lastInputAt = m_owner.m_tasks.now();
        m_observer.onBody(data);
    }

    void onEnd() override
    {
        m_observer.onEnd();
    }

    void onFailed(const http::exchange_failure &failure) override
    {
        m_owner.m_unanswered.erase(this);
        if (m_peer) {
            // A node that ended or can't be reached: nothing was sent, another one may be tried.
            const bool isNotSent = failure.stage == http::exchange_stage::not_sent;
            onPeerFailed({failure, isNotSent, isNotSent});
            return;
        }
        if (failure.isUnconnected)
            m_owner.m_paths.recordFailure(m_to);
        if (failure.isUnconnected && !m_request.empty() && !m_owner.m_paths.isDirect(m_to))
            startThroughPeer(std::exchange(m_request, {}), failure);
        else
            m_observer.onFailed(failure);
    }

private:
    void onPeerFailed(const forwarding_failure &failure)
    {
        m_owner.m_metrics.add("ivypier_calls_forwarded_total", {{"outcome", "failed"}});
        log_event(log_level::info, "call.forwarding_failed")
            .with("request", m_options.callId)
            .with("upstream", m_to.text())
            .with("node", m_peer->text())
            .with("sent", failure.failure.stage == http::exchange_stage::not_sent ? "no" : "perhaps")
            .with("impaired", failure.isImpaired ? "yes" : "no")
            .with("reason", failure.failure.reason)
            .write();
        if (!failure.hasNoPath) {
            m_inner.reset();
            m_observer.onFailed(failure.failure);
            return;
        }
        if (failure.isImpaired)
            m_owner.m_peers.recordFailure(*m_peer);
        startThroughPeer(std::exchange(m_request, {}), failure.failure);
    }

    forwarding_transport &m_owner;
    endpoint m_to;
    http::exchange_options m_options;
    http::exchange_observer &m_observer;
    time_point m_sentAt;
    std::string m_request; ///< kept while it may be sent on another way
    std::optional<endpoint> m_peer; ///< the node that sends the call, if it isn't this one
    std::set<endpoint> m_triedPeers;
    std::unique_ptr<http::outgoing_exchange> m_inner;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);

    friend class forwarding_transport;
};

forwarding_transport::forwarding_transport(scheduler &tasks, metrics_registry &metrics,
                                           http::exchange_transport &direct,
                                           http::exchange_transport &toPeers, upstream_paths &paths,
                                           forwarding_peers &peers)
    : m_tasks(tasks)
    , m_metrics(metrics)
    , m_direct(direct)
    , m_toPeers(toPeers)
    , m_paths(paths)
    , m_peers(peers)
{
}

forwarding_transport::~forwarding_transport() = default;

std::unique_ptr<http::outgoing_exchange> forwarding_transport::start(const endpoint &to, std::string bytes,
                                                                     http::exchange_options options,
                                                                     http::exchange_observer &observer)
{
    auto started = std::make_unique<exchange>(*this, to, std::move(options), observer);
    // Without another node the call may still succeed here: the path may just have come back.
    if (m_paths.isDirect(to) || !m_peers.choose({}))
        started->startDirectly(std::move(bytes));
    else
        started->startThroughPeer(
            std::move(bytes),
            {.reason = "no path to the upstream, and no other node", .isUnconnected = true});
    return started;
}

void forwarding_transport::scheduleSilenceCheck()
{
    if (std::exchange(m_isCheckScheduled, true))
        return;
    m_tasks.after(silence_check_interval, [this, weak = std::weak_ptr(m_alive)] {
        if (!weak.lock())
            return;
        m_isCheckScheduled = false;
        if (m_unanswered.empty())
            return;
        checkSilence();
        scheduleSilenceCheck();
    });
}

void forwarding_transport::checkSilence()
{
    const time_point silentSince = m_tasks.now() - silence_time;
    if (m_lastInputAt > silentSince)
        return;
    std::set<endpoint> silent;
    for (const exchange *each : m_unanswered) {
        if (each->m_sentAt <= silentSince)
            silent.insert(each->m_to);
    }
    m_paths.recordSilence({silent.begin(), silent.end()});
}

} // namespace ivypier::relay
