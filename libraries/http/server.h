#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "http/message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace ivypier::http {

/// Writes the response to one request: either respond(), or begin(), any number of write() calls, and
/// finish(). Thread-safe. Destroying it without a response sends status 500.
class responder
{
public:
    virtual ~responder() = default;

    /// Sends a complete response.
    virtual void respond(response fullResponse) = 0;

    /// Starts a response whose body is sent with the chunked transfer coding.
    virtual void begin(int status, header_map headers) = 0;

    /// Sends a part of the body.
    virtual void write(std::string data) = 0;

    /// Ends the body.
    virtual void finish() = 0;

    /// Returns false once the connection is known to be closed.
    virtual bool isOpen() const = 0;

    /// Calls `observer` once if the connection is closed before the response is finished. The call may come
    /// from any thread, and from within onClosed() if the connection is closed already.
    virtual void onClosed(std::function<void()> observer) = 0;
};

using handler = std::function<void(request, std::shared_ptr<responder>)>;

/// Paths of the PEM files with the certificate chain and the private key.
struct tls_files
{
    std::string certificate;
    std::string privateKey;

    bool operator==(const tls_files &) const = default;
};

struct server_options
{
    endpoint address;
    std::size_t bodyLimit = std::size_t{4} * 1024 * 1024; ///< bytes; a longer body gets status 413
    std::optional<tls_files> tls;

    bool operator==(const server_options &) const = default;
};

/// A thread-safe HTTP/1.1 server; it runs on the background loop.
class server
{
public:
    /// Starts listening. `requests` is called on the background loop's thread and must not block.
    static outcome<std::unique_ptr<server>> listen(server_options options, handler requests);

    ~server();

    /// Stops listening and closes idle connections. Responders of requests in progress stay valid. Must not
    /// be called from the background loop's thread, where it would deadlock.
    void close();

private:
    struct state;
    explicit server(std::unique_ptr<state> initial);
    std::unique_ptr<state> m_state;
};

} // namespace ivypier::http
