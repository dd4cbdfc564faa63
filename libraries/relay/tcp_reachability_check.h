#pragma once

#include "base/event_loop.h"
#include "http/byte_stream.h"
#include "relay/reachability_check.h"

namespace ivypier::relay {

/// Checks by opening a TCP connection.
class tcp_reachability_check final : public reachability_check
{
public:
    /// Longest time that a check takes.
    static constexpr duration timeout = std::chrono::milliseconds(400);

    explicit tcp_reachability_check(event_loop &loop, http::stream_factory streams = http::makePlainStream);

    void check(const endpoint &address, completion done) override;

private:
    event_loop &m_loop;
    http::stream_factory m_streams;
};

} // namespace ivypier::relay
