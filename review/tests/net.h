#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// Seconds on the steady clock since the program started.
double secondsNow();
void sleepSeconds(double seconds);
/// Waits until `condition` holds. Returns whether it did within `seconds`.
bool waitFor(double seconds, const std::function<bool()> &condition);

/// An HTTP/1.1 message without its framing.
struct http_message
{
    std::string first; ///< request line or status line
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(std::string_view name) const;
    std::string method() const;
    std::string target() const;
    /// Status of a response; 0 if there is none.
    int status() const;
    /// Value of a parameter of the target's query.
    std::string parameter(const std::string &name) const;
};

/// A TCP connection with blocking calls.
class connection
{
public:
    explicit connection(int descriptor);
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /// Returns null if there is no connection within `seconds`.
    static std::shared_ptr<connection> open(const std::string &host, int port, double seconds = 1.0);

    bool send(std::string_view bytes);
    /// Reads a head, without the body. Returns false if the connection ended or the time passed.
    bool readHead(http_message &to, double until);
    /// Reads a whole message. `isHead` says that a response has no body.
    bool readMessage(http_message &to, double until);
    /// Reads one chunk of a chunked body; an empty text is the last one.
    bool readChunk(std::string &to, double until);
    /// Ends the connection; calls of other threads return.
    void shutDown();
    bool isEnded() const;

private:
    bool fill(double until);
    bool readLine(std::string &to, double until);
    bool readBytes(std::size_t count, std::string &to, double until);

    int m_descriptor;
    std::string m_buffer;
    std::atomic<bool> m_ended = false;
};

/// Answers requests on an address, with a thread for each connection.
class http_server
{
public:
    using handler = std::function<void(const http_message &, connection &)>;

    ~http_server();
    /// Returns false if the address can't be used.
    bool start(const std::string &host, int port, handler onRequest);
    /// Ends the listener and all connections, as the end of a process does.
    void stop();

private:
    void accept();
    void serve(const std::shared_ptr<connection> &peer);

    int m_listener = -1;
    handler m_onRequest;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<std::shared_ptr<connection>> m_connections;
    std::atomic<int> m_running = 0;
    std::atomic<bool> m_stopped = false;
};

/// Returns the text of a response with a length.
std::string responseText(int status, const std::vector<std::pair<std::string, std::string>> &fields,
                         const std::string &body);

/// Sends a request on a connection of its own and reads the response.
http_message ask(const std::string &host, int port, const std::string &method, const std::string &target,
                 const std::vector<std::pair<std::string, std::string>> &fields, const std::string &body,
                 double seconds);

} // namespace review
