#include "http/fetcher.h"

#include "http/request_encoding.h"

#include <algorithm>
#include <map>
#include <optional>

namespace ivypier::http {

namespace {

/// Longest wait for a connection to the platform or another node.
constexpr duration connect_time = std::chrono::milliseconds(800);
constexpr std::size_t connection_limit = 16;
constexpr std::size_t body_limit = std::size_t{16} * 1024 * 1024;

/// One request and the answer as far as it has come.
class fetch final : public exchange_observer
{
public:
    using ended = std::function<void(outcome<response>)>;

    explicit fetch(ended onEnded)
        : m_onEnded(std::move(onEnded))
    {
    }

    void onHead(response_head head) override
    {
        m_answer.status = head.status;
        for (const auto &[name, value] : head.fields)
            m_answer.headers[name] = value;
    }
    void onBody(std::string_view piece) override
    {
        m_answer.body.append(piece);
        if (m_answer.body.size() > body_limit)
            end(error{error_code::too_large, "the answer is too large"});
    }
    void onEnd() override
    {
        end(std::move(m_answer));
    }
    void onFailed(const exchange_failure &failure) override
    {
        const bool unsent = failure.stage == exchange_stage::not_sent;
        end(error{unsent ? error_code::unavailable : error_code::interrupted, failure.reason});
    }

    void end(outcome<response> result)
    {
        if (const auto onEnded = std::exchange(m_onEnded, nullptr))
            onEnded(std::move(result));
    }

    std::unique_ptr<outgoing_exchange> running;
    std::optional<timer_id> timer;

private:
    ended m_onEnded;
    response m_answer;
};

} // namespace

struct fetcher::state
{
    state(scheduler &given, exchange_transport &over)
        : tasks(given)
        , transport(over)
    {
    }

    scheduler &tasks;
    exchange_transport &transport;
    std::map<std::uint64_t, std::shared_ptr<fetch>> running;
    std::uint64_t next = 0;
};

fetcher::fetcher(scheduler &tasks, exchange_transport &transport)
    : m_state(std::make_shared<state>(tasks, transport))
{
}

fetcher::~fetcher()
{
    for (const auto &[number, each] : m_state->running) {
        if (each->timer)
            m_state->tasks.cancel(*each->timer);
    }
}

void fetcher::send(const endpoint &to, const request &message, duration timeout, completion done)
{
    const std::uint64_t number = ++m_state->next;
    const std::weak_ptr<state> weak = m_state;
    const auto started
        = std::make_shared<fetch>([weak, number, done = std::move(done)](outcome<response> result) {
              const auto self = weak.lock();
              if (!self)
                  return;
              const auto ending = self->running.extract(number);
              if (!ending.empty() && ending.mapped()->timer)
                  self->tasks.cancel(*ending.mapped()->timer);
              // The exchange may be the caller of this function: it is dropped by a later task.
              if (!ending.empty())
                  self->tasks.post([last = ending.mapped()] { last->running.reset(); });
              done(std::move(result));
          });
    m_state->running.emplace(number, started);
    started->timer = m_state->tasks.after(timeout, [weakFetch = std::weak_ptr<fetch>(started)] {
        if (const auto late = weakFetch.lock()) {
            late->timer.reset();
            late->end(error{error_code::timed_out, "no answer in time"});
        }
    });
    exchange_options options;
    options.connectTime = std::min<duration>(timeout, connect_time);
    options.connections = connection_limit;
    options.headOnly = message.method == "HEAD";
    started->running = m_state->transport.start(to, encodeRequest(to, message), options, *started);
}

} // namespace ivypier::http
