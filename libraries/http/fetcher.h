#pragma once

#include "base/outcome.h"
#include "base/scheduler.h"
#include "http/exchange_transport.h"
#include "http/message.h"

#include <functional>

namespace ivypier::http {

/// Sends a request and collects its whole answer, on the loop's thread. One call at most for each request;
/// nothing is sent twice.
class fetcher
{
public:
    using completion = std::function<void(outcome<response>)>;

    fetcher(scheduler &tasks, exchange_transport &transport);
    ~fetcher();

    /// `done` gets the answer, or `unavailable` when nothing was sent, `interrupted` when the connection
    /// broke afterwards, `timed_out` after `timeout`. It is not called after the fetcher is gone.
    void send(const endpoint &to, const request &message, duration timeout, completion done);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace ivypier::http
