#include "http/connection_pool.h"

#include "base/boot_clock.h"
#include "http/pooled_connection.h"

#include <map>
#include <vector>

namespace ivypier::http {

namespace {

/// Interval at which expired idle connections are closed.
constexpr duration sweep_interval = std::chrono::seconds(1);

/// Handle of an exchange on a pooled connection; destroying it abandons the exchange.
class pooled_exchange final : public outgoing_exchange
{
public:
    pooled_exchange(std::shared_ptr<pooled_connection> connection, std::uint64_t exchangeId)
        : m_connection(std::move(connection))
        , m_exchangeId(exchangeId)
    {
    }
    ~pooled_exchange() override
    {
        m_connection->abandon(m_exchangeId);
    }
    void pause() override
    {
        m_connection->pause(m_exchangeId);
    }
    void resume() override
    {
        m_connection->resume(m_exchangeId);
    }

private:
    std::shared_ptr<pooled_connection> m_connection;
    std::uint64_t m_exchangeId;
};

/// An exchange that fails because its peer's connection limit is reached.
class refused_exchange final : public outgoing_exchange
{
public:
    void pause() override
    {
    }
    void resume() override
    {
    }

    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    ~refused_exchange() override
    {
        *alive = false;
    }
};

} // namespace

struct connection_pool::state : std::enable_shared_from_this<connection_pool::state>
{
    struct peer_connections
    {
        std::vector<std::shared_ptr<pooled_connection>> idle; ///< most recently used last
        std::size_t open = 0;
    };

    state(event_loop &loop, stream_factory streamFactory)
        : tasks(loop)
        , streams(std::move(streamFactory))
        , context(*static_cast<boost::asio::io_context *>(loop.nativeContext()))
    {
    }

    std::shared_ptr<pooled_connection> takeIdle(peer_connections &peer);
    std::shared_ptr<pooled_connection> open(const endpoint &to, peer_connections &peer);
    void onReleased(const std::shared_ptr<pooled_connection> &connection);
    void sweep();

    event_loop &tasks;
    stream_factory streams;
    boost::asio::io_context &context;
    std::map<endpoint, peer_connections> peers;
    pool_counts counts;
    std::function<void(const endpoint &)> idleClosedObserver;
};

std::shared_ptr<pooled_connection> connection_pool::state::takeIdle(peer_connections &peer)
{
    const time_point now = bootClockNow();
    while (!peer.idle.empty()) {
        const auto last = peer.idle.back();
        peer.idle.pop_back();
        if (last->isOpen() && last->usableUntil() > now)
            return last;
        last->close();
    }
    return nullptr;
}

std::shared_ptr<pooled_connection> connection_pool::state::open(const endpoint &to, peer_connections &peer)
{
    ++peer.open;
    ++counts.opened;
    ++counts.open;
    return std::make_shared<pooled_connection>(
        context, streams(context), to,
        [weak = weak_from_this()](const std::shared_ptr<pooled_connection> &connection) {
            if (const auto self = weak.lock())
                self->onReleased(connection);
        });
}

void connection_pool::state::onReleased(const std::shared_ptr<pooled_connection> &connection)
{
    const auto found = peers.find(connection->peer());
    if (found == peers.end())
        return;
    peer_connections &peer = found->second;
    if (connection->isOpen()) {
        peer.idle.push_back(connection);
        return;
    }
    std::erase(peer.idle, connection);
    --peer.open;
    --counts.open;
    if (connection->wasClosedIdle() && idleClosedObserver)
        tasks.post([observer = idleClosedObserver, address = connection->peer()] { observer(address); });
}

void connection_pool::state::sweep()
{
    const time_point now = bootClockNow();
    for (auto &[address, peer] : peers) {
        const auto idle = peer.idle;
        for (const auto &each : idle) {
            if (each->usableUntil() <= now)
                each->close();
        }
    }
    std::erase_if(peers, [](const auto &each) { return each.second.open == 0; });
    tasks.after(sweep_interval, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->sweep();
    });
}

connection_pool::connection_pool(event_loop &loop, stream_factory streams)
    : m_state(std::make_shared<state>(loop, std::move(streams)))
{
    m_state->sweep();
}

connection_pool::~connection_pool()
{
    for (auto &[address, peer] : std::exchange(m_state->peers, {})) {
        for (const auto &each : peer.idle)
            each->close();
    }
}

std::unique_ptr<outgoing_exchange> connection_pool::start(const endpoint &to, std::string bytes,
                                                          exchange_options options,
                                                          exchange_observer &observer)
{
    state::peer_connections &peer = m_state->peers[to];
    std::shared_ptr<pooled_connection> connection;
    if (!options.useNewConnection)
        connection = m_state->takeIdle(peer);
    m_state->counts.reused += connection ? 1 : 0;
    if (!connection && peer.open >= options.maxConnections) {
        auto refused = std::make_unique<refused_exchange>();
        m_state->tasks.post([alive = refused->alive, &observer] {
            if (*alive)
                observer.onFailed(
                    {exchange_stage::not_sent, "every connection to the upstream is in use", true});
        });
        return refused;
    }
    if (!connection)
        connection = m_state->open(to, peer);
    const std::uint64_t exchangeId = connection->start(std::move(bytes), std::move(options), observer);
    return std::make_unique<pooled_exchange>(connection, exchangeId);
}

void connection_pool::onIdleClosed(std::function<void(const endpoint &)> observer)
{
    m_state->idleClosedObserver = std::move(observer);
}

pool_counts connection_pool::counts() const
{
    return m_state->counts;
}

} // namespace ivypier::http
