#pragma once

#include "base/outcome.h"
#include "base/scheduler.h"
#include "http/exchange_transport.h"
#include "http/message.h"

#include <functional>
#include <memory>

namespace ivypier::http {

class fetch;

/// Sends requests and collects their whole responses, on the loop's thread. Never sends a request twice.
class fetcher
{
public:
    using completion = std::function<void(outcome<response>)>;

    fetcher(scheduler &tasks, exchange_transport &transport);
    ~fetcher();

    /// Sends a request and calls `done` at most once, with the response or one of these errors: `unavailable`
    /// if no byte was sent, `interrupted` if the connection broke afterwards, `timed_out` if there is no
    /// complete response within `timeout`, `too_large` if the body exceeds 16 MiB. `done` isn't called once
    /// the fetcher is destroyed.
    void send(const endpoint &to, const request &message, duration timeout, completion done);

    /// As send(), for responses that may be large: `timeout` is the time until the response begins. After
    /// that it fails with `timed_out` when no more of it arrives for `stall_timeout`.
    void sendForLargeResponse(const endpoint &to, const request &message, duration timeout, completion done);

    static constexpr duration stall_timeout = std::chrono::seconds(1);

private:
    struct state;

    std::shared_ptr<fetch> start(const endpoint &to, const request &message, duration timeout,
                                 completion done);
    std::shared_ptr<state> m_state;
};

} // namespace ivypier::http
