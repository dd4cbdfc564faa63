#include "net.h"

#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>

namespace review {

namespace {

const auto program_start = std::chrono::steady_clock::now();
constexpr double accept_poll_seconds = 0.1;

sockaddr_in addressOf(const std::string &host, int port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &result.sin_addr);
    return result;
}

bool waitReady(int descriptor, short events, double seconds)
{
    pollfd waited{descriptor, events, 0};
    const int milliseconds = static_cast<int>(std::max(0.0, seconds) * 1000.0) + 1;
    return poll(&waited, 1, milliseconds) > 0;
}

bool equalNames(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char one, char other) {
        return std::tolower(static_cast<unsigned char>(one))
            == std::tolower(static_cast<unsigned char>(other));
    });
}

} // namespace

double secondsNow()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - program_start).count();
}

void sleepSeconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

bool waitFor(double seconds, const std::function<bool()> &condition)
{
    const double end = secondsNow() + seconds;
    while (secondsNow() < end) {
        if (condition())
            return true;
        sleepSeconds(0.02);
    }
    return condition();
}

std::string http_message::field(std::string_view name) const
{
    for (const auto &[each, value] : fields) {
        if (equalNames(each, name))
            return value;
    }
    return {};
}

std::string http_message::method() const
{
    return first.substr(0, first.find(' '));
}

std::string http_message::target() const
{
    const std::size_t from = first.find(' ') + 1;
    return first.substr(from, first.find(' ', from) - from);
}

int http_message::status() const
{
    return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
}

std::string http_message::parameter(const std::string &name) const
{
    const std::string text = target();
    const std::size_t query = text.find('?');
    if (query == std::string::npos)
        return {};
    std::string rest = text.substr(query + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string each = rest.substr(0, end);
        rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
        if (!each.starts_with(name + "="))
            continue;
        std::string value;
        for (std::size_t at = name.size() + 1; at < each.size(); ++at) {
            if (each[at] == '%' && at + 2 < each.size()) {
                value += static_cast<char>(std::stoi(each.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else {
                value += each[at];
            }
        }
        return value;
    }
    return {};
}

connection::connection(int descriptor)
    : m_descriptor(descriptor)
{
    const int on = 1;
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

connection::~connection()
{
    close(m_descriptor);
}

std::shared_ptr<connection> connection::open(const std::string &host, int port, double seconds)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in to = addressOf(host, port);
    const int started = connect(descriptor, reinterpret_cast<const sockaddr *>(&to), sizeof(to));
    int failure = 0;
    socklen_t size = sizeof(failure);
    const bool isConnected = started == 0
        || (errno == EINPROGRESS && waitReady(descriptor, POLLOUT, seconds)
            && getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size) == 0 && failure == 0);
    if (!isConnected) {
        close(descriptor);
        return nullptr;
    }
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return std::make_shared<connection>(descriptor);
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            m_ended = true;
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool connection::fill(double until)
{
    if (!waitReady(m_descriptor, POLLIN, until - secondsNow()))
        return false;
    char bytes[65536];
    const ssize_t received = recv(m_descriptor, bytes, sizeof(bytes), 0);
    if (received <= 0) {
        m_ended = true;
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(received));
    return true;
}

bool connection::readLine(std::string &to, double until)
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!fill(until))
            return false;
    }
    to = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
}

bool connection::readBytes(std::size_t count, std::string &to, double until)
{
    while (m_buffer.size() < count) {
        if (!fill(until))
            return false;
    }
    to = m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return true;
}

bool connection::readHead(http_message &to, double until)
{
    if (!readLine(to.first, until))
        return false;
    std::string line;
    while (readLine(line, until)) {
        if (line.empty())
            return true;
        const std::size_t colon = line.find(':');
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        to.fields.emplace_back(line.substr(0, colon),
                               value == std::string::npos ? std::string() : line.substr(value));
    }
    return false;
}

bool connection::readMessage(http_message &to, double until)
{
    if (!readHead(to, until))
        return false;
    if (equalNames(to.field("Transfer-Encoding"), "chunked")) {
        std::string chunk;
        while (readChunk(chunk, until)) {
            if (chunk.empty())
                return true;
            to.body += chunk;
        }
        return false;
    }
    const std::string length = to.field("Content-Length");
    return length.empty() || readBytes(std::strtoul(length.c_str(), nullptr, 10), to.body, until);
}

bool connection::readChunk(std::string &to, double until)
{
    std::string line;
    if (!readLine(line, until))
        return false;
    const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    return readBytes(size, to, until) && readLine(line, until);
}

void connection::shutDown()
{
    m_ended = true;
    shutdown(m_descriptor, SHUT_RDWR);
}

bool connection::isEnded() const
{
    if (m_ended)
        return true;
    char byte = 0;
    const ssize_t received = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

http_server::~http_server()
{
    stop();
}

bool http_server::start(const std::string &host, int port, handler onRequest)
{
    m_onRequest = std::move(onRequest);
    m_stopped = false;
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in at = addressOf(host, port);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) != 0
        || listen(m_listener, 512) != 0) {
        close(m_listener);
        m_listener = -1;
        return false;
    }
    m_acceptor = std::thread([this] { accept(); });
    return true;
}

void http_server::accept()
{
    while (!m_stopped) {
        if (!waitReady(m_listener, POLLIN, accept_poll_seconds))
            continue;
        const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const auto peer = std::make_shared<connection>(descriptor);
        const std::lock_guard lock(m_mutex);
        m_connections.insert(peer);
        ++m_running;
        std::thread([this, peer] { serve(peer); }).detach();
    }
}

void http_server::serve(const std::shared_ptr<connection> &peer)
{
    constexpr double idleSeconds = 60.0;
    while (!m_stopped) {
        http_message request;
        if (!peer->readMessage(request, secondsNow() + idleSeconds))
            break;
        m_onRequest(request, *peer);
        if (peer->isEnded())
            break;
    }
    peer->shutDown();
    {
        const std::lock_guard lock(m_mutex);
        m_connections.erase(peer);
    }
    --m_running;
}

void http_server::stop()
{
    if (m_listener < 0)
        return;
    m_stopped = true;
    m_acceptor.join();
    close(m_listener);
    m_listener = -1;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &each : m_connections)
            each->shutDown();
    }
    while (m_running > 0)
        sleepSeconds(0.005);
}

std::string responseText(int status, const std::vector<std::pair<std::string, std::string>> &fields,
                         const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : fields)
        text.append(name).append(": ").append(value).append("\r\n");
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

http_message ask(const std::string &host, int port, const std::string &method, const std::string &target,
                 const std::vector<std::pair<std::string, std::string>> &fields, const std::string &body,
                 double seconds)
{
    http_message answer;
    const double until = secondsNow() + seconds;
    const auto peer = connection::open(host, port);
    if (!peer)
        return answer;
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : fields)
        text.append(name).append(": ").append(value).append("\r\n");
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (!peer->send(text) || !peer->readMessage(answer, until))
        return {};
    return answer;
}

} // namespace review
