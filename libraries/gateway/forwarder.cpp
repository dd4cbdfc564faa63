#include "gateway/forwarder.h"

namespace ivypier::gateway {

namespace {

/// Copies the home's answer to the caller.
class forwarded_answer final : public http::stream_observer
{
public:
    forwarded_answer(scheduler &tasks, http::request incoming, std::shared_ptr<http::responder> caller,
                     forwarder::silence onSilence)
        : m_tasks(tasks)
        , m_incoming(std::move(incoming))
        , m_caller(std::move(caller))
        , m_onSilence(std::move(onSilence))
    {
    }

    void onBegin(int status, const http::header_map &headers) override
    {
        m_begun = true;
        http::header_map kept = headers;
        kept.erase("Transfer-Encoding");
        kept.erase("Content-Length");
        kept.erase("Connection");
        m_caller->begin(status, std::move(kept));
    }

    void onData(std::string piece) override
    {
        m_caller->write(std::move(piece));
    }

    void onEnd() override
    {
        m_caller->finish();
        m_caller.reset();
    }

    void onFailed(const error &failure) override
    {
        if (m_begun) {
            m_caller.reset(); // cuts the connection: the caller must not take a part for the whole
            return;
        }
        m_tasks.post(
            [onSilence = m_onSilence, incoming = m_incoming, failure] { onSilence(incoming, failure); });
    }

private:
    scheduler &m_tasks;
    http::request m_incoming;
    std::shared_ptr<http::responder> m_caller;
    forwarder::silence m_onSilence;
    bool m_begun = false;
};

} // namespace

forwarder::forwarder(scheduler &tasks, std::shared_ptr<http::client> transport)
    : m_tasks(tasks)
    , m_transport(std::move(transport))
{
}

void forwarder::forward(const endpoint &home, const http::request &incoming,
                        std::shared_ptr<http::responder> caller, duration patience, silence onSilence)
{
    http::request message = incoming;
    message.headers[forwarded_header] = "1";
    m_transport->stream(
        home, std::move(message), {patience, http::repeatability::repeatable},
        std::make_shared<forwarded_answer>(m_tasks, incoming, std::move(caller), std::move(onSilence)));
}

} // namespace ivypier::gateway
