#pragma once

#include "base/clock.h"
#include "http/incoming_head.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ivypier::http {

/// A request whose body came whole.
struct incoming_request
{
    request_head head;
    std::string body;
    time_point receivedAt{}; ///< when its last byte was read
};

/// The answer to one request on one connection: send(), or begin(), any number of write() and finish(). Only
/// from tasks of the listener's loop. Dropping it unfinished closes the connection, so that an answer that
/// ends early never looks complete.
class reply
{
public:
    virtual ~reply() = default;

    /// Sends a whole answer. The fields must not hold a length or a transfer coding.
    virtual void send(int status, const field_list &fields, std::string_view body) = 0;

    /// Starts an answer whose body follows in pieces (chunked transfer coding).
    virtual void begin(int status, const field_list &fields) = 0;
    virtual void write(std::string_view piece) = 0;
    virtual void finish() = 0;

    /// Bytes that the peer's connection has not taken yet.
    virtual std::size_t unsentBytes() const = 0;

    /// Calls `observer` each time everything that was written has been taken.
    virtual void onSent(std::function<void()> observer) = 0;

    /// Calls `observer` once when the peer has gone before the answer ended.
    virtual void onClosed(std::function<void()> observer) = 0;
};

} // namespace ivypier::http
