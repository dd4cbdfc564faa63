#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "http/incoming_head.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ivypier::http {

/// The progress of an exchange at the time of its failure.
enum class exchange_stage {
    not_sent, ///< no byte of the request was written, so the server can't have received it
    sent, ///< the request may have been written, at least in part; no response head was received
    response_started, ///< the response head was received, but not the whole body
};

struct exchange_failure
{
    exchange_stage stage = exchange_stage::not_sent;
    std::string reason;
    /// The limit of connections to the server was reached, which tells nothing about the server.
    bool isConnectionLimit = false;
    /// No connection to the server could be opened.
    bool isUnconnected = false;

    auto operator<=>(const exchange_failure &) const = default;
};

/// Receives one response as it arrives, on the loop's thread. Either onEnd() or onFailed() is called last,
/// and may destroy the exchange.
class exchange_observer
{
public:
    virtual ~exchange_observer() = default;
    virtual void onHead(response_head head) = 0;
    virtual void onBody(std::string_view data) = 0;
    virtual void onEnd() = 0;
    virtual void onFailed(const exchange_failure &failure) = 0;
};

/// One request and its response. Destroying it before it completes closes the connection, so that the server
/// can stop processing the request.
class outgoing_exchange
{
public:
    virtual ~outgoing_exchange() = default;

    /// Stops reading from the connection, so that TCP flow control slows down the sender.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

struct exchange_options
{
    duration connectTimeout = std::chrono::milliseconds(600); ///< maximum time to establish a connection
    std::size_t maxConnections = 64; ///< maximum number of connections to this address, idle ones included
    bool isHeadRequest = false; ///< the request's method is HEAD
    bool useNewConnection = false; ///< don't reuse a connection, since the server may just have closed it
    std::string callId; ///< of the call that the request carries, for a transport that needs it; may be empty
    /// Returns false for a response that belongs to another request; such a response is skipped. May be
    /// empty.
    std::function<bool(const response_head &)> isMatchingResponse = {};
};

/// Sends requests over pooled connections. Never sends a request twice.
class exchange_transport
{
public:
    virtual ~exchange_transport() = default;

    /// Starts an exchange. `bytes` is the complete encoded request. `observer` must outlive the exchange, and
    /// is never called from within start().
    virtual std::unique_ptr<outgoing_exchange> start(const endpoint &to, std::string bytes,
                                                     exchange_options options, exchange_observer &observer)
        = 0;
};

} // namespace ivypier::http
