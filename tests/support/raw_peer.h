#pragma once

#include "base/endpoint.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <utility>

namespace ivypier {

/// A blocking TCP socket for sending bytes that no HTTP library would send. Reads time out after 20 s.
class raw_peer
{
public:
    static raw_peer connectTo(const endpoint &to)
    {
        raw_peer peer(socket(AF_INET, SOCK_STREAM, 0));
        const sockaddr_in address = resolve(to);
        if (connect(peer.m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0)
            peer.close();
        return peer;
    }

    static raw_peer listenOn(const endpoint &at)
    {
        raw_peer peer(socket(AF_INET, SOCK_STREAM, 0));
        const int enable = 1;
        setsockopt(peer.m_socket, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
        const sockaddr_in address = resolve(at);
        if (bind(peer.m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
            || listen(peer.m_socket, 64) != 0)
            peer.close();
        return peer;
    }

    raw_peer(raw_peer &&other) noexcept
        : m_socket(std::exchange(other.m_socket, -1))
    {
    }
    raw_peer &operator=(raw_peer &&other) noexcept
    {
        std::swap(m_socket, other.m_socket);
        return *this;
    }
    ~raw_peer()
    {
        close();
    }

    raw_peer accept()
    {
        return raw_peer(::accept(m_socket, nullptr, nullptr));
    }

    bool isOpen() const
    {
        return m_socket >= 0;
    }

    void send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
    }

    /// Sends `piece` again and again until the peer closes the connection or about `total` bytes were sent.
    /// Returns the number of bytes sent.
    std::size_t sendUntilClosed(std::string_view piece, std::size_t total)
    {
        std::size_t count = 0;
        while (count < total) {
            const ssize_t sent = ::send(m_socket, piece.data(), piece.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return count;
            count += static_cast<std::size_t>(sent);
        }
        return count;
    }

    /// Reads until the received text ends with `terminator`, the peer closes the connection or the read times
    /// out. Returns what was received.
    std::string readUntil(std::string_view terminator)
    {
        std::string text;
        char byte = 0;
        while (!text.ends_with(terminator) && recv(m_socket, &byte, 1, 0) == 1)
            text += byte;
        return text;
    }

    /// Reads and discards this many bytes.
    void receive(std::size_t bytes)
    {
        std::string buffer(std::size_t{64} * 1024, '\0');
        while (bytes > 0) {
            const ssize_t received = recv(m_socket, buffer.data(), std::min(bytes, buffer.size()), 0);
            if (received <= 0)
                return;
            bytes -= static_cast<std::size_t>(received);
        }
    }

    std::string readAll()
    {
        std::string text;
        char byte = 0;
        ssize_t received = 0;
        while ((received = recv(m_socket, &byte, 1, 0)) == 1)
            text += byte;
        m_wasReset = received < 0 && errno == ECONNRESET;
        return text;
    }

    /// Returns whether readAll() ended with a reset of the connection.
    bool wasReset() const
    {
        return m_wasReset;
    }

    /// Sets the size of the receive buffers of connections that are accepted from now on.
    void setReceiveBuffer(int bytes)
    {
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    }

    /// Ends the sending direction. The peer reads the end of the stream, and may go on sending.
    void endSending()
    {
        shutdown(m_socket, SHUT_WR);
    }

    /// Closes the connection with a reset.
    void reset()
    {
        const linger immediately{1, 0};
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
        close();
    }

    void close()
    {
        if (m_socket >= 0)
            ::close(std::exchange(m_socket, -1));
    }

private:
    explicit raw_peer(int socket)
        : m_socket(socket)
    {
        const timeval limit{20, 0};
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    }

    static sockaddr_in resolve(const endpoint &address)
    {
        sockaddr_in result{};
        result.sin_family = AF_INET;
        result.sin_port = htons(address.port);
        inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
        return result;
    }

    int m_socket = -1;
    bool m_wasReset = false;
};

} // namespace ivypier
