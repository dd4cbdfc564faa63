#include "http/client.h"
#include "http/server.h"

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <future>
#include <thread>

namespace {

using namespace ivypier;
using boost::asio::ip::tcp;

/// A server that answers the first request on each connection and closes the connection on the second.
class breaking_server
{
public:
    breaking_server()
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_thread([this] { serve(); })
    {
    }

    ~breaking_server()
    {
        m_stopping = true;
        boost::system::error_code ignored;
        tcp::socket waker(m_context);
        waker.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }

    endpoint address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    /// Returns the number of requests received completely.
    int requestCount() const
    {
        return m_requestCount;
    }

private:
    void serve()
    {
        while (!m_stopping) {
            boost::system::error_code failure;
            tcp::socket connection(m_context);
            m_acceptor.accept(connection, failure);
            if (failure || m_stopping)
                return;
            if (!readRequest(connection))
                continue;
            constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            boost::asio::write(connection, boost::asio::buffer(answer), failure);
            readRequest(connection); // the connection is closed without a response
        }
    }

    bool readRequest(tcp::socket &connection)
    {
        boost::system::error_code failure;
        boost::asio::streambuf buffer;
        const std::size_t head = boost::asio::read_until(connection, buffer, "\r\n\r\n", failure);
        if (failure)
            return false;
        constexpr std::size_t body = 1;
        if (buffer.size() < head + body)
            boost::asio::read(connection, buffer, boost::asio::transfer_exactly(head + body - buffer.size()),
                              failure);
        if (failure)
            return false;
        ++m_requestCount;
        return true;
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::atomic<int> m_requestCount = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

outcome<http::response> post(http::client &client, const endpoint &to, http::repeatability callRepeatability)
{
    std::promise<outcome<http::response>> answered;
    client.send(to, {.method = "POST", .body = "x"}, {std::chrono::seconds(10), callRepeatability},
                [&](const outcome<http::response> &result) { answered.set_value(result); });
    return answered.get_future().get();
}

} // namespace

TEST_CASE("a call that is not repeatable is sent once, even if an earlier connection was closed",
          "[promise][promise-4]")
{
    breaking_server server;
    http::client client;
    for (int call = 1; call <= 3; ++call) {
        REQUIRE(post(client, server.address(), http::repeatability::not_repeatable));
        CHECK(server.requestCount() == call);
    }
}

TEST_CASE(
    "a repeatable call is retried once on a new connection if the reused one closes before the response")
{
    breaking_server server;
    http::client client;
    REQUIRE(post(client, server.address(), http::repeatability::repeatable));
    CHECK(post(client, server.address(), http::repeatability::repeatable));
    CHECK(server.requestCount() == 3);
}
