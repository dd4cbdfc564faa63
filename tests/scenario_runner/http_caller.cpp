#include "http_caller.h"

namespace ivypier::scenarios {

/// Collects the response of one call. Called on the client's threads, read by the script.
class http_caller::observer final : public http::stream_observer
{
public:
    void onBegin(int status, const http::header_map &headers) override
    {
        update([&](call_progress &progress) {
            progress.headReceived = true;
            progress.status = status;
            progress.headers = headers;
        });
    }

    void onData(std::string chunk) override
    {
        update([&](call_progress &progress) { progress.body += chunk; });
    }

    void onEnd() override
    {
        update([](call_progress &progress) { progress.completed = true; });
    }

    void onFailed(const error &failure) override
    {
        update([&](call_progress &progress) {
            progress.completed = true;
            progress.failure = failure;
        });
    }

    call_progress snapshot() const
    {
        const std::lock_guard lock(m_mutex);
        return m_progress;
    }

    call_progress wait(double seconds) const
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, std::chrono::duration<double>(seconds),
                           [this] { return m_progress.completed; });
        return m_progress;
    }

private:
    template <typename Update>
    void update(Update apply)
    {
        const std::lock_guard lock(m_mutex);
        apply(m_progress);
        m_changed.notify_all();
    }

    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    call_progress m_progress;
};

int http_caller::start(const endpoint &to, http::request message, duration timeout, const std::string &trust)
{
    const int number = m_nextCall++;
    auto responseObserver = std::make_shared<observer>();
    // A call marked as not repeatable gets a new connection, so that the client library never retries it by
    // itself.
    auto exchange = m_client.stream(to, std::move(message),
                                    {timeout, http::repeatability::not_repeatable, trust}, responseObserver);
    m_calls[number] = {std::move(responseObserver), std::move(exchange)};
    return number;
}

call_progress http_caller::progress(int call) const
{
    const auto found = m_calls.find(call);
    return found == m_calls.end() ? call_progress{} : found->second.responseObserver->snapshot();
}

call_progress http_caller::wait(int call, double seconds) const
{
    const auto found = m_calls.find(call);
    return found == m_calls.end() ? call_progress{} : found->second.responseObserver->wait(seconds);
}

void http_caller::cancel(int call)
{
    const auto found = m_calls.find(call);
    if (found != m_calls.end())
        found->second.exchange->cancel();
}

} // namespace ivypier::scenarios
