#include "http/listener.h"

#include "base/boot_clock.h"
#include "http/listener_connection.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <list>

namespace ivypier::http {

namespace {

using tcp = boost::asio::ip::tcp;

/// Interval at which the connections' time limits are checked.
constexpr duration timeout_check_interval = std::chrono::milliseconds(500);
/// Delay before accepting again after a failure, for example when out of file descriptors.
constexpr duration accept_retry_delay = std::chrono::milliseconds(50);
constexpr int backlog = 1024;

} // namespace

struct listener::state : std::enable_shared_from_this<listener::state>
{
    state(event_loop &loop, connection_limits limits, handler requestHandler, stream_factory streamFactory)
        : context(*static_cast<boost::asio::io_context *>(loop.nativeContext()))
        , acceptor(context)
        , timer(context)
        , streams(std::move(streamFactory))
        , connectionContext(
              std::make_shared<listener_context>(listener_context{limits, std::move(requestHandler)}))
    {
    }

    void accept();
    void checkTimeouts();
    void removeClosed();

    boost::asio::io_context &context;
    tcp::acceptor acceptor;
    boost::asio::steady_timer timer;
    stream_factory streams;
    std::shared_ptr<listener_context> connectionContext;
    std::list<std::shared_ptr<listener_connection>> connections;
};

void listener::state::accept()
{
    acceptor.async_accept([self = shared_from_this()](const boost::system::error_code &failure,
                                                      tcp::socket socket) {
        if (!self->acceptor.is_open())
            return;
        if (failure) {
            self->timer.expires_after(accept_retry_delay);
            self->timer.async_wait([self](const boost::system::error_code &) {
                self->checkTimeouts();
                self->accept();
            });
            return;
        }
        if (self->connections.size() >= self->connectionContext->limits.maxConnections)
            self->removeClosed();
        if (self->connections.size() < self->connectionContext->limits.maxConnections) {
            self->connections.push_back(
                std::make_shared<listener_connection>(self->streams(self->context), self->connectionContext));
            self->connections.back()->start(std::move(socket));
        }
        self->accept();
    });
}

void listener::state::removeClosed()
{
    connections.remove_if([](const auto &each) { return !each->isOpen(); });
}

void listener::state::checkTimeouts()
{
    const time_point now = bootClockNow();
    for (const auto &each : connections)
        each->closeIfTimedOut(now);
    removeClosed();
    timer.expires_after(timeout_check_interval);
    timer.async_wait([self = shared_from_this()](const boost::system::error_code &failure) {
        if (!failure)
            self->checkTimeouts();
    });
}

outcome<std::unique_ptr<listener>> listener::open(event_loop &loop, const endpoint &address,
                                                  connection_limits limits, handler requestHandler,
                                                  stream_factory streams)
{
    auto newState = std::make_shared<state>(loop, limits, std::move(requestHandler), std::move(streams));
    boost::system::error_code failure;
    const tcp::endpoint local(boost::asio::ip::make_address(address.host, failure), address.port);
    if (!failure)
        newState->acceptor.open(local.protocol(), failure);
    if (!failure)
        newState->acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        newState->acceptor.bind(local, failure);
    if (!failure)
        newState->acceptor.listen(backlog, failure);
    if (failure)
        return error{error_code::unavailable, "can't listen on " + address.text() + ": " + failure.message()};
    newState->accept();
    newState->checkTimeouts();
    return std::unique_ptr<listener>(new listener(std::move(newState)));
}

listener::listener(std::shared_ptr<state> newState)
    : m_state(std::move(newState))
{
}

listener::~listener()
{
    stopAccepting();
    m_state->timer.cancel();
    for (const auto &each : m_state->connections)
        each->close();
}

void listener::setLimits(const connection_limits &limits)
{
    m_state->connectionContext->limits = limits;
}

void listener::closeAfterResponses()
{
    m_state->connectionContext->closeAfterResponse = true;
}

void listener::closeIdleConnections(duration idleFor)
{
    const time_point now = bootClockNow();
    for (const auto &each : m_state->connections) {
        if (each->isIdle() && !each->wasUsedWithin(idleFor, now))
            each->close();
    }
}

void listener::stopAccepting()
{
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
}

std::size_t listener::connectionCount() const
{
    return m_state->connections.size();
}

std::size_t listener::unansweredRequestCount() const
{
    const auto &connections = m_state->connections;
    return static_cast<std::size_t>(std::count_if(
        connections.begin(), connections.end(), [](const auto &each) { return each->hasPendingResponse(); }));
}

std::size_t listener::recentlyUsedConnectionCount(duration within) const
{
    const time_point now = bootClockNow();
    const auto &connections = m_state->connections;
    return static_cast<std::size_t>(
        std::count_if(connections.begin(), connections.end(),
                      [&](const auto &each) { return each->isOpen() && each->wasUsedWithin(within, now); }));
}

} // namespace ivypier::http
