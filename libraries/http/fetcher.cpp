#include "http/fetcher.h"

#include "http/request_encoding.h"

#include <algorithm>
#include <map>
#include <optional>

namespace ivypier::http {

namespace {

/// Maximum time to connect to the platform or another node.
constexpr duration connect_timeout = std::chrono::milliseconds(800);
constexpr std::size_t max_connections = 16;
constexpr std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;

} // namespace

/// One request and the part of its response received so far.
class fetch final : public exchange_observer
{
public:
    using completion_handler = std::function<void(outcome<response>)>;

    explicit fetch(completion_handler onCompleted)
        : m_onCompleted(std::move(onCompleted))
    {
    }

    void onHead(response_head head) override
    {
        m_response.status = head.status;
        for (const auto &[name, value] : head.fields)
            m_response.headers[name] = value;
        if (onProgress)
            onProgress();
    }
    void onBody(std::string_view data) override
    {
        m_response.body.append(data);
        if (m_response.body.size() > max_body_bytes)
            end(error{error_code::too_large, "the answer is too large"});
        else if (onProgress)
            onProgress();
    }
    void onEnd() override
    {
        end(std::move(m_response));
    }
    void onFailed(const exchange_failure &failure) override
    {
        const bool unsent = failure.stage == exchange_stage::not_sent;
        end(error{unsent ? error_code::unavailable : error_code::interrupted, failure.reason});
    }

    void end(outcome<response> result)
    {
        if (const auto onCompleted = std::exchange(m_onCompleted, nullptr))
            onCompleted(std::move(result));
    }

    std::unique_ptr<outgoing_exchange> running;
    std::optional<timer_id> timer;
    std::function<void()> onProgress; ///< called when a part of the response arrives

private:
    completion_handler m_onCompleted;
    response m_response;
};

namespace {

/// Fails the fetch after `timeout`, unless it is called again or the fetch ends before.
void setTimeout(scheduler &tasks, const std::shared_ptr<fetch> &of, duration timeout)
{
    if (of->timer)
        tasks.cancel(*of->timer);
    of->timer = tasks.after(timeout, [weakFetch = std::weak_ptr<fetch>(of)] {
        if (const auto expired = weakFetch.lock()) {
            expired->timer.reset();
            expired->end(error{error_code::timed_out, "no answer in time"});
        }
    });
}

} // namespace

struct fetcher::state
{
    state(scheduler &taskScheduler, exchange_transport &exchangeTransport)
        : tasks(taskScheduler)
        , transport(exchangeTransport)
    {
    }

    scheduler &tasks;
    exchange_transport &transport;
    std::map<std::uint64_t, std::shared_ptr<fetch>> running;
    std::uint64_t lastId = 0;
};

fetcher::fetcher(scheduler &tasks, exchange_transport &transport)
    : m_state(std::make_shared<state>(tasks, transport))
{
}

fetcher::~fetcher()
{
    for (const auto &[id, each] : m_state->running) {
        if (each->timer)
            m_state->tasks.cancel(*each->timer);
    }
}

void fetcher::send(const endpoint &to, const request &message, duration timeout, completion done)
{
    start(to, message, timeout, std::move(done));
}

void fetcher::sendForLargeResponse(const endpoint &to, const request &message, duration timeout,
                                   completion done)
{
    const std::shared_ptr<fetch> started = start(to, message, timeout, std::move(done));
    started->onProgress = [&tasks = m_state->tasks, weakFetch = std::weak_ptr<fetch>(started)] {
        if (const auto progressing = weakFetch.lock())
            setTimeout(tasks, progressing, stall_timeout);
    };
}

std::shared_ptr<fetch> fetcher::start(const endpoint &to, const request &message, duration timeout,
                                      completion done)
{
    const std::uint64_t id = ++m_state->lastId;
    const std::weak_ptr<state> weak = m_state;
    const auto started
        = std::make_shared<fetch>([weak, id, done = std::move(done)](outcome<response> result) {
              const auto self = weak.lock();
              if (!self)
                  return;
              const auto completed = self->running.extract(id);
              if (!completed.empty() && completed.mapped()->timer)
                  self->tasks.cancel(*completed.mapped()->timer);
              // The exchange may be calling this function, so a later task destroys it.
              if (!completed.empty())
                  self->tasks.post([last = completed.mapped()] { last->running.reset(); });
              done(std::move(result));
          });
    m_state->running.emplace(id, started);
    setTimeout(m_state->tasks, started, timeout);
    exchange_options options;
    options.connectTimeout = std::min<duration>(timeout, connect_timeout);
    options.maxConnections = max_connections;
    options.isHeadRequest = message.method == "HEAD";
    started->running = m_state->transport.start(to, encodeRequest(to, message), options, *started);
    return started;
}

} // namespace ivypier::http
