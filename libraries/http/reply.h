#pragma once

#include "base/clock.h"
#include "http/incoming_head.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ivypier::http {

/// A completely received request.
struct incoming_request
{
    request_head head;
    std::string body;
    time_point receivedAt{}; ///< when the last byte was read
};

/// Writes the response to one request: either send(), or begin(), any number of write() calls, and finish().
/// Used only on the listener's loop. Destroying it before the response is finished closes the connection, so
/// that a truncated response never looks complete.
class reply
{
public:
    virtual ~reply() = default;

    /// Sends a complete response. `fields` must not contain Content-Length or Transfer-Encoding.
    virtual void send(int status, const field_list &fields, std::string_view body) = 0;

    /// Starts a response whose body is sent with the chunked transfer coding.
    virtual void begin(int status, const field_list &fields) = 0;
    virtual void write(std::string_view data) = 0;
    virtual void finish() = 0;

    /// Returns the number of bytes that the operating system hasn't accepted yet.
    virtual std::size_t unsentBytes() const = 0;

    /// Calls `observer` each time all written bytes have been accepted by the operating system.
    virtual void onSent(std::function<void()> observer) = 0;

    /// Calls `observer` once if the connection is closed before the response is finished.
    virtual void onClosed(std::function<void()> observer) = 0;
};

} // namespace ivypier::http
