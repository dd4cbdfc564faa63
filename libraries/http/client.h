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

/// Whether a call may run again when it is not known whether it ran. A repeatable one is sent once more when
/// the kept connection it was sent on breaks before its answer; one that is not gets a new connection.
enum class repeatability { repeatable, not_repeatable };

struct call_options
{
    duration timeout = std::chrono::seconds(30); ///< longest silence of the other side
    repeatability repeat = repeatability::repeatable;
    /// Speak TLS and trust the certificates of this PEM file; empty: as the client does.
    std::string certificateAuthority = {};

    auto operator<=>(const call_options &) const = default;
};

/// Receives a streamed response. Calls come one after another, on the thread of the HTTP loop.
class stream_observer
{
public:
    virtual ~stream_observer() = default;
    virtual void onBegin(int status, const header_map &headers) = 0;
    virtual void onData(std::string piece) = 0;

    /// The body ended as its framing says. The last call.
    virtual void onEnd() = 0;

    /// The call failed; `unavailable` means that no byte of it was sent. The last call.
    virtual void onFailed(const error &failure) = 0;
};

/// A call that runs.
class exchange
{
public:
    virtual ~exchange() = default;

    /// Breaks the connection; the observer hears of nothing after this but at most one onFailed.
    virtual void cancel() = 0;
};

/// An HTTP/1.1 client with pooled connections. Safe to use from any thread; it runs on a loop of its own.
class client
{
public:
    using completion = std::function<void(outcome<response>)>;

    client();

    /// A client whose links follow a fault switch.
    explicit client(std::shared_ptr<const fault_switch> faults);

    /// The same, speaking TLS and trusting the certificates of a PEM file; empty: no TLS.
    client(std::shared_ptr<const fault_switch> faults, std::string certificateAuthority);

    ~client();

    /// Sends a request and reads the whole response; `done` is called once, on the loop's thread.
    void send(const endpoint &to, request message, call_options options, completion done);

    /// Sends a request and hands over the response piece by piece.
    std::shared_ptr<exchange> stream(const endpoint &to, request message, call_options options,
                                     std::shared_ptr<stream_observer> observer);

private:
    struct state;

    std::shared_ptr<exchange> start(const endpoint &to, const request &message, call_options options,
                                    std::shared_ptr<stream_observer> observer);

    std::shared_ptr<state> m_state;
};

} // namespace ivypier::http
