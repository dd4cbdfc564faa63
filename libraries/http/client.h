#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/fault_switch.h"
#include "base/outcome.h"
#include "http/message.h"

#include <functional>
#include <memory>
#include <string>

namespace ivypier::http {

/// Whether a call may be sent again when it is unknown whether the server executed it. A repeatable call may
/// use a pooled connection, and is sent once more if that connection breaks before the response. A call that
/// is not repeatable always uses a new connection and is sent once.
enum class repeatability { repeatable, not_repeatable };

struct call_options
{
    duration timeout = std::chrono::seconds(30); ///< maximum time without data from the server
    repeatability callRepeatability = repeatability::repeatable;
    /// PEM file of the certificates to trust; enables TLS. Empty: the client's own setting applies.
    std::string certificateAuthority = {};

    auto operator<=>(const call_options &) const = default;
};

/// Receives a streamed response. The functions are called one at a time, on the thread of the background
/// loop.
class stream_observer
{
public:
    virtual ~stream_observer() = default;
    virtual void onBegin(int status, const header_map &headers) = 0;
    virtual void onData(std::string data) = 0;

    /// Called last if the response was received completely, as determined by its framing.
    virtual void onEnd() = 0;

    /// Called last if the call failed. `unavailable` means that no byte of the request was sent.
    virtual void onFailed(const error &failure) = 0;
};

/// A call in progress.
class exchange
{
public:
    virtual ~exchange() = default;

    /// Closes the connection. Afterwards the observer receives at most one onFailed() call.
    virtual void cancel() = 0;
};

/// An HTTP/1.1 client with pooled connections. Thread-safe; it runs on the background loop.
class client
{
public:
    using completion = std::function<void(outcome<response>)>;

    client();

    /// Creates a client that simulates the network faults that are set in `faults`.
    explicit client(std::shared_ptr<const fault_switch> faults);

    /// As above, with TLS that trusts the certificates of a PEM file. Empty: no TLS.
    client(std::shared_ptr<const fault_switch> faults, std::string certificateAuthority);

    ~client();

    /// Sends a request and collects the whole response. `done` is called once, on the background loop's
    /// thread.
    void send(const endpoint &to, request message, call_options options, completion done);

    /// Sends a request and passes the response to `observer` as it arrives.
    std::shared_ptr<exchange> stream(const endpoint &to, request message, call_options options,
                                     std::shared_ptr<stream_observer> observer);

private:
    struct state;

    std::shared_ptr<exchange> start(const endpoint &to, const request &message, call_options options,
                                    std::shared_ptr<stream_observer> observer);

    std::shared_ptr<state> m_state;
};

} // namespace ivypier::http
