#include "http/server.h"

#include "base/log_event.h"
#include "http/body_reader.h"

#include <boost/asio/ssl/context.hpp>
#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>

#include <atomic>
#include <charconv>
#include <mutex>
#include <vector>

namespace ivypier::http {

namespace {

namespace web = ::web::http;
using body_buffer = concurrency::streams::producer_consumer_buffer<std::uint8_t>;

/// Longest silence of a caller while it sends a request, before the library drops the connection.
constexpr utility::seconds connection_silence_limit{120};

constexpr int status_payload_too_large = 413;
constexpr int status_internal_error = 500;

void copyHeaders(const header_map &from, web::http_headers &to)
{
    for (const auto &[name, value] : from)
        to.add(name, value);
}

/// Owns the library's side of one response.
class listener_responder final : public responder
{
public:
    explicit listener_responder(web::http_request incoming)
        : m_request(std::move(incoming))
    {
    }

    ~listener_responder() override
    {
        if (!m_answered)
            respond(jsonResponse(status_internal_error, R"({"error":"internal"})"));
        else if (m_streaming && !m_finished)
            m_buffer.close(std::ios_base::out, std::make_exception_ptr(std::runtime_error("cut"))).wait();
    }

    void respond(response answer) override
    {
        if (m_answered.exchange(true))
            return;
        web::http_response outgoing(static_cast<web::status_code>(answer.status));
        const std::string type = answer.header("Content-Type");
        outgoing.set_body(std::move(answer.body), type.empty() ? "text/plain" : type);
        answer.headers.erase("Content-Type");
        copyHeaders(answer.headers, outgoing.headers());
        send(std::move(outgoing));
    }

    void begin(int status, header_map headers) override
    {
        if (m_answered.exchange(true))
            return;
        m_streaming = true;
        web::http_response outgoing(static_cast<web::status_code>(status));
        const std::string type = headers["Content-Type"];
        headers.erase("Content-Type");
        outgoing.set_body(m_buffer.create_istream(), type);
        copyHeaders(headers, outgoing.headers());
        send(std::move(outgoing));
    }

    void write(std::string piece) override
    {
        const std::lock_guard lock(m_mutex);
        if (!m_streaming || m_finished || piece.empty())
            return;
        m_buffer.putn_nocopy(reinterpret_cast<const std::uint8_t *>(piece.data()), piece.size()).wait();
        m_buffer.sync().wait();
    }

    void finish() override
    {
        const std::lock_guard lock(m_mutex);
        if (!m_streaming || m_finished)
            return;
        m_finished = true;
        m_buffer.close(std::ios_base::out).wait();
    }

    bool isOpen() const override
    {
        return !m_shared->closed;
    }

    void onClosed(std::function<void()> observer) override
    {
        const std::lock_guard lock(m_shared->mutex);
        m_shared->observer = std::move(observer);
    }

private:
    /// What the library's reply task may still reach after the responder is gone.
    struct connection_state
    {
        std::atomic<bool> closed = false;
        std::mutex mutex;
        std::function<void()> observer;
    };

    void send(web::http_response outgoing)
    {
        m_request.reply(std::move(outgoing)).then([shared = m_shared](const pplx::task<void> &sent) {
            try {
                sent.get();
            } catch (...) { // the only sign the library gives of a caller that went away
                shared->closed = true;
                std::function<void()> observer;
                {
                    const std::lock_guard lock(shared->mutex);
                    observer = std::move(shared->observer);
                }
                if (observer)
                    observer();
            }
        });
    }

    web::http_request m_request;
    body_buffer m_buffer;
    std::mutex m_mutex;
    std::atomic<bool> m_answered = false;
    std::atomic<bool> m_streaming = false;
    bool m_finished = false;
    std::shared_ptr<connection_state> m_shared = std::make_shared<connection_state>();
};

request convert(const web::http_request &incoming, std::string body)
{
    request result;
    result.method = incoming.method();
    result.path = incoming.request_uri().path();
    result.query = incoming.request_uri().query();
    for (const auto &[name, value] : incoming.headers())
        result.headers.emplace(name, value);
    result.body = std::move(body);
    return result;
}

std::string uriOf(const server_options &options)
{
    return (options.tls ? "https://" : "http://") + options.address.text() + '/';
}

/// Sets up TLS 1.2 and later with a certificate; throws when a file can't be used.
void loadCertificate(const tls_files &files, boost::asio::ssl::context &context)
{
    using tls = boost::asio::ssl::context;
    context.set_options(tls::default_workarounds | tls::no_sslv2 | tls::no_sslv3 | tls::no_tlsv1
                        | tls::no_tlsv1_1);
    context.use_certificate_chain_file(files.certificate);
    context.use_private_key_file(files.privateKey, tls::pem);
}

web::experimental::listener::http_listener_config configurationOf(const server_options &options)
{
    web::experimental::listener::http_listener_config configuration;
    configuration.set_timeout(connection_silence_limit);
    if (options.tls) {
        configuration.set_ssl_context_callback(
            [files = *options.tls](boost::asio::ssl::context &context) { loadCertificate(files, context); });
    }
    return configuration;
}

} // namespace

struct server::state
{
    state(server_options given, handler requestHandler)
        : options(std::move(given))
        , requests(std::move(requestHandler))
        , listener(uriOf(options), configurationOf(options))
    {
    }

    server_options options;
    handler requests;
    web::experimental::listener::http_listener listener;

    void receive(web::http_request incoming)
    {
        const auto &headers = incoming.headers();
        if (headers.has("Content-Length") && headers.content_length() > options.bodyLimit) {
            refuseTooLarge(incoming);
            return;
        }
        body_reader::read(incoming, options.bodyLimit)
            .then([this, incoming](const pplx::task<std::optional<std::string>> &read) mutable {
                try {
                    std::optional<std::string> body = read.get();
                    if (!body) {
                        refuseTooLarge(incoming);
                        return;
                    }
                    requests(convert(incoming, std::move(*body)),
                             std::make_shared<listener_responder>(incoming));
                } catch (
                    const std::exception &failure) { // the caller's connection broke while it sent the body
                    log_event(log_level::debug, "http.body_cut").with("reason", failure.what()).write();
                }
            });
    }

    static void refuseTooLarge(const web::http_request &incoming)
    {
        response answer
            = jsonResponse(status_payload_too_large, R"({"error":"too_large","outcome":"not_run"})");
        answer.headers["Connection"] = "close"; // the rest of the body is not read
        listener_responder(incoming).respond(std::move(answer));
        body_reader::abandon(incoming);
    }
};

outcome<std::unique_ptr<server>> server::listen(server_options options, handler requests)
{
    try {
        if (options.tls) { // the library would find a bad certificate only at the first connection
            boost::asio::ssl::context probe(boost::asio::ssl::context::tls_server);
            loadCertificate(*options.tls, probe);
        }
        auto initial = std::make_unique<state>(std::move(options), std::move(requests));
        initial->listener.support(
            [raw = initial.get()](web::http_request incoming) { raw->receive(std::move(incoming)); });
        initial->listener.open().wait();
        return std::unique_ptr<server>(new server(std::move(initial)));
    } catch (
        const std::exception &failure) { // the library reports a taken port or a bad certificate this way
        return error{error_code::unavailable, std::string("can't listen: ") + failure.what()};
    }
}

server::server(std::unique_ptr<state> initial)
    : m_state(std::move(initial))
{
}

server::~server()
{
    close();
}

void server::close()
{
    try {
        m_state->listener.close().wait();
    } catch (const std::exception &failure) { // closing twice
        log_event(log_level::debug, "http.close").with("reason", failure.what()).write();
    }
}

} // namespace ivypier::http
