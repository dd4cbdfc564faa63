#pragma once

#include "base/endpoint.h"

#include <string>

namespace ivypier::scenarios {

/// A TCP connection that sends whatever a scenario wants, well-formed or not.
class raw_connection
{
public:
    explicit raw_connection(const endpoint &to);
    ~raw_connection();

    raw_connection(const raw_connection &) = delete;
    raw_connection &operator=(const raw_connection &) = delete;

    /// Sends a text; false when the other side is gone or takes no more within the seconds.
    bool send(const std::string &text, double seconds);

    /// What comes until the other side closes, `seconds` are over or `until` was seen.
    std::string receive(double seconds, const std::string &until);

    void close();

private:
    bool waitFor(short events, double seconds) const;

    int m_socket = -1;
};

} // namespace ivypier::scenarios
