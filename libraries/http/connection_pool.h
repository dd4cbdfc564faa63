#pragma once

#include "base/event_loop.h"
#include "http/byte_stream.h"
#include "http/exchange_transport.h"

namespace ivypier::http {

/// What a pool did since it was made.
struct pool_counts
{
    std::uint64_t opened = 0; ///< connections
    std::uint64_t reused = 0; ///< exchanges on a kept connection
    std::size_t open = 0; ///< connections now

    auto operator<=>(const pool_counts &) const = default;
};

/// Kept connections to upstreams and to the platform, on the event loop's thread. A connection is kept only
/// after an answer that ended as framed, with nothing behind it, and is dropped when anything arrives on it
/// or before its peer would close it.
class connection_pool final : public exchange_transport
{
public:
    explicit connection_pool(event_loop &loop, stream_factory streams = makePlainStream);
    ~connection_pool() override;

    std::unique_ptr<outgoing_exchange> start(const endpoint &to, std::string bytes, exchange_options options,
                                             exchange_observer &observer) override;

    pool_counts counts() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace ivypier::http
