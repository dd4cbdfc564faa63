#include "http/byte_stream.h"
#include "http/socket_options.h"

#include <boost/asio/write.hpp>

namespace ivypier::http {

namespace {

using tcp = boost::asio::ip::tcp;

class plain_stream final : public byte_stream
{
public:
    explicit plain_stream(boost::asio::io_context &context)
        : m_socket(context)
    {
    }

    void connect(const endpoint &to, completion_handler done) override
    {
        failure_code failure;
        const tcp::endpoint peer(boost::asio::ip::make_address(to.host, failure), to.port);
        m_socket.async_connect(peer, [this, done = std::move(done)](const failure_code &refused) {
            if (!refused)
                configure();
            done(refused);
        });
    }

    void accept(tcp::socket socket, completion_handler done) override
    {
        m_socket = std::move(socket);
        configure();
        boost::asio::post(m_socket.get_executor(), [done = std::move(done)] { done({}); });
    }

    void waitReadable(completion_handler done) override
    {
        m_socket.async_wait(tcp::socket::wait_read, std::move(done));
    }

    std::size_t readSome(char *to, std::size_t maxBytes, failure_code &failure) override
    {
        return m_socket.read_some(boost::asio::buffer(to, maxBytes), failure);
    }

    bool isEndInOrder() override
    {
        return !isConnectionClosed(m_socket);
    }

    void write(std::string_view bytes, write_handler done) override
    {
        boost::asio::async_write(m_socket, boost::asio::buffer(bytes), std::move(done));
    }

    void markIncomplete() override
    {
        setResetsOnClose(true);
    }

    void closeInOrder() override
    {
        setResetsOnClose(false);
        close();
    }

    void close() override
    {
        failure_code ignored;
        if (!m_resetsOnClose)
            m_socket.shutdown(tcp::socket::shutdown_both, ignored);
        m_socket.close(ignored);
    }

private:
    void configure()
    {
        configureSocket(m_socket);
        failure_code ignored;
        m_socket.non_blocking(true, ignored);
    }

    /// The operating system resets the connection as well when it closes the sockets of a process that ends.
    void setResetsOnClose(bool resets)
    {
        constexpr int immediately = 0;
        failure_code ignored;
        m_socket.set_option(boost::asio::socket_base::linger(resets, immediately), ignored);
        m_resetsOnClose = resets;
    }

    tcp::socket m_socket;
    bool m_resetsOnClose = false;
};

} // namespace

std::unique_ptr<byte_stream> makePlainStream(boost::asio::io_context &context)
{
    return std::make_unique<plain_stream>(context);
}

} // namespace ivypier::http
