#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "http/incoming_head.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ivypier::http {

/// How far an exchange had come when it failed.
enum class exchange_stage {
    not_sent, ///< no byte of the request was written: the other side can't have seen it
    sent, ///< some of it was written, and no head of an answer came
    response_started, ///< the head came, the body did not end
};

struct exchange_failure
{
    exchange_stage stage = exchange_stage::not_sent;
    std::string reason;

    auto operator<=>(const exchange_failure &) const = default;
};

/// Receives one answer, piece by piece, on the loop's thread. onEnd() or onFailed() is the last call; either
/// may destroy the exchange.
class exchange_observer
{
public:
    virtual ~exchange_observer() = default;
    virtual void onHead(response_head head) = 0;
    virtual void onBody(std::string_view piece) = 0;
    virtual void onEnd() = 0;
    virtual void onFailed(const exchange_failure &failure) = 0;
};

/// One request and its answer. Destroying it before its end closes the connection, which tells the other side
/// to stop.
class outgoing_exchange
{
public:
    virtual ~outgoing_exchange() = default;

    /// Stops reading from the connection, so that the sender is slowed down.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

struct exchange_options
{
    duration connectTimeout = std::chrono::milliseconds(600); ///< longest wait for a connection
    std::size_t maxConnections = 64; ///< most maxConnections to this address, in use and idle together
    bool headOnly = false; ///< the request's method is HEAD
    bool useNewConnection = false; ///< never a kept connection, which the other side may just have closed
    /// False for an answer that belongs to another request, which is passed over.
    std::function<bool(const response_head &)> isMatchingResponse = {};
};

/// Sends requests on pooled maxConnections. Never sends one twice.
class exchange_transport
{
public:
    virtual ~exchange_transport() = default;

    /// Starts one exchange; `bytes` is the whole request, `observer` outlives the exchange. The observer is
    /// called from later tasks only.
    virtual std::unique_ptr<outgoing_exchange> start(const endpoint &to, std::string bytes,
                                                     exchange_options options, exchange_observer &observer)
        = 0;
};

} // namespace ivypier::http
