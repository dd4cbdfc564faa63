#pragma once

#include "base/endpoint.h"

#include <string>

namespace ivypier::scenarios {

/// A TCP connection for sending arbitrary bytes, such as malformed HTTP.
class raw_connection
{
public:
    explicit raw_connection(const endpoint &to);
    ~raw_connection();

    raw_connection(const raw_connection &) = delete;
    raw_connection &operator=(const raw_connection &) = delete;

    /// Sends a text. Returns false if the connection is closed or no more can be sent for `seconds`.
    bool send(const std::string &text, double seconds);

    /// Receives until the peer closes, `seconds` have passed, or the received text contains `until` (if it
    /// isn't empty). Returns the text received.
    std::string receive(double seconds, const std::string &until);

    void close();

private:
    bool waitFor(short events, double seconds) const;

    int m_socket = -1;
};

} // namespace ivypier::scenarios
