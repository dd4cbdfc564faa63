#include "http/client.h"

#include "http/background_loop.h"
#include "http/connection_pool.h"
#include "http/request_encoding.h"
#include "http/tls_stream.h"

#include <map>
#include <optional>

namespace ivypier::http {

namespace {

constexpr std::size_t max_connections = 1024; ///< per server address

error toError(const exchange_failure &failure)
{
    const bool unsent = failure.stage == exchange_stage::not_sent;
    return {unsent ? error_code::unavailable : error_code::interrupted, failure.reason};
}

/// Collects the whole response for client::send().
class response_collector final : public stream_observer
{
public:
    explicit response_collector(client::completion done)
        : m_done(std::move(done))
    {
    }

    void onBegin(int status, const header_map &headers) override
    {
        m_response.status = status;
        m_response.headers = headers;
    }
    void onData(std::string data) override
    {
        m_response.body.append(data);
    }
    void onEnd() override
    {
        m_done(std::move(m_response));
    }
    void onFailed(const error &failure) override
    {
        m_done(failure);
    }

private:
    client::completion m_done;
    response m_response;
};

/// One call. Everything except cancel() runs on the background loop.
class client_call final : public exchange,
                          private exchange_observer,
                          public std::enable_shared_from_this<client_call>
{
public:
    client_call(endpoint to, std::string bytes, call_options options, bool isHeadRequest,
                std::shared_ptr<stream_observer> observer)
        : m_to(std::move(to))
        , m_encodedRequest(std::move(bytes))
        , m_options(std::move(options))
        , m_isHeadRequest(isHeadRequest)
        , m_observer(std::move(observer))
    {
    }

    void start(std::shared_ptr<connection_pool> pool)
    {
        m_pool = std::move(pool);
        m_self = shared_from_this();
        send(m_options.callRepeatability == repeatability::not_repeatable);
    }

    void cancel() override
    {
        backgroundLoop().post([self = shared_from_this()] {
            self->fail({error_code::interrupted, "cancelled"});
        });
    }

private:
    void send(bool newConnection)
    {
        m_usesNewConnection = newConnection;
        exchange_options options;
        options.connectTimeout = m_options.timeout;
        options.maxConnections = max_connections;
        options.isHeadRequest = m_isHeadRequest;
        options.useNewConnection = newConnection;
        restartIdleTimer();
        m_exchange = m_pool->start(m_to, m_encodedRequest, std::move(options), *this);
    }

    /// Restarts the timer that fails the call when no data arrives within the call's timeout.
    void restartIdleTimer()
    {
        m_lastActivityAt = backgroundLoop().now();
        if (m_timer)
            return;
        m_timer = backgroundLoop().after(m_options.timeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->onIdleTimer();
        });
    }

    void onIdleTimer()
    {
        m_timer.reset();
        const duration idleFor = backgroundLoop().now() - m_lastActivityAt;
        if (idleFor >= m_options.timeout) {
            fail({error_code::timed_out, "no answer in time"});
            return;
        }
        m_timer = backgroundLoop().after(m_options.timeout - idleFor, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->onIdleTimer();
        });
    }

    void onHead(response_head head) override
    {
        const auto alive = shared_from_this();
        m_lastActivityAt = backgroundLoop().now();
        header_map headers;
        for (const auto &[name, value] : head.fields)
            headers.emplace(name, value);
        m_observer->onBegin(head.status, headers);
    }

    void onBody(std::string_view data) override
    {
        const auto alive = shared_from_this();
        m_lastActivityAt = backgroundLoop().now();
        m_observer->onData(std::string(data));
    }

    void onEnd() override
    {
        const auto alive = shared_from_this();
        release();
        m_observer->onEnd();
    }

    void onFailed(const exchange_failure &failure) override
    {
        const auto alive = shared_from_this();
        // The server has probably closed the pooled connection while it was idle. A repeatable call is sent
        // again once, on a new connection.
        if (failure.stage == exchange_stage::sent && !m_usesNewConnection
            && m_options.callRepeatability == repeatability::repeatable) {
            backgroundLoop().post([self = shared_from_this()] {
                if (self->m_self)
                    self->send(true);
            });
            return;
        }
        fail(toError(failure));
    }

    void fail(const error &failure)
    {
        const auto alive = shared_from_this();
        if (!m_self)
            return;
        release();
        m_observer->onFailed(failure);
    }

    /// Releases the timer, the exchange and the reference that keeps the call alive.
    void release()
    {
        if (m_timer)
            backgroundLoop().cancel(*m_timer);
        m_timer.reset();
        m_exchange.reset();
        m_self.reset();
    }

    std::shared_ptr<connection_pool> m_pool;
    endpoint m_to;
    std::string m_encodedRequest;
    call_options m_options;
    bool m_isHeadRequest;
    std::shared_ptr<stream_observer> m_observer;
    std::unique_ptr<outgoing_exchange> m_exchange;
    std::optional<timer_id> m_timer;
    time_point m_lastActivityAt{};
    bool m_usesNewConnection = false;
    std::shared_ptr<client_call> m_self; ///< keeps the call alive until it completes
};

/// The exchange of a call that a simulated link fault fails.
class disconnected_exchange final : public exchange
{
public:
    void cancel() override
    {
    }
};

/// Fails a call as a broken link would: with `unavailable` in the next task if the link refuses connections,
/// else with `timed_out` after the call's timeout.
void postLinkFailure(link_fault fault, const call_options &options,
                     const std::shared_ptr<stream_observer> &observer)
{
    backgroundLoop().post([fault, timeout = options.timeout, observer] {
        if (fault == link_fault::refused) {
            observer->onFailed({error_code::unavailable, "the link is cut"});
            return;
        }
        backgroundLoop().after(timeout, [observer] {
            observer->onFailed({error_code::timed_out, "the link is cut"});
        });
    });
}

/// Discards the response and fails the call with a timeout, as if the response had been lost.
class discarding_observer final : public stream_observer
{
public:
    discarding_observer(call_options options, std::shared_ptr<stream_observer> observer)
        : m_options(std::move(options))
        , m_observer(std::move(observer))
    {
    }
    void onBegin(int, const header_map &) override
    {
    }
    void onData(std::string) override
    {
    }
    void onEnd() override
    {
        postLinkFailure(link_fault::silent, m_options, m_observer);
    }
    void onFailed(const error &) override
    {
        postLinkFailure(link_fault::silent, m_options, m_observer);
    }

private:
    call_options m_options;
    std::shared_ptr<stream_observer> m_observer;
};

} // namespace

struct client::state
{
    std::shared_ptr<const fault_switch> faults;
    std::string certificateAuthority;
    std::map<std::string, std::shared_ptr<connection_pool>> pools; ///< by authority file; on the loop only

    std::shared_ptr<connection_pool> poolFor(const std::string &authority)
    {
        std::shared_ptr<connection_pool> &pool = pools[authority];
        if (!pool)
            pool = std::make_shared<connection_pool>(
                backgroundLoop(), authority.empty() ? makePlainStream : makeTlsClientStreams(authority));
        return pool;
    }
};

client::client()
    : client(nullptr)
{
}

client::client(std::shared_ptr<const fault_switch> faults)
    : client(std::move(faults), "")
{
}

client::client(std::shared_ptr<const fault_switch> faults, std::string certificateAuthority)
    : m_state(std::make_shared<state>())
{
    m_state->faults = std::move(faults);
    m_state->certificateAuthority = std::move(certificateAuthority);
}

client::~client()
{
    // Pools must be destroyed on the loop. Calls in progress hold a reference to theirs.
    backgroundLoop().post([state = std::move(m_state)] { state->pools.clear(); });
}

void client::send(const endpoint &to, request message, call_options options, completion done)
{
    std::shared_ptr<stream_observer> observer = std::make_shared<response_collector>(std::move(done));
    const link_fault fault = m_state->faults ? m_state->faults->at(to) : link_fault::none;
    if (fault == link_fault::refused || fault == link_fault::silent) {
        postLinkFailure(fault, options, observer);
        return;
    }
    if (fault == link_fault::answers_lost)
        observer = std::make_shared<discarding_observer>(options, std::move(observer));
    start(to, message, std::move(options), std::move(observer));
}

std::shared_ptr<exchange> client::stream(const endpoint &to, request message, call_options options,
                                         std::shared_ptr<stream_observer> observer)
{
    const link_fault fault = m_state->faults ? m_state->faults->at(to) : link_fault::none;
    if (fault != link_fault::none) {
        postLinkFailure(fault, options, observer);
        return std::make_shared<disconnected_exchange>();
    }
    return start(to, message, std::move(options), std::move(observer));
}

std::shared_ptr<exchange> client::start(const endpoint &to, const request &message, call_options options,
                                        std::shared_ptr<stream_observer> observer)
{
    if (options.certificateAuthority.empty())
        options.certificateAuthority = m_state->certificateAuthority;
    const auto call = std::make_shared<client_call>(to, encodeRequest(to, message), options,
                                                    message.method == "HEAD", std::move(observer));
    backgroundLoop().post([state = m_state, call, authority = options.certificateAuthority] {
        call->start(state->poolFor(authority));
    });
    return call;
}

} // namespace ivypier::http
