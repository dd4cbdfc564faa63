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

/// A caller of our own interface may be slow, but not for ever.
constexpr duration header_time = std::chrono::seconds(10);
constexpr duration silence_limit = std::chrono::seconds(120);
constexpr std::uint32_t header_limit = 64 * 1024;

field_list fieldsOf(const header_map &headers)
{
    field_list fields;
    for (const auto &[name, value] : headers) {
        if (!equalNames(name, "Content-Length") && !equalNames(name, "Transfer-Encoding"))
            fields.add(name, value);
    }
    return fields;
}

/// Writes one answer from any thread: each call is a task of the loop, in the order of the calls.
class posted_responder final : public responder
{
public:
    explicit posted_responder(std::shared_ptr<reply> to)
        : m_shared(std::make_shared<shared>())
    {
        m_shared->to = std::move(to);
        m_shared->to->onClosed([weak = std::weak_ptr<shared>(m_shared)] {
            if (const auto state = weak.lock())
                state->callerGone();
        });
    }

    ~posted_responder() override
    {
        if (!m_answered)
            respond(jsonResponse(status_internal_error, R"({"error":"internal"})"));
        // An answer that has begun and not ended is dropped, which closes the connection.
        backgroundLoop().post([state = m_shared] { state->to.reset(); });
    }

    void respond(response answer) override
    {
        if (m_answered.exchange(true))
            return;
        m_ended = true;
        backgroundLoop().post([state = m_shared, answer = std::move(answer)] {
            if (!state->to)
                return;
            state->to->send(answer.status, fieldsOf(answer.headers), answer.body);
            state->to.reset();
        });
    }

    void begin(int status, header_map headers) override
    {
        if (m_answered.exchange(true))
            return;
        backgroundLoop().post([state = m_shared, status, fields = fieldsOf(headers)] {
            if (state->to)
                state->to->begin(status, fields);
        });
    }

    void write(std::string piece) override
    {
        if (!m_answered || m_ended || piece.empty())
            return;
        backgroundLoop().post([state = m_shared, piece = std::move(piece)] {
            if (state->to)
                state->to->write(piece);
        });
    }

    void finish() override
    {
        if (!m_answered || m_ended.exchange(true))
            return;
        backgroundLoop().post([state = m_shared] {
            if (!state->to)
                return;
            state->to->finish();
            state->to.reset();
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
        void callerGone()
        {
            std::function<void()> told;
            {
                const std::lock_guard lock(mutex);
                closed = true;
                told = std::move(observer);
            }
            if (told)
                told();
        }

        std::shared_ptr<reply> to; ///< on the loop only
        std::atomic<bool> closed = false;
        std::mutex mutex;
        std::function<void()> observer;
    };

    std::shared_ptr<shared> m_shared;
    std::atomic<bool> m_answered = false;
    std::atomic<bool> m_ended = false;
};

request convert(incoming_request incoming)
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

/// Runs `work` on the loop and waits for its end.
template <typename Work>
auto onLoop(Work work)
{
    std::packaged_task<decltype(work())()> task(std::move(work));
    auto done = task.get_future();
    backgroundLoop().post([&task] { task(); });
    return done.get();
}

} // namespace

struct server::state
{
    std::unique_ptr<listener> accepting; ///< on the loop only
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
    limits.headerBytes = header_limit;
    limits.bodyBytes = options.bodyLimit;
    limits.headerTime = header_time;
    limits.bodyTime = silence_limit;
    limits.idleTime = silence_limit;
    auto opened = onLoop([&] {
        return listener::open(
            backgroundLoop(), options.address, limits,
            [requests = std::move(requests)](incoming_request incoming, std::shared_ptr<reply> to) {
                requests(convert(std::move(incoming)), std::make_shared<posted_responder>(std::move(to)));
            },
            streams);
    });
    if (!opened)
        return opened.error();
    auto initial = std::make_unique<state>();
    initial->accepting = std::move(opened.value());
    return std::unique_ptr<server>(new server(std::move(initial)));
}

server::server(std::unique_ptr<state> initial)
    : m_state(std::move(initial))
{
}

server::~server()
{
    onLoop([this] { m_state->accepting.reset(); });
}

void server::close()
{
    onLoop([this] {
        m_state->accepting->stopAccepting();
        m_state->accepting->closeIdle();
        m_state->accepting->closeAfterAnswers();
    });
}

} // namespace ivypier::http
