#include "http/tls_stream.h"

#include "http/socket_options.h"

#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace ivypier::http {

namespace {

using tcp = boost::asio::ip::tcp;
using tls_context = boost::asio::ssl::context;

/// How long the peer may take to reply to close_notify.
constexpr std::chrono::seconds shutdown_time(1);
constexpr std::size_t read_buffer_size = std::size_t{16} * 1024;

class tls_stream final : public byte_stream
{
public:
    tls_stream(boost::asio::io_context &context, std::shared_ptr<tls_context> tlsContext)
        : m_tlsContext(std::move(tlsContext))
        , m_state(std::make_shared<state>(context, *m_tlsContext))
    {
    }

    void connect(const endpoint &to, completion_handler done) override
    {
        failure_code failure;
        const tcp::endpoint peer(boost::asio::ip::make_address(to.host, failure), to.port);
        m_state->stream.next_layer().async_connect(
            peer, [state = m_state, done = std::move(done)](const failure_code &refused) {
                if (refused) {
                    done(refused);
                    return;
                }
                configureSocket(state->stream.next_layer());
                state->stream.async_handshake(boost::asio::ssl::stream_base::client,
                                              [state, done](const failure_code &failed) { done(failed); });
            });
    }

    void accept(tcp::socket socket, completion_handler done) override
    {
        m_state->stream.next_layer() = std::move(socket);
        configureSocket(m_state->stream.next_layer());
        m_state->stream.async_handshake(
            boost::asio::ssl::stream_base::server,
            [state = m_state, done = std::move(done)](const failure_code &failed) { done(failed); });
    }

    void waitReadable(completion_handler done) override
    {
        // Waiting on the socket would miss data that OpenSSL has buffered already, so this reads into our
        // buffer.
        m_state->stream.async_read_some(
            boost::asio::buffer(m_state->buffer),
            [state = m_state, done = std::move(done)](const failure_code &failed, std::size_t size) {
                state->readOffset = 0;
                state->readEnd = size;
                done(failed);
            });
    }

    std::size_t readSome(char *to, std::size_t maxBytes, failure_code &failure) override
    {
        const std::size_t size = std::min(maxBytes, m_state->readEnd - m_state->readOffset);
        if (size == 0) {
            failure = boost::asio::error::would_block;
            return 0;
        }
        std::copy_n(m_state->buffer.data() + m_state->readOffset, size, to);
        m_state->readOffset += size;
        return size;
    }

    bool isEndInOrder() override
    {
        return true; // an end without close_notify is reported as `stream_truncated`
    }

    void write(std::string_view bytes, write_handler done) override
    {
        boost::asio::async_write(m_state->stream, boost::asio::buffer(bytes),
                                 [state = m_state, done = std::move(done)](
                                     const failure_code &failed, std::size_t size) { done(failed, size); });
    }

    void markIncomplete() override
    {
        // An end without close_notify shows it.
    }

    void closeInOrder() override
    {
        m_state->shutdownTimer.expires_after(shutdown_time);
        m_state->shutdownTimer.async_wait([state = m_state](const failure_code &) { state->close(); });
        m_state->stream.async_shutdown([state = m_state](const failure_code &) { state->close(); });
    }

    void close() override
    {
        // No TLS shutdown handshake: the HTTP framing shows whether a response is complete.
        m_state->close();
    }

private:
    /// Shared with pending operations, so that it outlives the stream until they complete.
    struct state
    {
        state(boost::asio::io_context &context, tls_context &tlsContext)
            : stream(context, tlsContext)
            , shutdownTimer(context)
        {
        }

        void close()
        {
            failure_code ignored;
            shutdownTimer.cancel();
            stream.next_layer().shutdown(tcp::socket::shutdown_both, ignored);
            stream.next_layer().close(ignored);
        }

        boost::asio::ssl::stream<tcp::socket> stream;
        boost::asio::steady_timer shutdownTimer;
        std::array<char, read_buffer_size> buffer{};
        std::size_t readOffset = 0; ///< start of the unread bytes in the buffer
        std::size_t readEnd = 0;
    };

    std::shared_ptr<tls_context> m_tlsContext;
    std::shared_ptr<state> m_state;
};

stream_factory makeStreamFactory(std::shared_ptr<tls_context> tlsContext)
{
    return [tlsContext = std::move(tlsContext)](boost::asio::io_context &context) {
        return std::unique_ptr<byte_stream>(std::make_unique<tls_stream>(context, tlsContext));
    };
}

} // namespace

outcome<stream_factory> makeTlsServerStreams(const tls_files &files)
{
    auto tlsContext = std::make_shared<tls_context>(tls_context::tls_server);
    boost::system::error_code failure;
    tlsContext->set_options(tls_context::default_workarounds | tls_context::no_sslv2 | tls_context::no_sslv3
                                | tls_context::no_tlsv1 | tls_context::no_tlsv1_1,
                            failure);
    if (!failure)
        tlsContext->use_certificate_chain_file(files.certificate, failure);
    if (!failure)
        tlsContext->use_private_key_file(files.privateKey, tls_context::pem, failure);
    if (failure)
        return error{error_code::unavailable, "can't use the certificate: " + failure.message()};
    return makeStreamFactory(std::move(tlsContext));
}

stream_factory makeTlsClientStreams(const std::string &certificateAuthority)
{
    auto tlsContext = std::make_shared<tls_context>(tls_context::tls_client);
    boost::system::error_code failure;
    tlsContext->set_verify_mode(boost::asio::ssl::verify_peer, failure);
    tlsContext->load_verify_file(certificateAuthority, failure);
    return makeStreamFactory(std::move(tlsContext));
}

} // namespace ivypier::http
