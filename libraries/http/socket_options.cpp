#include "http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace ivypier::http {

namespace {

constexpr int user_timeout_milliseconds = 3000;
constexpr int probe_idle_seconds = 2;
constexpr int probe_interval_seconds = 1;
constexpr int probe_count = 2;

void setOption(int socket, int level, int option, int value)
{
    // Errors are ignored: not every network stack supports every option, and the connection works without
    // them.
    static_cast<void>(setsockopt(socket, level, option, &value, sizeof(value)));
}

} // namespace

void configureSocket(boost::asio::ip::tcp::socket &socket)
{
    const int descriptor = socket.native_handle();
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_milliseconds);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probe_idle_seconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_seconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probe_count);
}

bool isConnectionClosed(boost::asio::ip::tcp::socket &socket)
{
    tcp_info state{};
    socklen_t size = sizeof(state);
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &state, &size) != 0)
        return true;
    return state.tcpi_state == TCP_CLOSE;
}

} // namespace ivypier::http
