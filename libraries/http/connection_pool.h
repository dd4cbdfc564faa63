#pragma once

#include "base/event_loop.h"
#include "http/byte_stream.h"
#include "http/exchange_transport.h"

#include <functional>

namespace ivypier::http {

/// Connection counts of a pool. The totals cover the time since its creation.
struct pool_counts
{
    std::uint64_t opened = 0; ///< total number of connections opened
    std::uint64_t reused = 0; ///< total number of exchanges on a reused connection
    std::size_t open = 0; ///< connections currently open

    auto operator<=>(const pool_counts &) const = default;
};

/// Pool of persistent connections to upstreams and to the platform, used only on the event loop's thread. A
/// connection is reused only if its response was complete and no bytes followed it. An idle connection is
/// closed when any data arrives on it, and before its peer is expected to close it.
class connection_pool final : public exchange_transport
{
public:
    explicit connection_pool(event_loop &loop, stream_factory streams = makePlainStream);
    ~connection_pool() override;

    std::unique_ptr<outgoing_exchange> start(const endpoint &to, std::string bytes, exchange_options options,
                                             exchange_observer &observer) override;

    pool_counts counts() const;

    /// Registers an observer that is called when a peer closes an idle connection that it was expected to
    /// keep.
    void onIdleClosed(std::function<void(const endpoint &)> observer);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace ivypier::http
