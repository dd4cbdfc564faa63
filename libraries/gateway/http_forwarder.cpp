#include "gateway/http_forwarder.h"

#include "gateway/answer_writer.h"

#include <mutex>

namespace ivypier::gateway {

namespace {

constexpr std::string_view requests_path = "/v1/requests/";
constexpr std::string_view event_terminator = "\n\n";

std::string requestIdOf(const http::request &incoming)
{
    return incoming.path.starts_with(requests_path) ? incoming.path.substr(requests_path.size())
                                                    : incoming.header("Ivypier-Request");
}

} // namespace

/// Streams the response of another node to the caller.
class http_forwarder::forwarded_response final : public http::stream_observer
{
public:
    forwarded_response(task_poster::handle poster, endpoint node, http::request incoming,
                       std::shared_ptr<http::responder> caller, no_response_handler onNoResponse)
        : m_poster(std::move(poster))
        , m_node(std::move(node))
        , m_incoming(std::move(incoming))
        , m_onNoResponse(std::move(onNoResponse))
        , m_caller(std::move(caller))
    {
    }

    void onBegin(int status, const http::header_map &headers) override
    {
        const std::lock_guard lock(m_mutex);
        if (!m_caller)
            return;
        m_headSent = true;
        http::header_map responseHeaders = headers;
        responseHeaders.erase("Transfer-Encoding");
        responseHeaders.erase("Content-Length");
        responseHeaders.erase("Connection");
        const auto type = headers.find(std::string_view("Content-Type"));
        m_isEventStream = type != headers.end() && type->second.starts_with("text/event-stream");
        m_caller->begin(status, std::move(responseHeaders));
    }

    void onData(std::string data) override
    {
        const std::lock_guard lock(m_mutex);
        if (!m_caller)
            return;
        m_tail = (m_tail + data)
                     .substr(std::max(m_tail.size() + data.size(), event_terminator.size())
                             - event_terminator.size());
        m_caller->write(std::move(data));
        redirectAtBoundary();
    }

    void onEnd() override
    {
        const std::lock_guard lock(m_mutex);
        if (m_caller)
            m_caller->finish();
        m_caller.reset();
    }

    void onFailed(const error &failure) override
    {
        const std::lock_guard lock(m_mutex);
        if (!m_caller)
            return;
        const bool headSent = m_headSent;
        // If the response has started, this closes the connection, so that the caller cannot mistake the part
        // that it received for the complete response.
        m_caller.reset();
        if (!headSent)
            m_poster.post([onNoResponse = m_onNoResponse, incoming = m_incoming, failure] {
                onNoResponse(incoming, failure);
            });
    }

    /// Redirects the caller to the other node: at once if the response has not started, otherwise at the next
    /// event boundary. A response that has started and is not an event stream is not redirected.
    void redirect()
    {
        const std::lock_guard lock(m_mutex);
        m_redirecting = true;
        if (!m_caller || requestIdOf(m_incoming).empty())
            return;
        if (!m_headSent) {
            answer_writer(answer_format::plain, requestIdOf(m_incoming), m_caller).onMoved(m_node.text());
            m_caller.reset();
            return;
        }
        redirectAtBoundary();
    }

    bool isActive() const
    {
        const std::lock_guard lock(m_mutex);
        return m_caller != nullptr;
    }

private:
    void redirectAtBoundary()
    {
        const bool atBoundary = m_tail.empty() || m_tail == event_terminator;
        if (!m_redirecting || !m_isEventStream || !atBoundary)
            return;
        m_caller->write(movedEvent(m_node.text(), requestIdOf(m_incoming)));
        m_caller->finish();
        m_caller.reset();
    }

    task_poster::handle m_poster;
    endpoint m_node;
    http::request m_incoming;
    no_response_handler m_onNoResponse;
    mutable std::mutex m_mutex;
    std::shared_ptr<http::responder> m_caller; ///< null once the response has ended
    std::string m_tail; ///< last bytes written to the caller, at most the length of an event terminator
    bool m_headSent = false;
    bool m_isEventStream = false;
    bool m_redirecting = false;
};

http_forwarder::http_forwarder(scheduler &tasks, std::shared_ptr<http::client> transport)
    : m_poster(tasks)
    , m_transport(std::move(transport))
{
}

void http_forwarder::forward(const endpoint &node, const http::request &incoming,
                             std::shared_ptr<http::responder> caller, duration idleTimeout,
                             no_response_handler onNoResponse)
{
    const auto answer = std::make_shared<forwarded_response>(m_poster.newHandle(), node, incoming,
                                                             std::move(caller), std::move(onNoResponse));
    removeFinished();
    m_responses.push_back(answer);
    m_transport->stream(node, incoming, {idleTimeout, http::repeatability::repeatable}, answer);
}

void http_forwarder::redirectAll()
{
    for (const std::weak_ptr<forwarded_response> &each : m_responses) {
        const std::shared_ptr<forwarded_response> answer = each.lock();
        if (answer)
            answer->redirect();
    }
}

std::size_t http_forwarder::activeCount() const
{
    std::size_t count = 0;
    for (const std::weak_ptr<forwarded_response> &each : m_responses) {
        const std::shared_ptr<forwarded_response> answer = each.lock();
        if (answer && answer->isActive())
            ++count;
    }
    return count;
}

void http_forwarder::removeFinished()
{
    std::erase_if(m_responses, [](const std::weak_ptr<forwarded_response> &each) { return each.expired(); });
}

} // namespace ivypier::gateway
