#include "http/client.h"

#include <boost/asio/ssl/context.hpp>
#include <cpprest/http_client.h>

#include <map>
#include <mutex>
#include <system_error>
#include <thread>
#include <tuple>
#include <vector>

namespace ivypier::http {

namespace {

namespace web = ::web::http;
using library_client = web::client::http_client;

/// Pools of idle connections that are kept, one for each address and timeout.
constexpr std::size_t pool_limit = 1024;

error describe(const std::exception_ptr &failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const web::http_exception &problem) {
        const auto condition = problem.error_code().default_error_condition();
        if (problem.error_code() == std::errc::host_unreachable || condition == std::errc::host_unreachable
            || condition == std::errc::connection_refused)
            return {error_code::unavailable, problem.what()};
        if (condition == std::errc::timed_out)
            return {error_code::timed_out, problem.what()};
        return {error_code::interrupted, problem.what()};
    } catch (const std::exception &problem) {
        return {error_code::interrupted, problem.what()};
    }
}

web::http_request convert(request message)
{
    web::http_request outgoing(message.method);
    outgoing.set_request_uri(message.query.empty() ? message.path : message.path + '?' + message.query);
    if (!message.body.empty() || message.method == "POST" || message.method == "PUT") {
        const std::string type = message.header("Content-Type");
        outgoing.set_body(std::move(message.body), type.empty() ? "application/json" : type);
    }
    message.headers.erase("Content-Type");
    message.headers.erase("Content-Length");
    message.headers.erase("Transfer-Encoding");
    message.headers.erase("Host");
    message.headers.erase("Connection");
    for (const auto &[name, value] : message.headers)
        outgoing.headers().add(name, value);
    return outgoing;
}

header_map headersOf(const web::http_response &incoming)
{
    header_map result;
    for (const auto &[name, value] : incoming.headers())
        result.emplace(name, value);
    return result;
}

/// Fails a call as a cut link does.
void failLater(link_fault fault, const call_options &options, client::completion done)
{
    if (fault == link_fault::refused) {
        pplx::create_task([done = std::move(done)] {
            done(error{error_code::unavailable, "the link is cut"});
        });
        return;
    }
    std::thread([options, done = std::move(done)] {
        std::this_thread::sleep_for(options.timeout);
        done(error{error_code::timed_out, "the link is cut"});
    }).detach();
}

/// One streamed response: reads what has come, hands it over, waits for more.
class streamed_exchange final : public exchange, public std::enable_shared_from_this<streamed_exchange>
{
public:
    streamed_exchange(std::shared_ptr<library_client> connection, std::shared_ptr<stream_observer> observer)
        : m_client(std::move(connection))
        , m_observer(std::move(observer))
    {
    }

    void start(const web::http_request &outgoing)
    {
        m_client->request(outgoing, m_cancellation.get_token())
            .then([self = shared_from_this()](const pplx::task<web::http_response> &answered) {
                try {
                    self->m_response = answered.get();
                } catch (...) { // the library reports every failure as an exception of the task
                    self->m_observer->onFailed(describe(std::current_exception()));
                    return;
                }
                self->m_observer->onBegin(self->m_response.status_code(), headersOf(self->m_response));
                self->m_source = self->m_response.body().streambuf();
                self->readMore();
            });
    }

    void cancel() override
    {
        m_cancellation.cancel();
    }

private:
    void readMore()
    {
        m_source.getc().then([self = shared_from_this()](const pplx::task<int> &read) {
            int first = 0;
            try {
                first = read.get();
            } catch (...) { // the body was cut
                self->m_observer->onFailed(describe(std::current_exception()));
                return;
            }
            if (first == std::char_traits<char>::eof())
                self->awaitEnd();
            else
                self->takeAvailable();
        });
    }

    /// The body is whole only when the library says so. Waiting for that here would block one of the few
    /// threads that have to bring the word.
    void awaitEnd()
    {
        m_response.content_ready().then(
            [self = shared_from_this()](const pplx::task<web::http_response> &completed) {
                try {
                    completed.get();
                } catch (...) { // the body was cut
                    self->m_observer->onFailed(describe(std::current_exception()));
                    return;
                }
                self->m_observer->onEnd();
            });
    }

    void takeAvailable()
    {
        const std::size_t count = m_source.in_avail();
        auto piece = std::make_shared<std::string>(count, '\0');
        m_source.getn(reinterpret_cast<std::uint8_t *>(piece->data()), count)
            .then([self = shared_from_this(), piece](const pplx::task<std::size_t> &read) {
                try {
                    piece->resize(read.get());
                } catch (...) { // the body was cut
                    self->m_observer->onFailed(describe(std::current_exception()));
                    return;
                }
                self->m_observer->onData(std::move(*piece));
                self->readMore();
            });
    }

    std::shared_ptr<library_client> m_client;
    std::shared_ptr<stream_observer> m_observer;
    pplx::cancellation_token_source m_cancellation;
    web::http_response m_response;
    concurrency::streams::streambuf<std::uint8_t> m_source;
};

/// An exchange over a cut link.
class cut_exchange final : public exchange
{
public:
    void cancel() override
    {
    }
};

} // namespace

struct client::state
{
    std::shared_ptr<const fault_switch> faults;
    std::string certificateAuthority;

    using pool_key = std::tuple<endpoint, duration, std::string>;

    std::mutex mutex;
    std::map<pool_key, std::shared_ptr<library_client>> pools;

    std::shared_ptr<library_client> clientFor(const endpoint &to, call_options options)
    {
        if (options.certificateAuthority.empty())
            options.certificateAuthority = certificateAuthority;
        if (options.repeat == repeatability::not_repeatable)
            return create(to, options);
        const std::lock_guard lock(mutex);
        const pool_key key{to, options.timeout, options.certificateAuthority};
        const auto found = pools.find(key);
        if (found != pools.end())
            return found->second;
        if (pools.size() >= pool_limit)
            pools.clear();
        return pools.emplace(key, create(to, options)).first->second;
    }

    static std::shared_ptr<library_client> create(const endpoint &to, const call_options &options)
    {
        web::client::http_client_config configuration;
        configuration.set_timeout(options.timeout);
        configuration.set_max_redirects(0); // a redirect is an answer; whoever asked decides on it
        if (options.certificateAuthority.empty())
            return std::make_shared<library_client>("http://" + to.text(), configuration);
        configuration.set_ssl_context_callback(
            [trusted = options.certificateAuthority](boost::asio::ssl::context &context) {
                boost::system::error_code failure; // a file that can't be read: no certificate is trusted
                context.load_verify_file(trusted, failure);
            });
        return std::make_shared<library_client>("https://" + to.text(), configuration);
    }
};

client::client()
    : client(nullptr)
{
}

client::client(std::shared_ptr<const fault_switch> faults)
    : client(std::move(faults), "")
{
}

client::client(std::shared_ptr<const fault_switch> faults, std::string certificateAuthority)
    : m_state(std::make_unique<state>())
{
    m_state->faults = std::move(faults);
    m_state->certificateAuthority = std::move(certificateAuthority);
}

client::~client() = default;

void client::send(const endpoint &to, request message, call_options options, completion done)
{
    const link_fault fault = m_state->faults ? m_state->faults->at(to) : link_fault::none;
    if (fault == link_fault::refused || fault == link_fault::silent) {
        failLater(fault, options, std::move(done));
        return;
    }
    if (fault == link_fault::answers_lost) {
        done = [options, done = std::move(done)](const outcome<response> &) {
            failLater(link_fault::silent, options, done);
        };
    }
    const std::shared_ptr<library_client> connection = m_state->clientFor(to, options);
    const auto headers = std::make_shared<web::http_response>();
    connection->request(convert(std::move(message)))
        .then([headers](const web::http_response &incoming) {
            *headers = incoming;
            return incoming.extract_vector();
        })
        .then([connection, headers,
               done = std::move(done)](const pplx::task<std::vector<unsigned char>> &read) {
            outcome<response> result = error{error_code::internal, ""};
            try {
                const std::vector<unsigned char> body = read.get();
                result = response{headers->status_code(), headersOf(*headers),
                                  std::string(body.begin(), body.end())};
            } catch (...) { // the library reports every failure as an exception of the task
                result = describe(std::current_exception());
            }
            done(std::move(result));
        });
}

std::shared_ptr<exchange> client::stream(const endpoint &to, request message, call_options options,
                                         std::shared_ptr<stream_observer> observer)
{
    const link_fault fault = m_state->faults ? m_state->faults->at(to) : link_fault::none;
    if (fault != link_fault::none) {
        failLater(fault, options,
                  [observer](const outcome<response> &failed) { observer->onFailed(failed.error()); });
        return std::make_shared<cut_exchange>();
    }
    auto running = std::make_shared<streamed_exchange>(m_state->clientFor(to, options), std::move(observer));
    running->start(convert(std::move(message)));
    return running;
}

} // namespace ivypier::http
