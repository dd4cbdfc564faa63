#pragma once

// Blocking HTTP/1.1 over TCP for the stand-ins of this review: small, one thread a connection.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace trial {

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

inline sockaddr_in addressOf(const std::string &text)
{
    sockaddr_in result{};
    const std::size_t colon = text.find(':');
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

/// A connected socket with a buffer of what was read and not used yet.
class connection
{
public:
    explicit connection(int descriptor)
        : m_descriptor(descriptor)
    {
        const int on = 1;
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~connection()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
    }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    static std::unique_ptr<connection> open(const std::string &to, std::int64_t timeout)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (descriptor < 0)
            return nullptr;
        const sockaddr_in at = addressOf(to);
        const int begun = connect(descriptor, reinterpret_cast<const sockaddr *>(&at), sizeof(at));
        pollfd waiting{descriptor, POLLOUT, 0};
        int failure = begun == 0 ? 0 : errno;
        if (begun != 0 && failure == EINPROGRESS) {
            socklen_t size = sizeof(failure);
            if (poll(&waiting, 1, static_cast<int>(timeout)) != 1
                || getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size) != 0)
                failure = ETIMEDOUT;
        }
        if (failure != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_unique<connection>(descriptor);
    }

    bool write(const std::string &text)
    {
        std::size_t done = 0;
        while (done < text.size()) {
            const ssize_t sent
                = ::send(m_descriptor, text.data() + done, text.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent > 0) {
                done += static_cast<std::size_t>(sent);
                continue;
            }
            if (sent < 0 && errno != EAGAIN && errno != EINTR)
                return false;
            pollfd waiting{m_descriptor, POLLOUT, 0};
            if (poll(&waiting, 1, 20000) <= 0)
                return false;
        }
        return true;
    }

    /// Reads more bytes. Returns 1 when some came, 0 at the end of the connection, -1 after a failure, -2
    /// when nothing came by `deadline`.
    int fill(std::int64_t deadline)
    {
        pollfd waiting{m_descriptor, POLLIN, 0};
        const std::int64_t left = deadline - nowMs();
        const int ready = poll(&waiting, 1, static_cast<int>(left > 0 ? left : 0));
        if (ready == 0)
            return -2;
        char bytes[65536];
        const ssize_t got = recv(m_descriptor, bytes, sizeof(bytes), 0);
        if (got > 0)
            buffered.append(bytes, static_cast<std::size_t>(got));
        return got > 0 ? 1 : got == 0 ? 0 : -1;
    }

    /// Ends the connection with a reset.
    void reset()
    {
        const linger now{1, 0};
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        ::close(std::exchange(m_descriptor, -1));
    }

    /// Wakes whatever waits for this connection.
    void shutDown() const
    {
        ::shutdown(m_descriptor, SHUT_RDWR);
    }

    int descriptor() const
    {
        return m_descriptor;
    }

    std::string buffered;

private:
    int m_descriptor;
};

struct message
{
    std::string start; ///< the first line
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    int status() const
    {
        return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
    }
    std::string method() const
    {
        return start.substr(0, start.find(' '));
    }
    std::string target() const
    {
        const std::size_t from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
};

/// Takes the head of a message from the buffer of a connection. Returns false if it isn't whole.
inline bool takeHead(connection &from, message &into)
{
    const std::size_t end = from.buffered.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    const std::string head = from.buffered.substr(0, end + 2);
    from.buffered.erase(0, end + 4);
    std::size_t at = 0;
    bool isFirst = true;
    while (at < head.size()) {
        const std::size_t lineEnd = head.find("\r\n", at);
        const std::string line = head.substr(at, lineEnd - at);
        at = lineEnd + 2;
        if (std::exchange(isFirst, false)) {
            into.start = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        std::string name = line.substr(0, colon);
        for (char &each : name)
            each = static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        into.fields[name] = line.substr(value);
    }
    return true;
}

/// Reads a request whole. Returns false when the connection ended before.
inline bool readRequest(connection &from, message &into)
{
    constexpr std::int64_t idle = 60000;
    while (!takeHead(from, into)) {
        if (from.fill(nowMs() + idle) <= 0)
            return false;
    }
    const auto length = static_cast<std::size_t>(std::atoll(into.field("content-length").c_str()));
    while (from.buffered.size() < length) {
        if (from.fill(nowMs() + idle) <= 0)
            return false;
    }
    into.body = from.buffered.substr(0, length);
    from.buffered.erase(0, length);
    return true;
}

/// Takes the whole chunks from the buffer and appends their bytes to `body`. Returns true after the last one.
inline bool takeChunks(connection &from, std::string &body)
{
    while (true) {
        const std::size_t line = from.buffered.find("\r\n");
        if (line == std::string::npos)
            return false;
        const std::size_t size = std::strtoul(from.buffered.c_str(), nullptr, 16);
        if (from.buffered.size() < line + 2 + size + 2)
            return false;
        body.append(from.buffered, line + 2, size);
        from.buffered.erase(0, line + 2 + size + 2);
        if (size == 0)
            return true;
    }
}

/// A listener whose connections are each served by a thread.
class server
{
public:
    using handler = std::function<void(connection &)>;

    server(const std::string &at, handler serve)
        : m_serve(std::move(serve))
    {
        m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in to = addressOf(at);
        m_isOpen = bind(m_descriptor, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) == 0
            && listen(m_descriptor, 1024) == 0;
        m_thread = std::thread([this] { acceptAll(); });
    }
    ~server()
    {
        stop(true);
    }
    server(const server &) = delete;
    server &operator=(const server &) = delete;

    bool isOpen() const
    {
        return m_isOpen;
    }
    bool isStopped() const
    {
        return m_isStopped;
    }

    /// Closes the listener and all connections, as the end of the process does.
    void stop(bool withReset)
    {
        if (m_isStopped.exchange(true))
            return;
        ::shutdown(m_descriptor, SHUT_RDWR);
        ::close(m_descriptor);
        m_thread.join();
        {
            const std::lock_guard lock(m_mutex);
            for (connection *each : m_connections) {
                if (withReset) {
                    const linger now{1, 0};
                    setsockopt(each->descriptor(), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
                }
                each->shutDown();
            }
        }
        while (m_running > 0)
            sleepMs(1);
    }

private:
    void acceptAll()
    {
        while (!m_isStopped) {
            const int accepted = accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                if (m_isStopped)
                    return;
                sleepMs(1);
                continue;
            }
            ++m_running;
            std::thread([this, accepted] {
                {
                    connection served(accepted);
                    {
                        const std::lock_guard lock(m_mutex);
                        m_connections.insert(&served);
                    }
                    if (!m_isStopped)
                        m_serve(served);
                    const std::lock_guard lock(m_mutex);
                    m_connections.erase(&served);
                }
                --m_running;
            }).detach();
        }
    }

    handler m_serve;
    int m_descriptor = -1;
    std::thread m_thread;
    std::mutex m_mutex;
    std::set<connection *> m_connections;
    std::atomic<int> m_running{0};
    std::atomic<bool> m_isStopped{false};
    bool m_isOpen = false;
};

} // namespace trial
