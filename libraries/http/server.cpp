#include "http/server.h"

#include "base/status_codes.h"

#include "http/background_loop.h"
#include "http/listener.h"
#include "http/tls_stream.h"

#include <atomic>
#include <future>
#include <mutex>

namespace ivypier::http {

namespace {

/// Generous limits for callers of our own interface, which may be slow but must not hold connections for
/// ever.
constexpr duration header_timeout = std::chrono::seconds(10);
constexpr duration idle_timeout = std::chrono::seconds(120);
constexpr std::uint32_t max_header_bytes = 64 * 1024;

field_list toFieldList(const header_map &headers)
{
    field_list fields;
    for (const auto &[name, value] : headers) {
        if (!equalNames(name, "Content-Length") && !equalNames(name, "Transfer-Encoding"))
            fields.add(name, value);
    }
    return fields;
}

/// Thread-safe responder that posts each call to the background loop, which preserves their order.
class posted_responder final : public responder
{
public:
    explicit posted_responder(std::shared_ptr<reply> replyWriter)
        : m_shared(std::make_shared<shared>())
    {
        m_shared->replyWriter = std::move(replyWriter);
        m_shared->replyWriter->onClosed([weak = std::weak_ptr<shared>(m_shared)] {
            if (const auto state = weak.lock())
                state->onDisconnected();
        });
    }

    ~posted_responder() override
    {
        if (!m_responseStarted)
            respond(jsonResponse(status_internal_error, R"({"error":"internal"})"));
        // Releasing the reply before a streamed response is finished closes the connection.
        backgroundLoop().post([state = m_shared] { state->replyWriter.reset(); });
    }

    void respond(response fullResponse) override
    {
        if (m_responseStarted.exchange(true))
            return;
        m_responseEnded = true;
        backgroundLoop().post([state = m_shared, fullResponse = std::move(fullResponse)] {
            if (!state->replyWriter)
                return;
            state->replyWriter->send(fullResponse.status, toFieldList(fullResponse.headers),
                                     fullResponse.body);
            state->replyWriter.reset();
        });
    }

    void begin(int status, header_map headers) override
    {
        if (m_responseStarted.exchange(true))
            return;
        backgroundLoop().post([state = m_shared, status, fields = toFieldList(headers)] {
            if (state->replyWriter)
                state->replyWriter->begin(status, fields);
        });
    }

    void write(std::string data) override
    {
        if (!m_responseStarted || m_responseEnded || data.empty())
            return;
        backgroundLoop().post([state = m_shared, data = std::move(data)] {
            if (state->replyWriter)
                state->replyWriter->write(data);
        });
    }

    void finish() override
    {
        if (!m_responseStarted || m_responseEnded.exchange(true))
            return;
        backgroundLoop().post([state = m_shared] {
            if (!state->replyWriter)
                return;
            state->replyWriter->finish();
            state->replyWriter.reset();
        });
    }

    bool isOpen() const override
    {
        return !m_shared->closed;
    }

    void onClosed(std::function<void()> observer) override
    {
        {
            const std::lock_guard lock(m_shared->mutex);
            if (!m_shared->closed) {
                m_shared->observer = std::move(observer);
                return;
            }
        }
        observer();
    }

private:
    struct shared
    {
        void onDisconnected()
        {
            std::function<void()> callback;
            {
                const std::lock_guard lock(mutex);
                closed = true;
                callback = std::move(observer);
            }
            if (callback)
                callback();
        }

        std::shared_ptr<reply> replyWriter; ///< accessed on the loop only
        std::atomic<bool> closed = false;
        std::mutex mutex;
        std::function<void()> observer;
    };

    std::shared_ptr<shared> m_shared;
    std::atomic<bool> m_responseStarted = false;
    std::atomic<bool> m_responseEnded = false;
};

request toRequest(incoming_request incoming)
{
    request result;
    result.method = std::move(incoming.head.method);
    result.path = incoming.head.path();
    result.query = incoming.head.query();
    for (const auto &[name, value] : incoming.head.fields)
        result.headers.emplace(name, value);
    result.body = std::move(incoming.body);
    return result;
}

/// Runs `work` on the background loop, waits for it, and returns its result.
template <typename Work>
auto runOnLoop(Work work)
{
    std::packaged_task<decltype(work())()> task(std::move(work));
    auto done = task.get_future();
    backgroundLoop().post([&task] { task(); });
    return done.get();
}

} // namespace

struct server::state
{
    std::unique_ptr<listener> httpListener; ///< accessed on the loop only
};

outcome<std::unique_ptr<server>> server::listen(server_options options, handler requests)
{
    stream_factory streams = makePlainStream;
    if (options.tls) {
        auto made = makeTlsServerStreams(*options.tls);
        if (!made)
            return made.error();
        streams = std::move(made.value());
    }
    connection_limits limits;
    limits.headerBytes = max_header_bytes;
    limits.bodyBytes = options.bodyLimit;
    limits.headerTimeout = header_timeout;
    limits.bodyTimeout = idle_timeout;
    limits.idleTimeout = idle_timeout;
    auto opened = runOnLoop([&] {
        return listener::open(
            backgroundLoop(), options.address, limits,
            [requests = std::move(requests)](incoming_request incoming, std::shared_ptr<reply> replyWriter) {
                requests(toRequest(std::move(incoming)),
                         std::make_shared<posted_responder>(std::move(replyWriter)));
            },
            streams);
    });
    if (!opened)
        return opened.error();
    auto initial = std::make_unique<state>();
    initial->httpListener = std::move(opened.value());
    return std::unique_ptr<server>(new server(std::move(initial)));
}

server::server(std::unique_ptr<state> initial)
    : m_state(std::move(initial))
{
}

server::~server()
{
    runOnLoop([this] { m_state->httpListener.reset(); });
}

void server::close()
{
    runOnLoop([this] {
        m_state->httpListener->stopAccepting();
        m_state->httpListener->closeIdleConnections();
        m_state->httpListener->closeAfterResponses();
    });
}

} // namespace ivypier::http
