#pragma once

// Small HTTP/1.1 stand-ins on loopback addresses, with one thread for each connection.

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

using steady = std::chrono::steady_clock;

inline std::int64_t millisecondsSince(steady::time_point start)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - start).count();
}

inline void sleepMilliseconds(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

/// Writes what was sent, answered and run to record.txt and to standard output.
class record_file
{
public:
    explicit record_file(const std::string &path)
        : m_file(path)
    {
    }

    void write(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.3f s  ",
                      static_cast<double>(millisecondsSince(m_start)) / 1000.0);
        m_file << time << text << '\n' << std::flush;
    }

    void say(const std::string &text)
    {
        write(text);
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_start = steady::now();
};

using header_list = std::vector<std::pair<std::string, std::string>>;

inline bool sameName(const std::string &left, const std::string &right)
{
    return strcasecmp(left.c_str(), right.c_str()) == 0;
}

struct http_message
{
    std::string startLine;
    header_list headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[each, value] : headers) {
            if (sameName(each, name))
                return value;
        }
        return {};
    }
    std::string method() const
    {
        return startLine.substr(0, startLine.find(' '));
    }
    std::string target() const
    {
        const std::size_t begin = startLine.find(' ') + 1;
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
    std::string path() const
    {
        return target().substr(0, target().find('?'));
    }
    int status() const
    {
        return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0;
    }
    std::string parameter(const std::string &name) const
    {
        const std::string all = target();
        std::size_t at = all.find('?');
        while (at != std::string::npos) {
            const std::size_t end = all.find('&', at + 1);
            const std::string each = all.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (each.rfind(name + "=", 0) == 0)
                return decoded(each.substr(name.size() + 1));
            at = end;
        }
        return {};
    }

    static std::string decoded(const std::string &text)
    {
        std::string result;
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '%' && at + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else {
                result += text[at];
            }
        }
        return result;
    }
};

/// A TCP connection with a read buffer. Reads end early after close() from another thread.
class connection
{
public:
    explicit connection(int socket)
        : m_socket(socket)
    {
        const int on = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~connection()
    {
        ::close(m_socket);
    }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    static std::shared_ptr<connection> open(const std::string &host, int port)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
            ::close(socket);
            return nullptr;
        }
        return std::make_shared<connection>(socket);
    }

    bool send(const std::string &bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads some bytes into the buffer. Returns false at the end, after a reset or after `timeout`.
    bool readMore(std::int64_t timeoutMilliseconds = 120'000)
    {
        pollfd waited{m_socket, POLLIN, 0};
        if (::poll(&waited, 1, static_cast<int>(std::max<std::int64_t>(timeoutMilliseconds, 0))) <= 0) {
            m_hasTimedOut = true;
            return false;
        }
        char bytes[16384];
        const ssize_t count = ::recv(m_socket, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            m_wasReset = count < 0;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    std::optional<std::string> readLine(std::int64_t timeoutMilliseconds = 120'000)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find('\n')) == std::string::npos) {
            if (!readMore(timeoutMilliseconds))
                return std::nullopt;
        }
        std::string line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 1);
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        return line;
    }

    std::optional<std::string> readBytes(std::size_t count, std::int64_t timeoutMilliseconds = 120'000)
    {
        while (m_buffer.size() < count) {
            if (!readMore(timeoutMilliseconds))
                return std::nullopt;
        }
        std::string bytes = m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return bytes;
    }

    std::optional<http_message> readHead(std::int64_t timeoutMilliseconds = 120'000)
    {
        const auto start = readLine(timeoutMilliseconds);
        if (!start)
            return std::nullopt;
        http_message result{*start, {}, {}};
        while (true) {
            const auto line = readLine(timeoutMilliseconds);
            if (!line)
                return std::nullopt;
            if (line->empty())
                return result;
            const std::size_t colon = line->find(':');
            std::size_t value = colon + 1;
            while (value < line->size() && (*line)[value] == ' ')
                ++value;
            result.headers.emplace_back(line->substr(0, colon), line->substr(value));
        }
    }

    /// Reads a message with a length or in chunks.
    std::optional<http_message> readMessage(std::int64_t timeoutMilliseconds = 120'000)
    {
        auto result = readHead(timeoutMilliseconds);
        if (!result)
            return std::nullopt;
        if (sameName(result->header("Transfer-Encoding"), "chunked")) {
            while (true) {
                const auto chunk = readChunk(timeoutMilliseconds);
                if (!chunk)
                    return std::nullopt;
                if (chunk->empty())
                    return result;
                result->body += *chunk;
            }
        }
        const std::string length = result->header("Content-Length");
        if (length.empty())
            return result;
        const auto body = readBytes(std::stoul(length), timeoutMilliseconds);
        if (!body)
            return std::nullopt;
        result->body = *body;
        return result;
    }

    /// Reads one chunk of a chunked body; the last one is empty.
    std::optional<std::string> readChunk(std::int64_t timeoutMilliseconds = 120'000)
    {
        const auto size = readLine(timeoutMilliseconds);
        if (!size || size->empty())
            return std::nullopt;
        const auto bytes = readBytes(std::stoul(*size, nullptr, 16) + 2, timeoutMilliseconds);
        if (!bytes)
            return std::nullopt;
        return bytes->substr(0, bytes->size() - 2);
    }

    bool isClosedByPeer() const
    {
        pollfd waited{m_socket, POLLIN, 0};
        if (::poll(&waited, 1, 0) <= 0)
            return false;
        char byte = 0;
        return ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
    }

    void close() const
    {
        ::shutdown(m_socket, SHUT_RDWR);
    }

    /// Has the connection reset when it is closed.
    void reset() const
    {
        const linger immediately{1, 0};
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    }

    bool hasTimedOut() const
    {
        return m_hasTimedOut;
    }
    int socket() const
    {
        return m_socket;
    }

private:
    int m_socket;
    std::string m_buffer;
    bool m_hasTimedOut = false;
    bool m_wasReset = false;
};

/// Serves requests on one address, until it is stopped.
class http_server
{
public:
    /// Answers one request. Returns false to close the connection.
    using handler = std::function<bool(const http_message &request, connection &to)>;

    http_server(std::string host, int port, handler answer)
        : m_host(std::move(host))
        , m_port(port)
        , m_answer(std::move(answer))
    {
        start();
    }
    ~http_server()
    {
        stop();
    }
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    bool start()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(m_port));
        inet_pton(AF_INET, m_host.c_str(), &address.sin_addr);
        if (::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
            || ::listen(m_listener, 512) != 0) {
            std::perror(("listen " + m_host + ":" + std::to_string(m_port)).c_str());
            std::exit(2);
        }
        m_isOpen = true;
        m_accepting = std::thread([this] { acceptAll(); });
        return true;
    }

    /// Closes the listener and resets all connections, as the end of the process does.
    void stop()
    {
        if (!m_isOpen.exchange(false))
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        m_accepting.join();
        ::close(m_listener);
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &each : m_connections) {
                each->reset();
                each->close();
            }
        }
        while (m_running > 0)
            sleepMilliseconds(1);
    }

    /// Does what the end of the process and its next start do: closes the listener, resets all connections,
    /// and listens again after a time.
    void restart(std::int64_t gapMilliseconds)
    {
        m_isOpen = false;
        ::shutdown(m_listener, SHUT_RDWR);
        m_accepting.join();
        ::close(m_listener);
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &each : m_connections) {
                each->reset();
                each->close();
            }
        }
        sleepMilliseconds(gapMilliseconds);
        start();
    }

private:
    void acceptAll()
    {
        while (m_isOpen) {
            const int accepted = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const auto to = std::make_shared<connection>(accepted);
            const std::lock_guard lock(m_mutex);
            m_connections.insert(to);
            ++m_running;
            std::thread([this, to] { serve(to); }).detach();
        }
    }

    void serve(const std::shared_ptr<connection> &to)
    {
        while (m_isOpen) {
            const auto request = to->readMessage();
            if (!request || !m_isOpen || !m_answer(*request, *to))
                break;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_connections.erase(to);
        }
        to->close();
        --m_running;
    }

    std::string m_host;
    int m_port;
    handler m_answer;
    int m_listener = -1;
    std::atomic<bool> m_isOpen{false};
    std::atomic<int> m_running{0};
    std::thread m_accepting;
    std::mutex m_mutex;
    std::set<std::shared_ptr<connection>> m_connections;
};

inline std::string encodeMessage(const std::string &startLine, const header_list &headers,
                                 const std::string &body)
{
    std::string text = startLine + "\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
