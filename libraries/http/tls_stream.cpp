#include "http/tls_stream.h"

#include "http/socket_options.h"

#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace ivypier::http {

namespace {

using tcp = boost::asio::ip::tcp;
using tls_context = boost::asio::ssl::context;

constexpr std::size_t read_size = std::size_t{16} * 1024;

class tls_stream final : public byte_stream
{
public:
    tls_stream(boost::asio::io_context &context, std::shared_ptr<tls_context> settings)
        : m_settings(std::move(settings))
        , m_state(std::make_shared<state>(context, *m_settings))
    {
    }

    void connect(const endpoint &to, waited done) override
    {
        failure_code failure;
        const tcp::endpoint peer(boost::asio::ip::make_address(to.host, failure), to.port);
        m_state->stream.next_layer().async_connect(
            peer, [state = m_state, done = std::move(done)](const failure_code &refused) {
                if (refused) {
                    done(refused);
                    return;
                }
                prepareSocket(state->stream.next_layer());
                state->stream.async_handshake(boost::asio::ssl::stream_base::client,
                                              [state, done](const failure_code &failed) { done(failed); });
            });
    }

    void accept(tcp::socket socket, waited done) override
    {
        m_state->stream.next_layer() = std::move(socket);
        prepareSocket(m_state->stream.next_layer());
        m_state->stream.async_handshake(
            boost::asio::ssl::stream_base::server,
            [state = m_state, done = std::move(done)](const failure_code &failed) { done(failed); });
    }

    void waitReadable(waited done) override
    {
        // Bytes that the encryption has taken in already are not seen at the socket: they are read here.
        m_state->stream.async_read_some(
            boost::asio::buffer(m_state->buffer),
            [state = m_state, done = std::move(done)](const failure_code &failed, std::size_t size) {
                state->first = 0;
                state->last = size;
                done(failed);
            });
    }

    std::size_t readSome(char *to, std::size_t most, failure_code &failure) override
    {
        const std::size_t size = std::min(most, m_state->last - m_state->first);
        if (size == 0) {
            failure = boost::asio::error::would_block;
            return 0;
        }
        std::copy_n(m_state->buffer.data() + m_state->first, size, to);
        m_state->first += size;
        return size;
    }

    void write(std::string_view bytes, written done) override
    {
        boost::asio::async_write(m_state->stream, boost::asio::buffer(bytes),
                                 [state = m_state, done = std::move(done)](
                                     const failure_code &failed, std::size_t size) { done(failed, size); });
    }

    void close() override
    {
        // No closing handshake: an answer's framing says whether it is whole.
        failure_code ignored;
        m_state->stream.next_layer().shutdown(tcp::socket::shutdown_both, ignored);
        m_state->stream.next_layer().close(ignored);
    }

private:
    /// Outlives the stream while the library works on it.
    struct state
    {
        state(boost::asio::io_context &context, tls_context &settings)
            : stream(context, settings)
        {
        }

        boost::asio::ssl::stream<tcp::socket> stream;
        std::array<char, read_size> buffer{};
        std::size_t first = 0; ///< of the bytes in the buffer that were not taken yet
        std::size_t last = 0;
    };

    std::shared_ptr<tls_context> m_settings;
    std::shared_ptr<state> m_state;
};

stream_factory factoryWith(std::shared_ptr<tls_context> settings)
{
    return [settings = std::move(settings)](boost::asio::io_context &context) {
        return std::unique_ptr<byte_stream>(std::make_unique<tls_stream>(context, settings));
    };
}

} // namespace

outcome<stream_factory> makeTlsServerStreams(const tls_files &files)
{
    auto settings = std::make_shared<tls_context>(tls_context::tls_server);
    boost::system::error_code failure;
    settings->set_options(tls_context::default_workarounds | tls_context::no_sslv2 | tls_context::no_sslv3
                              | tls_context::no_tlsv1 | tls_context::no_tlsv1_1,
                          failure);
    if (!failure)
        settings->use_certificate_chain_file(files.certificate, failure);
    if (!failure)
        settings->use_private_key_file(files.privateKey, tls_context::pem, failure);
    if (failure)
        return error{error_code::unavailable, "can't use the certificate: " + failure.message()};
    return factoryWith(std::move(settings));
}

stream_factory makeTlsClientStreams(const std::string &certificateAuthority)
{
    auto settings = std::make_shared<tls_context>(tls_context::tls_client);
    boost::system::error_code failure;
    settings->set_verify_mode(boost::asio::ssl::verify_peer, failure);
    settings->load_verify_file(certificateAuthority, failure);
    return factoryWith(std::move(settings));
}

} // namespace ivypier::http
