#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "http/message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace ivypier::http {

/// The fullResponse to one request, written once: either respond(), or begin(), any number of write() and
/// finish(). Safe to use from any thread. Dropping it unanswered sends 500.
class responder
{
public:
    virtual ~responder() = default;

    /// Sends a whole response.
    virtual void respond(response fullResponse) = 0;

    /// Starts a response whose body follows in pieces (chunked transfer coding).
    virtual void begin(int status, header_map headers) = 0;

    /// Sends a piece of the body.
    virtual void write(std::string piece) = 0;

    /// Ends the body.
    virtual void finish() = 0;

    /// False once the connection is known to be gone.
    virtual bool isOpen() const = 0;

    /// Calls `observer` once when the connection is found to be gone before the response ended; on any
    /// thread.
    virtual void onClosed(std::function<void()> observer) = 0;
};

using handler = std::function<void(request, std::shared_ptr<responder>)>;

/// Certificate chain and private key in PEM files.
struct tls_files
{
    std::string certificate;
    std::string privateKey;

    bool operator==(const tls_files &) const = default;
};

struct server_options
{
    endpoint address;
    std::size_t bodyLimit = std::size_t{4} * 1024 * 1024; ///< bytes; a longer body gets 413
    std::optional<tls_files> tls;

    bool operator==(const server_options &) const = default;
};

/// An HTTP/1.1 server that may be used from any thread; it runs on a loop of its own.
class server
{
public:
    /// Listens; `requests` is called on the loop's thread and must not block.
    static outcome<std::unique_ptr<server>> listen(server_options options, handler requests);

    ~server();

    /// Stops listening. Requests that run keep their responders. Not to be called from the loop's thread.
    void close();

private:
    struct state;
    explicit server(std::unique_ptr<state> initial);
    std::unique_ptr<state> m_state;
};

} // namespace ivypier::http
