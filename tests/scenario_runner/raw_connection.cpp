#include "raw_connection.h"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ivypier::scenarios {

raw_connection::raw_connection(const endpoint &to)
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
    if (connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0)
        close();
}

raw_connection::~raw_connection()
{
    close();
}

bool raw_connection::send(const std::string &text, double seconds)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        if (!waitFor(POLLOUT, seconds))
            return false;
        const ssize_t count
            = ::send(m_socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string raw_connection::receive(double seconds, const std::string &until)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    std::string text;
    std::array<char, 4096> buffer{};
    while (until.empty() || text.find(until) == std::string::npos) {
        const std::chrono::duration<double> remaining = deadline - std::chrono::steady_clock::now();
        if (remaining.count() <= 0 || !waitFor(POLLIN, remaining.count()))
            break;
        const ssize_t count = recv(m_socket, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            break;
        text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
}

void raw_connection::close()
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

bool raw_connection::waitFor(short events, double seconds) const
{
    pollfd descriptor{m_socket, events, 0};
    return m_socket >= 0 && poll(&descriptor, 1, static_cast<int>(seconds * 1000)) > 0;
}

} // namespace ivypier::scenarios
